// Endpoint state of a daemon: suspicion with a single trial request, lost and
// regained traffic, warm-up, and removal of endpoints.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "sycamoreford/route/endpoint_table.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const EndpointId kA("a");
const EndpointId kB("b");

Chain ChainOf(const EndpointId& id) {
  return {{id, "127.0.0.1:1", {0, 1}, 0}};
}

TEST_CASE("results of attempts change the load of an endpoint") {
  EndpointTable table;
  TimePoint now{seconds(100)};
  const auto load = [&](const EndpointId& id) {
    return table.Snapshot(now).LoadOf(id);
  };

  SECTION("a failure makes it suspected") {
    table.Report(kA, AttemptResult::kFailure, now);
    REQUIRE(load(kA).is_suspected);

    SECTION("after a while exactly one trial request is allowed") {
      now += seconds(1);
      REQUIRE_FALSE(load(kA).is_suspected);
      auto trial = std::make_unique<ChainInFlightGuard>(table, ChainOf(kA));
      REQUIRE(load(kA).is_suspected);

      SECTION("its success ends the suspicion and starts a warm-up") {
        table.Report(kA, AttemptResult::kSuccess, now);
        trial.reset();
        REQUIRE_FALSE(load(kA).is_suspected);
        REQUIRE(load(kA).speed < 0.2);
        now += seconds(11);
        REQUIRE(load(kA).speed == 1);
      }

      SECTION("its failure doubles the suspicion time") {
        table.Report(kA, AttemptResult::kFailure, now);
        trial.reset();
        now += milliseconds(700);
        REQUIRE(load(kA).is_suspected);
        now += milliseconds(400);
        REQUIRE_FALSE(load(kA).is_suspected);
      }

      SECTION("its cancellation allows another trial request") {
        trial.reset();
        REQUIRE_FALSE(load(kA).is_suspected);
      }
    }

    SECTION("a request to an endpoint without failures is no trial") {
      const ChainInFlightGuard other(table, ChainOf(kB));
      REQUIRE_FALSE(load(kB).is_suspected);
    }
  }

  SECTION("a slow endpoint loses traffic and regains it") {
    for (const char* name : {"b", "c", "d"}) {
      table.ReportLatencyRatio(EndpointId(name), 1.0, now);
    }
    for (int i = 0; i < 20; ++i) {
      table.ReportLatencyRatio(kA, 10.0, now);
    }
    REQUIRE(load(kA).speed < 0.15);
    REQUIRE(load(kB).speed == 1);
    REQUIRE_FALSE(load(kA).is_suspected);

    SECTION("with better latency ratios") {
      for (int i = 0; i < 20; ++i) {
        table.ReportLatencyRatio(kA, 1.0, now);
      }
      REQUIRE(load(kA).speed == 1);
    }

    SECTION("over time") {
      now += seconds(30);
      REQUIRE(load(kA).speed > 0.9);
    }
  }

  SECTION("a slow stream makes its endpoint slow, not suspected") {
    table.ReportLatencyRatio(kB, 1.0, now);
    table.Report(kA, AttemptResult::kSlow, now);
    table.Report(kA, AttemptResult::kSlow, now);
    REQUIRE(load(kA).speed <= 0.5);
    REQUIRE_FALSE(load(kA).is_suspected);
  }

  SECTION("a load report loses weight with age") {
    table.ReportLoad(kA, 8, now);
    REQUIRE(load(kA).reported_requests == 8);
    now += seconds(1);
    REQUIRE(load(kA).reported_requests == Approx(4));
    now += seconds(2);
    REQUIRE(load(kA).reported_requests == 0);
  }

  SECTION("a configuration adds and removes endpoints") {
    table.SetConfigured({kA}, now);
    REQUIRE(load(kA).speed == 1);
    now += seconds(60);
    table.SetConfigured({kA, kB}, now);
    REQUIRE(load(kA).speed == 1);
    REQUIRE(load(kB).speed < 0.2);

    SECTION("removed endpoints stay until they have no requests in flight") {
      auto guard = std::make_unique<ChainInFlightGuard>(table, ChainOf(kA));
      table.SetConfigured({kB}, now);
      REQUIRE(load(kA).in_flight == 1);
      guard.reset();
      table.SetConfigured({kB}, now);
      REQUIRE(table.size() == 1);
    }
  }
}

TEST_CASE("in-flight counts and trials are always released") {
  const bool holds = rc::check([] {
    EndpointTable table;
    TimePoint now{seconds(100)};
    const std::vector<EndpointId> ids = {kA, kB, EndpointId("c")};
    std::vector<std::pair<EndpointId, std::unique_ptr<ChainInFlightGuard>>>
        guards;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 7), rc::gen::inRange(0, 3)));
    for (const auto& [action, which] : steps) {
      const EndpointId& id = ids[static_cast<std::size_t>(which)];
      if (action == 0) {
        guards.emplace_back(
            id, std::make_unique<ChainInFlightGuard>(table, ChainOf(id)));
      } else if (action == 1 && !guards.empty()) {
        guards.erase(guards.begin());
      } else if (action == 2) {
        table.Report(id, AttemptResult::kFailure, now);
      } else if (action == 3) {
        table.Report(id, AttemptResult::kSuccess, now);
      } else if (action == 4) {
        table.SetConfigured({id}, now);
      } else if (action == 5) {
        table.ReportLatencyRatio(id, 1 + which * 5, now);
      } else {
        now += seconds(which * 10);
      }
      for (const EndpointId& each : ids) {
        const EndpointLoad load = table.Snapshot(now).LoadOf(each);
        const auto running =
            std::count_if(guards.begin(), guards.end(),
                          [&](const auto& it) { return it.first == each; });
        RC_ASSERT(load.in_flight == running);
        RC_ASSERT(load.speed > 0 && load.speed <= 1);
      }
    }
    guards.clear();
    now += seconds(60);
    for (const EndpointId& each : ids) {
      RC_ASSERT_FALSE(table.Snapshot(now).LoadOf(each).is_suspected);
    }
    table.SetConfigured({}, now);
    RC_ASSERT(table.size() == 0U);
  });
  REQUIRE(holds);
}

}  // namespace
}  // namespace sycamoreford
