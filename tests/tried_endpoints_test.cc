// The bound on the endpoints of one attempt of a caller, over several daemons.
#include <set>
#include <string>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "sycamoreford/relay/tried_endpoints.h"

namespace sycamoreford {
namespace {

using Ids = std::set<std::string>;

TEST_CASE("one daemon counts the endpoints that it tries") {
  TriedEndpoints tried(2);
  REQUIRE(tried.AllowsFurther());
  tried.Add("a");
  tried.Add("a");
  CHECK(tried.AllowsFurther());
  tried.Add("b");
  CHECK_FALSE(tried.AllowsFurther());
  tried.Remove("b");
  CHECK(tried.AllowsFurther());
}

TEST_CASE("another daemon chooses an endpoint") {
  TriedEndpoints tried(2);
  const auto place = tried.Reserve();
  TriedEndpoints other(2, tried.ForPeer(place));
  REQUIRE(other.AllowsFurther());
  other.Add("a");
  CHECK_FALSE(other.AllowsFurther());
  CHECK(other.own() == Ids{"a"});

  SECTION("and names it") {
    tried.Resolve(place, other.own());
    CHECK(tried.all() == Ids{"a"});
    CHECK(tried.AllowsFurther());
  }
  SECTION("and is not heard of again") {
    CHECK(tried.AllowsFurther());
    CHECK_FALSE(tried.HasNamed());
    const auto second = tried.Reserve();
    CHECK_FALSE(second.empty());
    CHECK_FALSE(tried.AllowsFurther());
    CHECK(tried.Reserve().empty());
  }
  SECTION("and does not reach it") {
    other.Remove("a");
    CHECK(other.own().empty());
    tried.Resolve(place, other.own());
    CHECK(tried.all().empty());
  }
  SECTION("again when no further one is allowed") {
    tried.Resolve(place, other.own());
    tried.Add("b");
    const auto none = tried.Reserve();
    CHECK(none.empty());
    TriedEndpoints third(2, tried.ForPeer(none));
    CHECK_FALSE(third.AllowsFurther());
    third.Add("a");
    // It has to be named, though it is known.
    CHECK(third.own() == Ids{"a"});
    third.Remove("a");
    CHECK(third.all() == Ids{"a", "b"});
  }
}

TEST_CASE("a daemon that was forwarded to tries one endpoint at most") {
  TriedEndpoints other(5, {});
  other.Add("a");
  CHECK_FALSE(other.AllowsFurther());
  CHECK_FALSE(TriedEndpoints(1, {"a"}).AllowsFurther());
}

TEST_CASE("a daemon that was forwarded to knows how many are not named yet") {
  TriedEndpoints tried(4);
  const auto first = tried.Reserve();
  CHECK(TriedEndpoints(4, tried.ForPeer(first)).CountUnnamed() == 0);
  const auto second = tried.Reserve();
  CHECK(TriedEndpoints(4, tried.ForPeer(second)).CountUnnamed() == 1);
  tried.Resolve(first, {"a"});
  CHECK(TriedEndpoints(4, tried.ForPeer(second)).CountUnnamed() == 0);
  CHECK(tried.CountUnnamed() == 0);
}

TEST_CASE("a bound that no request reaches costs no placeholders") {
  TriedEndpoints tried(1'000'000);
  CHECK(tried.ForPeer(tried.Reserve()).size() < 16);
}

TEST_CASE("no tree of daemons uses more endpoints than the route allows") {
  REQUIRE(rc::check([] {
    const auto max_endpoints = *rc::gen::inRange<std::size_t>(1, 5);
    TriedEndpoints tried(max_endpoints);
    Ids used;
    const auto choose = [&] {
      return "e" + std::to_string(*rc::gen::inRange(0, 8));
    };
    const int steps = *rc::gen::inRange(1, 12);
    for (int step = 0; step < steps; ++step) {
      if (*rc::gen::arbitrary<bool>()) {
        const std::string endpoint = choose();
        if (tried.AllowsFurther() || tried.all().contains(endpoint)) {
          tried.Add(endpoint);
          used.insert(endpoint);
        }
        continue;
      }
      const auto place = tried.Reserve();
      const Ids told = tried.ForPeer(place);
      TriedEndpoints other(max_endpoints, told);
      // One of the version before counts by the route alone.
      Ids counted = told;
      const bool is_older = *rc::gen::arbitrary<bool>();
      const int sends = *rc::gen::inRange(0, 4);
      for (int send = 0; send < sends; ++send) {
        const std::string endpoint = choose();
        const bool may_send =
            is_older
                ? counted.size() < max_endpoints || counted.contains(endpoint)
                : other.AllowsFurther() || other.all().contains(endpoint);
        if (may_send) {
          counted.insert(endpoint);
          other.Add(endpoint);
          used.insert(endpoint);
        }
      }
      if (!is_older && *rc::gen::arbitrary<bool>()) {
        tried.Resolve(place, other.own());
      }
    }
    RC_ASSERT(used.size() <= max_endpoints);
  }));
}

}  // namespace
}  // namespace sycamoreford
