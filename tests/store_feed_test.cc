// When a daemon that does not read the store relies on those that do.
#include <catch2/catch.hpp>

#include <chrono>

#include "sycamoreford/fleet/store_feed.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

StoreNews Lost() {
  StoreNews news;
  news.is_store_lost = true;
  return news;
}

TEST_CASE("those who read the store are turned away by it") {
  StoreFeed feed{milliseconds(500)};
  feed.OnTry(kStart);
  feed.OnRead({.version = 10});
  CHECK_FALSE(feed.OnNews(Lost(), kStart));

  SECTION("a daemon that is served reads on, as often as without them") {
    CHECK_FALSE(feed.Covers(kStart + milliseconds(10)));
  }
  SECTION("it asks for the configuration itself") {
    CHECK_FALSE(feed.IsHeard(kStart + milliseconds(10)));
  }
  SECTION("one that is turned away as well tries less often") {
    feed.OnTry(kStart);
    CHECK(feed.Covers(kStart + milliseconds(900)));
    (void)feed.OnNews(Lost(), kStart + milliseconds(2'000));
    CHECK(feed.Covers(kStart + milliseconds(2'499)));
    CHECK_FALSE(feed.Covers(kStart + milliseconds(2'500)));
  }
}

TEST_CASE("those who read the store tell") {
  StoreFeed feed{milliseconds(0)};
  StoreNews news;
  news.position = {.version = 12};
  news.digest = 5;

  SECTION("is not relied on before the list was read once") {
    CHECK_FALSE(feed.OnNews(news, kStart));
    CHECK_FALSE(feed.Covers(kStart));
  }
  SECTION("is relied on for a second") {
    feed.OnRead({.version = 10});
    REQUIRE(feed.OnNews(news, kStart));
    feed.OnApplied(news, 5, kStart);
    CHECK(feed.Covers(kStart + milliseconds(999)));
    CHECK_FALSE(feed.Covers(kStart + milliseconds(1'000)));
    CHECK(feed.position() == StorePosition{.version = 12});
  }
  SECTION("is not relied on while the lists differ") {
    feed.OnRead({.version = 10});
    REQUIRE(feed.OnNews(news, kStart));
    feed.OnApplied(news, 4, kStart);
    CHECK(feed.Covers(kStart + milliseconds(299)));
    CHECK_FALSE(feed.Covers(kStart + milliseconds(300)));
    // What was told is read again.
    CHECK(feed.position() == StorePosition{.version = 10});
  }
}

// Guards against news that are taken for old as versions are given out again.
TEST_CASE("those who read the store tell of a new era") {
  StoreFeed feed{milliseconds(0)};
  feed.OnRead({.era = 1, .version = 10});
  StoreNews news;
  news.digest = 5;

  SECTION("its positions come after all before") {
    news.position = {.era = 2, .version = 7};
    REQUIRE(feed.OnNews(news, kStart));
    feed.OnApplied(news, 5, kStart);
    CHECK(feed.position() == StorePosition{.era = 2, .version = 7});
  }
  SECTION("news of an earlier era are not taken") {
    feed.OnRead({.era = 2, .version = 7});
    news.position = {.era = 1, .version = 11};
    CHECK_FALSE(feed.OnNews(news, kStart));
  }
  SECTION("a daemon that does not know eras is in the same one") {
    news.position = {.version = 12};
    REQUIRE(feed.OnNews(news, kStart));
    feed.OnApplied(news, 5, kStart);
    CHECK(feed.position() == StorePosition{.era = 1, .version = 12});
  }
}

}  // namespace
}  // namespace sycamoreford
