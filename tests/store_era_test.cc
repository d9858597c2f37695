// A store that comes back from an older copy of itself gives out versions
// again, so that a position in its feed counts within an era only.
#include <chrono>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "fakes/restored_store.h"
#include "store_client.h"
#include "sycamoreford/adapters/fleet_follower.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Maximum time after its confirmation at which a change is in force.
constexpr milliseconds kApplyTime{2'000};
/// Time after the restoration from which on bounds hold.
constexpr milliseconds kContactTime{3'000};
/// Time in which entries that are missing after an outage are back.
constexpr milliseconds kReturnTime{2'000};

struct Daemon {
  asio::io_context context{1};
  SteadyClock clock;
  RelayState state{"north", RetryLimits{}};
  fakes::RestoredStore store{context};
  platform::StoreClient client{store.address()};
  FleetFollower<platform::StoreClient, SteadyClock> follower{state, client,
                                                             clock};

  Daemon() {
    store.WriteConfiguration(10);
    store.WriteEndpoint("a");
    store.WriteEndpoint("b");
    asio::co_spawn(context, follower.FollowManifest(), asio::detached);
    asio::co_spawn(context, follower.FollowEndpoints(), asio::detached);
  }
  void RunFor(milliseconds time) {
    context.restart();
    context.run_for(time);
  }
  /// Endpoints renew their entries all the while.
  void RenewFor(milliseconds time, const std::string& id) {
    constexpr milliseconds kRenewalInterval{250};
    for (milliseconds passed{0}; passed < time; passed += kRenewalInterval) {
      store.WriteEndpoint(id);
      RunFor(kRenewalInterval);
    }
  }
  /// The operator writes configuration 20, and is confirmed, some seconds after
  /// the copy was taken; then the store comes back from it.
  void LoseConfiguration20() {
    store.TakeCopy();
    store.WriteConfiguration(20);
    RenewFor(milliseconds(2'500), "a");
    REQUIRE(follower.revision_in_force() == 20);
    version_lost = store.version();
    store.ComeBackFromCopy();
  }
  [[nodiscard]] bool IsUsable(const std::string& id) {
    const KnownEndpoint* known = state.directory().Find(id);
    return known != nullptr && known->IsUsable(clock.Now());
  }

  std::uint64_t version_lost = 0;
};

// Guards against changes that are never read as they stand below the position
// of the era before.
TEST_CASE("a store that comes back from a copy") {
  Daemon daemon;
  daemon.RunFor(milliseconds(500));
  REQUIRE(daemon.follower.revision_in_force() == 10);

  SECTION("does not take a configuration back") {
    daemon.LoseConfiguration20();
    daemon.RenewFor(kContactTime + kApplyTime, "a");
    CHECK(daemon.follower.revision_in_force() == 20);
  }
  SECTION("has its changes in force although a poll is open since before") {
    daemon.LoseConfiguration20();
    daemon.store.WriteConfiguration(20);
    daemon.store.WriteConfiguration(30);
    while (daemon.store.version() <= daemon.version_lost) {
      daemon.store.WriteEndpoint("a");
    }
    daemon.RenewFor(kContactTime + kApplyTime, "a");
    CHECK(daemon.follower.revision_in_force() == 30);
  }
  SECTION("has its changes in force while nothing is known of the versions") {
    daemon.LoseConfiguration20();
    daemon.store.WriteConfiguration(30);
    daemon.RenewFor(kContactTime + kApplyTime, "a");
    CHECK(daemon.follower.revision_in_force() == 30);
  }
  SECTION("has its changes in force each time") {
    for (std::uint64_t revision = 20; revision < 22; ++revision) {
      daemon.store.TakeCopy();
      daemon.RenewFor(milliseconds(1'000), "a");
      const std::uint64_t lost = daemon.store.version();
      daemon.store.ComeBackFromCopy();
      daemon.store.WriteConfiguration(revision);
      while (daemon.store.version() <= lost) {
        daemon.store.WriteEndpoint("a");
      }
      daemon.RenewFor(kContactTime + kApplyTime, "a");
      CHECK(daemon.follower.revision_in_force() == revision);
    }
  }
  SECTION("lists an endpoint that was added below the position") {
    daemon.LoseConfiguration20();
    daemon.store.WriteEndpoint("c");
    while (daemon.store.version() <= daemon.version_lost) {
      daemon.store.WriteEndpoint("a");
    }
    daemon.RenewFor(kContactTime + kApplyTime, "a");
    CHECK(daemon.IsUsable("c"));
  }
  SECTION("lists an endpoint no more that has gone below the position") {
    daemon.LoseConfiguration20();
    daemon.store.RemoveEndpoint("b");
    while (daemon.store.version() <= daemon.version_lost) {
      daemon.store.WriteEndpoint("a");
    }
    daemon.RenewFor(kContactTime + kApplyTime + kReturnTime, "a");
    CHECK(daemon.IsUsable("a"));
    CHECK_FALSE(daemon.IsUsable("b"));
  }
  SECTION("lacks entries until they are written again") {
    daemon.store.TakeCopy();
    daemon.store.WriteEndpoint("c");
    daemon.RenewFor(milliseconds(2'000), "a");
    REQUIRE(daemon.IsUsable("c"));
    daemon.store.ComeBackFromCopy();
    for (int i = 0; i < 16; ++i) {
      daemon.RenewFor(milliseconds(250), "a");
      CHECK(daemon.IsUsable("c"));
    }
    daemon.store.WriteEndpoint("c");
    daemon.RenewFor(kReturnTime + kApplyTime, "a");
    CHECK(daemon.IsUsable("c"));
  }
}

TEST_CASE("a store that does not state eras") {
  Daemon daemon;
  daemon.store.states_era = false;
  daemon.RunFor(milliseconds(500));
  daemon.store.WriteConfiguration(20);
  daemon.store.WriteEndpoint("c");
  daemon.RenewFor(kApplyTime, "a");
  CHECK(daemon.follower.revision_in_force() == 20);
  CHECK(daemon.IsUsable("c"));
}

}  // namespace
}  // namespace sycamoreford
