// The relay's decisions: routes, budgets, choice of chains and endpoints, and
// what is noticed of silence.
#include <algorithm>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "support/sample_engine.h"
#include "sycamoreford/fleet/daemon_roster.h"
#include "sycamoreford/fleet/endpoint_directory.h"
#include "sycamoreford/relay/chain_selector.h"
#include "sycamoreford/relay/chain_silence.h"
#include "sycamoreford/relay/fleet_retry_budget.h"
#include "sycamoreford/relay/manifest.h"
#include "sycamoreford/relay/service_selector.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

EndpointRecord Endpoint(const std::string& id, const std::string& service) {
  EndpointRecord record;
  record.id = id;
  record.service = service;
  record.address = "10.0.0.1:" + id;
  record.data_centre = "north";
  record.started_at_ms = 1;
  return record;
}

ServingChain MakeChain(const std::string& first,
                       const std::string& data_centre,
                       double room) {
  ServingChain chain;
  ChainStage stage;
  stage.endpoint = EndpointId(first);
  stage.layers = {0, 80};
  chain.stages = {stage};
  chain.data_centre = data_centre;
  chain.room_tokens = room;
  return chain;
}

TEST_CASE("finding a request's route and customer") {
  RelayRoute wide;
  wide.name = "wide";
  wide.host = "a.example";
  wide.path_prefix = "/x/";
  RelayRoute narrow = wide;
  narrow.name = "narrow";
  narrow.path_prefix = "/x/y/";
  RelayCustomer customer;
  customer.name = "bells";
  customer.api_keys = {"k1", "k2"};
  const auto manifest = Manifest::Builder(7)
                            .AddRoute(wide)
                            .AddRoute(narrow)
                            .AddCustomer(customer)
                            .Build();

  SECTION("the longest prefix takes it") {
    REQUIRE(manifest->FindRoute("a.example", "/x/y/z")->name == "narrow");
    REQUIRE(manifest->FindRoute("a.example:80", "/x/yz")->name == "wide");
    REQUIRE(manifest->FindRoute("a.example", "/x/")->name == "wide");
  }
  SECTION("no route takes it") {
    REQUIRE(manifest->FindRoute("a.example", "/x") == nullptr);
    REQUIRE(manifest->FindRoute("a.example", "/") == nullptr);
    REQUIRE(manifest->FindRoute("a.example", "") == nullptr);
    REQUIRE(manifest->FindRoute("b.example", "/x/") == nullptr);
  }
  SECTION("keys name their customer") {
    REQUIRE(manifest->FindCustomer("k2")->name == "bells");
    REQUIRE(manifest->FindCustomer("k3") == nullptr);
    REQUIRE(manifest->FindCustomer("") == nullptr);
  }
}

TEST_CASE("retries of all daemons stay within the allowance") {
  const RetryAllowance allowance{.ratio = 0.2, .extra = 200};

  SECTION("when every request fails, on any spread of traffic") {
    REQUIRE(rc::check("in any window", [&] {
      const auto daemons = *rc::gen::inRange<std::uint32_t>(1, 12);
      std::vector<FleetRetryBudget> budgets(daemons,
                                            FleetRetryBudget(allowance));
      std::vector<TimePoint> requests;
      std::vector<TimePoint> repeats;
      TimePoint now = kStart;
      for (int i = 0; i < 3'000; ++i) {
        now += milliseconds(*rc::gen::inRange(0, 20));
        auto& budget = budgets[*rc::gen::inRange<std::uint32_t>(0, daemons)];
        budget.OnRequest(now);
        requests.push_back(now);
        while (budget.TryTake(now, daemons)) {
          repeats.push_back(now);
        }
      }
      const auto count = [](const auto& times, TimePoint from, TimePoint to) {
        return static_cast<double>(
            std::upper_bound(times.begin(), times.end(), to) -
            std::lower_bound(times.begin(), times.end(), from));
      };
      // Repeats follow their requests, so that the requests of the window
      // before it, or of the one half a window before it, count as well.
      for (const TimePoint end : repeats) {
        const TimePoint from = end - allowance.window;
        const auto half = allowance.window / 2;
        const double most =
            std::max({count(requests, from, end),
                      count(requests, from - half, end - half),
                      count(requests, from - 2 * half, end - 2 * half)});
        RC_ASSERT(count(repeats, from, end) <=
                  allowance.ratio * most + allowance.extra);
      }
    }));
  }

  SECTION("when daemons tell each other, on any spread of traffic") {
    REQUIRE(rc::check("in any window", [&] {
      const auto daemons = *rc::gen::inRange<std::uint32_t>(2, 10);
      std::vector<FleetRetryBudget> budgets(daemons,
                                            FleetRetryBudget(allowance));
      const auto tell = [&](TimePoint now) {
        for (std::uint32_t from = 0; from < daemons; ++from) {
          const RetryUsage usage = budgets[from].Tell(now);
          for (std::uint32_t to = 0; to < daemons; ++to) {
            if (to != from) {
              budgets[to].OnTold(std::to_string(from), usage, now);
            }
          }
        }
      };
      TimePoint now = kStart;
      for (int i = 0; i < 900; ++i) {
        budgets[0].OnRequest(now += milliseconds(10));
      }
      tell(now);
      // An endpoint is lost; each daemon has as many streams to move.
      std::uint32_t moved = 0;
      std::uint32_t of_first = 0;
      const auto streams = *rc::gen::inRange<std::uint32_t>(1, 100);
      for (std::uint32_t i = 0; i < streams * daemons; ++i) {
        const bool taken = budgets[i % daemons].TryTake(now, daemons);
        moved += taken ? 1 : 0;
        of_first += taken && i % daemons == 0 ? 1 : 0;
      }
      RC_ASSERT(moved <= allowance.ratio * 900 + allowance.extra);
      // Daemons without requests of their own get their part of it as well.
      RC_ASSERT(moved >= std::min(streams * daemons, 250U));
      RC_ASSERT(of_first >= moved / daemons);
    }));
  }

  SECTION("a daemon that others do not tell keeps to its own part") {
    FleetRetryBudget budget(allowance);
    int taken = 0;
    while (budget.TryTake(kStart, 10)) {
      ++taken;
    }
    REQUIRE(taken <= 20);
  }

  SECTION("they come back with the window") {
    FleetRetryBudget budget(allowance);
    while (budget.TryTake(kStart, 1)) {
    }
    REQUIRE_FALSE(budget.TryTake(kStart + seconds(5), 1));
    REQUIRE(budget.TryTake(kStart + seconds(11), 1));
  }
}

TEST_CASE("choosing a chain") {
  ChainSelector selector("north");
  selector.SetChains(
      {MakeChain("n", "north", 10'000), MakeChain("s", "south", 10'000)});

  SECTION("the own data centre's is taken first") {
    const auto* chain = selector.Pick(900, 1, {}, false, kStart);
    REQUIRE(chain->data_centre == "north");

    SECTION("until it is clearly fuller than another") {
      for (int i = 0; i < 4; ++i) {
        selector.OnSent(chain->stages, 900);
      }
      REQUIRE(selector.Pick(900, 1, {}, false, kStart)->data_centre == "south");
    }

    SECTION("a request that may not go elsewhere stays") {
      for (int i = 0; i < 4; ++i) {
        selector.OnSent(chain->stages, 900);
      }
      REQUIRE(selector.Pick(900, 1, {"n"}, true, kStart)->data_centre ==
              "north");
    }
  }

  SECTION("a chain that failed the request is taken when there is no other") {
    REQUIRE(selector.Pick(900, 1, {"n"}, false, kStart)->data_centre ==
            "south");
    selector.SetChains({MakeChain("n", "north", 10'000)});
    REQUIRE(selector.Pick(900, 1, {"n"}, false, kStart) != nullptr);
  }

  SECTION("what fits nowhere is refused at once") {
    const Chain north = MakeChain("n", "north", 0).stages;
    const Chain south = MakeChain("s", "south", 0).stages;
    for (int i = 0; i < 12; ++i) {
      selector.OnSent(north, 900);
      selector.OnSent(south, 900);
    }
    REQUIRE(selector.Pick(900, 1, {}, false, kStart) == nullptr);

    SECTION("and taken again once requests have ended") {
      for (int i = 0; i < 5; ++i) {
        selector.OnEnded(south, 900);
      }
      REQUIRE(selector.Pick(900, 1, {}, false, kStart) != nullptr);
    }

    SECTION("unless the endpoint states that there is room") {
      selector.OnStatedLoad("s", {.running = 2}, kStart);
      REQUIRE(selector.Pick(900, 1, {}, false, kStart)->data_centre == "south");

      SECTION("a statement grows old") {
        REQUIRE(selector.Pick(900, 1, {}, false, kStart + seconds(1)) ==
                nullptr);
      }
    }
  }

  SECTION("other daemons are taken to send as much") {
    const Chain north = MakeChain("n", "north", 0).stages;
    selector.OnSent(north, 900);
    selector.OnSent(MakeChain("s", "south", 0).stages, 900);
    REQUIRE(selector.Pick(900, 1, {}, false, kStart) != nullptr);
    REQUIRE(selector.Pick(900, 20, {}, false, kStart) == nullptr);
  }
}

TEST_CASE("choosing an endpoint of a plain service") {
  EndpointDirectory directory;
  directory.Upsert(Endpoint("1", "app"));
  directory.Upsert(Endpoint("2", "app"));
  directory.Upsert(Endpoint("3", "other"));
  ServiceSelector selector("north");
  TimePoint now = kStart;

  SECTION("one fails part of its requests and calls itself healthy") {
    int bad = 0;
    for (int i = 0; i < 200; ++i) {
      now += milliseconds(50);
      const auto* endpoint = selector.Pick(directory, "app", now, {}, false);
      const std::string id = endpoint->record.id;
      selector.OnSent(id);
      const bool ok = id != "1" || i % 2 == 0;
      bad += id == "1" ? 1 : 0;
      selector.OnAnswered(id, now, milliseconds(60), ok);
    }
    // It keeps a few requests, by which it can win traffic back.
    REQUIRE(bad < 60);
    REQUIRE(bad > 0);
  }

  SECTION("one is slow") {
    int slow = 0;
    for (int i = 0; i < 200; ++i) {
      const std::string id =
          selector.Pick(directory, "app", now, {}, false)->record.id;
      selector.OnSent(id);
      slow += id == "1" ? 1 : 0;
      selector.OnAnswered(id, now, milliseconds(id == "1" ? 600 : 60), true);
    }
    REQUIRE(slow < 20);
  }

  SECTION("none is left") {
    REQUIRE(selector.Pick(directory, "app", now, {"1", "2"}, false) == nullptr);
    REQUIRE(selector.Pick(directory, "none", now, {}, false) == nullptr);
  }
}

TEST_CASE("noticing that nothing moves on a chain") {
  ChainSilence silence;
  const auto named = [&](int ms) {
    return silence.ToInspect(kStart + milliseconds(ms)).size() == 1;
  };
  silence.OnSent("a", kStart);

  SECTION("a first answer may take longer than an event") {
    REQUIRE_FALSE(named(500));
    REQUIRE(named(800));
  }
  SECTION("events stop") {
    silence.OnProgress("a", kStart + milliseconds(100));
    REQUIRE_FALSE(named(200));
    REQUIRE(named(230));

    SECTION("it is named once in a while only") {
      REQUIRE_FALSE(named(400));
      REQUIRE(named(800));
    }
  }
  SECTION("a chain with longer pauses is given more time") {
    for (int i = 0; i < 100; ++i) {
      silence.OnPause("a", milliseconds(80));
    }
    silence.OnProgress("a", kStart + milliseconds(100));
    REQUIRE_FALSE(named(330));
    REQUIRE(named(350));
  }
  SECTION("a chain whose pauses come near to being late is looked at") {
    for (int i = 0; i < 100; ++i) {
      silence.OnPause("a", milliseconds(150));
    }
    silence.OnProgress("a", kStart + milliseconds(100));
    REQUIRE(named(110));

    SECTION("less and less often as long as it is so") {
      int looks = 0;
      for (int ms = 120; ms < 10'000; ms += 10) {
        silence.OnProgress("a", kStart + milliseconds(ms));
        looks += named(ms) ? 1 : 0;
      }
      REQUIRE(looks <= 8);
    }
  }
  SECTION("a chain without requests is silent by right") {
    silence.OnEnded("a");
    REQUIRE_FALSE(named(10'000));
  }
}

TEST_CASE("what is known of endpoints") {
  EndpointDirectory directory;
  directory.Upsert(Endpoint("1", "app"));
  directory.Upsert(Endpoint("2", "app"));

  SECTION("one that announces its leaving gets nothing more") {
    auto leaving = Endpoint("1", "app");
    leaving.is_leaving = true;
    directory.Upsert(leaving);
    REQUIRE_FALSE(directory.Find("1")->IsUsable(kStart));

    SECTION("also when an older announcement comes late") {
      directory.Upsert(Endpoint("1", "app"));
      REQUIRE_FALSE(directory.Find("1")->IsUsable(kStart));
    }
    SECTION("its next run is used") {
      auto next = Endpoint("1", "app");
      next.started_at_ms = 2;
      directory.Upsert(next);
      REQUIRE(directory.Find("1")->IsUsable(kStart));
    }
  }

  SECTION("an entry is removed") {
    directory.Remove("1", kStart, Duration::zero());
    REQUIRE(directory.Find("1") == nullptr);
  }

  SECTION("entries lapse while the store is away") {
    directory.Replace({Endpoint("2", "app")}, kStart, seconds(2));
    REQUIRE(directory.Find("1")->IsUsable(kStart + seconds(1)));

    SECTION("one comes back") {
      directory.Upsert(Endpoint("1", "app"));
      REQUIRE_FALSE(directory.Expire(kStart + seconds(3)));
      REQUIRE(directory.Find("1")->IsUsable(kStart + seconds(3)));
    }
    SECTION("one does not") {
      REQUIRE_FALSE(directory.Find("1")->IsUsable(kStart + seconds(3)));
      REQUIRE(directory.Expire(kStart + seconds(3)));
      REQUIRE(directory.Find("1") == nullptr);
    }
  }

  SECTION("one is suspected") {
    const Duration first = directory.Suspect("1", kStart);
    REQUIRE_FALSE(directory.Find("1")->IsUsable(kStart));
    REQUIRE(directory.Find("1")->IsUsable(kStart + first));

    SECTION("again, for longer") {
      REQUIRE(directory.Suspect("1", kStart + first) > first);
    }
    SECTION("it is found alive and spared for a moment only") {
      directory.OnAlive("1", kStart);
      REQUIRE(directory.Find("1")->IsUsable(kStart + milliseconds(200)));
    }
    SECTION("it is asked again and again, and used all the same") {
      for (int ms = 0; ms < 150; ms += 40) {
        directory.OnAlive("1", kStart + milliseconds(ms));
      }
      REQUIRE(directory.Find("1")->IsUsable(kStart + milliseconds(150)));
    }
  }
}

TEST_CASE("counting the daemons") {
  DaemonRoster roster;
  const std::vector<TableRow> rows = {{"daemon/a", "1", 1},
                                      {"daemon/b", "2", 2}};
  REQUIRE(roster.Count(kStart) == 0);
  roster.OnRows(rows, kStart);
  REQUIRE(roster.Count(kStart) == 2);
  REQUIRE(roster.RankOf("2", kStart) == 1);
  REQUIRE(roster.RankOf("other", kStart) == 2);

  SECTION("one no longer renews its row") {
    const TimePoint later = kStart + DaemonRoster::kRowTtl + seconds(1);
    roster.OnRows({{"daemon/a", "1", 1}, {"daemon/b", "2", 3}}, later);
    REQUIRE(roster.Count(later) == 1);
    REQUIRE(roster.Addresses(later) == std::vector<std::string>{"2"});
  }
  SECTION("one's row is gone") {
    roster.OnRows({rows[0]}, kStart);
    REQUIRE(roster.Count(kStart) == 1);
  }
}

}  // namespace
}  // namespace sycamoreford
