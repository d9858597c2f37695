// Which daemons do for all what one of them can do, and whom the others
// believe.
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "sycamoreford/fleet/daemon_duty.h"
#include "sycamoreford/fleet/finding_news.h"
#include "sycamoreford/fleet/inspection_asks.h"
#include "sycamoreford/fleet/told_findings.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

std::vector<std::string> Daemons(std::size_t count) {
  std::vector<std::string> daemons;
  for (std::size_t i = 0; i < count; ++i) {
    daemons.push_back("10.0." + std::to_string(i / 250) + "." +
                      std::to_string(i % 250) + ":7000");
  }
  return daemons;
}

std::vector<DaemonDuty> Duties(const std::vector<std::string>& daemons) {
  std::vector<DaemonDuty> duties(daemons.size());
  for (std::size_t i = 0; i < daemons.size(); ++i) {
    duties[i].SetDaemons(daemons, daemons[i]);
  }
  return duties;
}

std::vector<std::size_t> WhoDoes(const std::vector<DaemonDuty>& duties,
                                 const std::string& task) {
  std::vector<std::size_t> who;
  for (std::size_t i = 0; i < duties.size(); ++i) {
    if (duties[i].IsOwn(task)) {
      who.push_back(i);
    }
  }
  return who;
}

TEST_CASE("few daemons do everything themselves") {
  const auto daemons = Daemons(GENERATE(1, 9, 19));
  const auto duties = Duties(daemons);
  CHECK(WhoDoes(duties, "endpoint").size() == daemons.size());
  CHECK_FALSE(duties.front().IsShared());
  CHECK(duties.front().Others("endpoint").empty());
}

TEST_CASE("many daemons share the tasks") {
  const auto daemons = Daemons(GENERATE(20, 69, 195, 390));
  const auto duties = Duties(daemons);
  std::map<std::size_t, int> tasks_of;
  for (int i = 0; i < 190; ++i) {
    const std::string task = "endpoint-" + std::to_string(i);
    const auto who = WhoDoes(duties, task);
    REQUIRE(who.size() == DaemonDuty::kDaemonsPerTask);
    for (const std::size_t daemon : who) {
      ++tasks_of[daemon];
    }
    const auto others = duties[who.front()].Others(task);
    CHECK(others.size() == DaemonDuty::kDaemonsPerTask - 1);
    CHECK(std::count(others.begin(), others.end(), daemons[who.front()]) == 0);
  }
  SECTION("evenly") {
    const double mean = 190.0 * 3 / static_cast<double>(daemons.size());
    for (const auto& [daemon, count] : tasks_of) {
      CHECK(count < 4 * mean + 8);
    }
  }
  SECTION("and only the tasks of a daemon that is lost move") {
    auto left = daemons;
    left.erase(left.begin());
    if (left.size() >= DaemonDuty::kManyDaemons) {
      const auto after = Duties(left);
      for (int i = 0; i < 190; ++i) {
        const std::string task = "endpoint-" + std::to_string(i);
        auto before = WhoDoes(duties, task);
        std::erase(before, 0);
        for (const std::size_t daemon : before) {
          CHECK(after[daemon - 1].IsOwn(task));
        }
      }
    }
  }
}

TEST_CASE("what other daemons find of an endpoint") {
  ToldFindings told;
  const EndpointFinding lost{.run = {"m1", 1}, .is_lost = true};
  const EndpointFinding alive{.run = {"m1", 1}};
  using Result = ToldFindings::Result;

  SECTION("one alone is not believed") {
    CHECK(told.OnTold(lost, "a", kStart) == Result::kLostUnconfirmed);
    CHECK(told.OnTold(lost, "a", kStart + milliseconds(10)) ==
          Result::kLostUnconfirmed);
    CHECK_FALSE(told.TakeUnconfirmed(kStart + milliseconds(149)));

    SECTION("but leads to an inspection, once") {
      CHECK(told.TakeUnconfirmed(kStart + milliseconds(150)) == "m1");
      CHECK_FALSE(told.TakeUnconfirmed(kStart + milliseconds(150)));
    }
    SECTION("unless another one finds it well") {
      CHECK(told.OnTold(alive, "b", kStart) == Result::kAlive);
      CHECK_FALSE(told.TakeUnconfirmed(kStart + milliseconds(150)));
    }
  }
  SECTION("two are") {
    (void)told.OnTold(lost, "a", kStart);
    CHECK(told.OnTold(lost, "b", kStart + milliseconds(100)) == Result::kLost);
    CHECK_FALSE(told.TakeUnconfirmed(kStart + milliseconds(250)));
  }
  SECTION("unless the first word is old") {
    (void)told.OnTold(lost, "a", kStart);
    CHECK(told.OnTold(lost, "b", kStart + ToldFindings::kTtl) ==
          Result::kLostUnconfirmed);
  }
  SECTION("or is about a run before") {
    (void)told.OnTold(lost, "a", kStart);
    CHECK(told.OnTold({.run = {"m1", 2}, .is_lost = true}, "b", kStart) ==
          Result::kLostUnconfirmed);
  }
}

TEST_CASE("questions about an endpoint") {
  InspectionAsks asks;
  REQUIRE(asks.MayAsk("m1", kStart));
  CHECK_FALSE(asks.MayAsk("m1", kStart + milliseconds(249)));
  CHECK(asks.MayAsk("m2", kStart));

  SECTION("that came too early are asked later, once") {
    CHECK_FALSE(asks.TakeDue(kStart + milliseconds(249)));
    CHECK(asks.TakeDue(kStart + milliseconds(250)) == "m1");
    CHECK_FALSE(asks.TakeDue(kStart + milliseconds(250)));
  }
  SECTION("without a reply lead to an inspection of its own, once") {
    asks.OnReply("m2");
    CHECK_FALSE(asks.TakeOverdue(kStart + milliseconds(249)));
    CHECK(asks.TakeOverdue(kStart + milliseconds(250)) == "m1");
    CHECK_FALSE(asks.TakeOverdue(kStart + milliseconds(250)));
  }
  SECTION("are answered to all that have asked, once each") {
    asks.OnAsked("m1", "a");
    asks.OnAsked("m1", "b");
    asks.OnAsked("m1", "a");
    CHECK(asks.TakeAskers("m1") == std::vector<std::string>{"a", "b"});
    CHECK(asks.TakeAskers("m1").empty());
  }
}

TEST_CASE("news for all") {
  FindingNews news;
  const EndpointFinding lost{.run = {"m1", 1}, .is_lost = true};
  const EndpointFinding alive{.run = {"m1", 1}, .layers = {0, 40}};
  SECTION("an endpoint that is well is none") {
    CHECK_FALSE(news.OnFound(alive, false, kStart));
    CHECK(news.Recent("m1", kStart + milliseconds(249)));
    CHECK_FALSE(news.Recent("m1", kStart + milliseconds(250)));

    SECTION("unless another daemon says the contrary") {
      CHECK(news.OnFound(alive, true, kStart));
    }
    SECTION("or it holds other layers") {
      CHECK(news.OnFound({.run = {"m1", 1}, .layers = {0, 20}}, false, kStart));
    }
  }
  SECTION("a lost one is, from time to time, and that it is back") {
    CHECK(news.OnFound(lost, false, kStart));
    CHECK_FALSE(news.OnFound(lost, false, kStart + milliseconds(499)));
    CHECK(news.OnFound(lost, false, kStart + milliseconds(500)));
    CHECK(news.OnFound(alive, false, kStart + milliseconds(600)));
    CHECK_FALSE(news.OnFound(alive, false, kStart + milliseconds(700)));
  }
}

}  // namespace
}  // namespace sycamoreford
