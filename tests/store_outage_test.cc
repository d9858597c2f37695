// Tests that changes of the configuration are in force in time once the store
// is back from an outage in which responses were lost.
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "fakes/outage_store.h"
#include "sycamoreford/adapters/fleet_follower.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using fakes::OutageStore;
using std::chrono::milliseconds;

/// Time after an outage from which on bounds hold.
constexpr milliseconds kContactTime{3'000};
/// Maximum time after its confirmation at which a change is in force.
constexpr milliseconds kApplyTime{2'000};

struct Daemon {
  asio::io_context context{1};
  SteadyClock clock;
  RelayState state{"north", RetryLimits{}};
  OutageStore store;
  FleetFollower<OutageStore, SteadyClock> follower{state, store, clock};

  Daemon() {
    asio::co_spawn(context, follower.FollowManifest(), asio::detached);
    asio::co_spawn(context, follower.FollowEndpoints(), asio::detached);
  }
  void RunFor(milliseconds time) {
    context.restart();
    context.run_for(time);
  }
  void Write(std::uint64_t revision) {
    store.Write(Manifest::Builder(revision).Build());
  }
};

// Guards against a lost poll that is waited for after the store is back.
TEST_CASE("a configuration is in force in time after an outage of the store") {
  Daemon daemon;
  daemon.Write(1);
  daemon.RunFor(milliseconds(300));
  REQUIRE(daemon.follower.revision_in_force() == 1);

  SECTION("when the poll was sent during the outage") {
    daemon.store.FallSilentAfterResponse(OutageStore::Silence::kAll);
    daemon.Write(2);
    daemon.RunFor(milliseconds(1'500));
    REQUIRE(daemon.follower.revision_in_force() == 2);
    daemon.store.SetSilence(OutageStore::Silence::kNone);
    daemon.RunFor(kContactTime);
    daemon.Write(3);
    daemon.RunFor(kApplyTime);
    CHECK(daemon.follower.revision_in_force() == 3);
  }
  SECTION("when only the poll after a refusal was lost") {
    daemon.store.FallSilentAfterResponse(OutageStore::Silence::kConfiguration);
    daemon.store.RefuseConfiguration();
    daemon.RunFor(milliseconds(1'500));
    daemon.store.SetSilence(OutageStore::Silence::kNone);
    daemon.RunFor(kContactTime);
    daemon.Write(2);
    daemon.RunFor(kApplyTime);
    CHECK(daemon.follower.revision_in_force() == 2);
  }
  SECTION("when the response with it was lost") {
    daemon.store.SetSilence(OutageStore::Silence::kAll);
    daemon.Write(2);
    daemon.RunFor(milliseconds(1'500));
    daemon.store.SetSilence(OutageStore::Silence::kNone);
    daemon.RunFor(kContactTime);
    CHECK(daemon.follower.revision_in_force() == 2);
  }
  SECTION("when its poll fails again and again") {
    daemon.store.FallSilentAfterResponse(OutageStore::Silence::kAll);
    daemon.Write(2);
    daemon.RunFor(milliseconds(6'000));
    daemon.store.SetSilence(OutageStore::Silence::kNone);
    daemon.RunFor(kContactTime);
    daemon.Write(3);
    daemon.RunFor(kApplyTime);
    CHECK(daemon.follower.revision_in_force() == 3);
  }
}

// Guards against a poll that was lost before others came to rely on this
// daemon.
TEST_CASE("a daemon on whose polls others come to rely") {
  using Follower = FleetFollower<OutageStore, SteadyClock>;
  // Few have a watcher, many have readers.
  const std::size_t count = GENERATE(5U, 30U);
  CAPTURE(count);
  std::vector<std::string> daemons;
  for (std::size_t i = 0; i < count; ++i) {
    daemons.push_back("10.0.0." + std::to_string(i) + ":7340");
  }
  Daemon daemon;
  DaemonDuty& duty = daemon.state.duty();
  const auto set_rank = [&](std::size_t rank) {
    std::size_t own = 0;
    do {
      duty.SetDaemons(daemons, daemons[own++]);
    } while (duty.RankOf(Follower::kTask) != rank);
  };
  set_rank(DaemonDuty::kDaemonsPerTask);
  daemon.Write(1);
  daemon.RunFor(milliseconds(300));
  REQUIRE(daemon.follower.revision_in_force() == 1);
  daemon.follower.Tick();
  daemon.store.SetSilence(OutageStore::Silence::kConfiguration);
  daemon.Write(2);
  daemon.RunFor(milliseconds(100));
  daemon.store.SetSilence(OutageStore::Silence::kNone);
  set_rank(0);
  daemon.follower.Tick();
  daemon.RunFor(milliseconds(300));
  CHECK(daemon.follower.revision_in_force() == 2);
}

TEST_CASE("an outage of the store costs few calls") {
  Daemon daemon;
  daemon.Write(1);
  daemon.RunFor(milliseconds(300));

  SECTION("none while it answers and nothing changes") {
    const int calls = daemon.store.configuration_calls();
    daemon.RunFor(milliseconds(3'000));
    CHECK(daemon.store.configuration_calls() == calls);
  }
  SECTION("two when it is back: one that answers at once, and one that waits") {
    daemon.store.SetSilence(OutageStore::Silence::kAll);
    daemon.RunFor(milliseconds(1'500));
    daemon.store.SetSilence(OutageStore::Silence::kNone);
    const int calls = daemon.store.configuration_calls();
    daemon.RunFor(kContactTime + kApplyTime);
    CHECK(daemon.store.configuration_calls() <= calls + 2);
  }
}

}  // namespace
}  // namespace sycamoreford
