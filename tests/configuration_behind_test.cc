// Daemons that the store turns away while others get its configurations. Each
// daemon is a process of its own.
#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>

#include "support/platform_route.h"
#include "support/relay_fleet.h"
#include "sycamoreford/fleet/peer_state.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;
using support::PlatformRoute;
using support::RelayFleet;

/// Maximum time after its confirmation at which a change is in force.
constexpr milliseconds kApplyTime{2'000};
/// Time after a disturbance from which on bounds hold.
constexpr milliseconds kContactTime{3'000};
/// A little longer than the time between two messages of a daemon.
constexpr milliseconds kMessageTime{600};

/// A configuration with a route of its own for each revision, and the key of
/// its revision.
std::string Configuration(std::uint64_t revision, std::size_t more_routes = 0) {
  const std::string number = std::to_string(revision);
  std::string text =
      R"({"Version":)" + number +
      R"(,"Services":[{"Name":"plain"}],"Tenants":[{"Name":)"
      R"("bells","ApiKeys":["key-)" +
      number + R"("]}],"Routes":[)" +
      PlatformRoute{.name = "keyed", .allows_anonymous = false}.ToText() + "," +
      PlatformRoute{.name = "added-" + number}.ToText();
  for (std::size_t i = 0; i < more_routes; ++i) {
    text += "," + PlatformRoute{.name = "more-" + std::to_string(i) + "-" +
                                        std::string(120, 'x')}
                      .ToText();
  }
  return text + "]}";
}

template <class Condition>
bool BecomesTrue(Condition condition, milliseconds timeout) {
  const auto deadline = steady_clock::now() + timeout;
  while (!condition() && steady_clock::now() < deadline) {
    std::this_thread::sleep_for(milliseconds(20));
  }
  return condition();
}

/// Starts all daemons and waits until they serve and know each other.
void StartAll(RelayFleet& fleet) {
  fleet.Write(Configuration(1));
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    fleet.Start(i);
  }
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    REQUIRE(BecomesTrue(
        [&] {
          return fleet.IsReady(i) &&
                 fleet.Metric(i, "sycamoreford_relay_daemons") ==
                     static_cast<double>(fleet.size());
        },
        milliseconds(15'000)));
  }
}

TEST_CASE("a daemon that the store turns away has changes in force in time") {
  const auto access =
      GENERATE(RelayFleet::Access::kRefused, RelayFleet::Access::kSilent);
  CAPTURE(static_cast<int>(access));
  RelayFleet fleet(3);
  StartAll(fleet);
  fleet.SetAccess(0, access);
  std::this_thread::sleep_for(kMessageTime);

  SECTION("an added route is served and a revoked key refused") {
    fleet.Write(Configuration(2));
    const bool is_served = BecomesTrue(
        [&] { return fleet.Ask(0, "/added-2/1") == 200; }, kApplyTime);
    CAPTURE(fleet.daemon(0).process->Output());
    REQUIRE(is_served);
    CHECK(fleet.Ask(0, "/added-1/1") == 404);
    CHECK(fleet.Ask(0, "/keyed/1", "key-1") == 401);
    CHECK(fleet.Ask(0, "/keyed/1", "key-2") == 200);
  }
  SECTION("in a series of large configurations") {
    constexpr std::uint64_t kChanges = 15;
    constexpr std::size_t kRoutes = 1'400;
    std::vector<steady_clock::time_point> confirmed_at(kChanges + 2);
    std::uint64_t newest = 1;
    auto next_at = steady_clock::now();
    while (newest <= kChanges ||
           steady_clock::now() < confirmed_at[newest] + kApplyTime) {
      if (newest <= kChanges && steady_clock::now() >= next_at) {
        fleet.Write(Configuration(++newest, kRoutes));
        confirmed_at[newest] = steady_clock::now();
        next_at += milliseconds(330);
      }
      const auto asked_at = steady_clock::now();
      const std::uint64_t in_force = fleet.RevisionOf(0);
      std::uint64_t due = newest;
      while (due > 1 && confirmed_at[due] + kApplyTime > asked_at) {
        --due;
      }
      CAPTURE(newest);
      REQUIRE(in_force >= due);
      std::this_thread::sleep_for(milliseconds(30));
    }
    CHECK(fleet.RevisionOf(0) == newest);
  }
}

// Guards against a change that all daemons miss at the same time, as the
// responses to the polls that they have open are lost and nothing else fails.
TEST_CASE("a change is in force in time when all polls for it were lost") {
  RelayFleet fleet(4);
  StartAll(fleet);
  const auto set_access = [&](RelayFleet::Access access) {
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      fleet.SetAccess(i, access);
    }
  };
  const auto is_watcher = [&](std::size_t i) {
    return fleet.Metric(i, "sycamoreford_relay_config_watcher") == 1;
  };
  // All daemons have told each other that they are there.
  std::size_t watcher = 0;
  REQUIRE(BecomesTrue(
      [&] {
        std::size_t watchers = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
          watcher = is_watcher(i) ? i : watcher;
          watchers += is_watcher(i) ? 1 : 0;
        }
        return watchers == 1;
      },
      milliseconds(5'000)));
  const bool is_watcher_lost = GENERATE(false, true);
  CAPTURE(is_watcher_lost);
  set_access(RelayFleet::Access::kWithoutConfiguration);
  const auto lost_at = steady_clock::now();
  std::this_thread::sleep_for(milliseconds(300));
  if (is_watcher_lost) {
    fleet.daemon(watcher).process.reset();
  }
  fleet.Write(Configuration(2));
  set_access(RelayFleet::Access::kServed);
  const auto contact_at = lost_at + kContactTime;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (!fleet.daemon(i).process) {
      continue;
    }
    CAPTURE(i);
    const bool is_in_force = BecomesTrue(
        [&] { return fleet.RevisionOf(i) == 2; },
        std::chrono::ceil<milliseconds>(contact_at - steady_clock::now()));
    CAPTURE(fleet.daemon(i).process->Output());
    CHECK(is_in_force);
  }
}

/// Another daemon that has stopped at an old configuration and serves it to
/// those that start.
class SeedBehind {
 public:
  explicit SeedBehind(const std::string& manifest_source) {
    PeerState state;
    state.manifest_source = manifest_source;
    const std::string body = state.ToText();
    endpoint_.AddScript(
        {fakes::Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body),
         fakes::Close()});
    thread_ = std::thread([this] { context_.run(); });
  }
  ~SeedBehind() {
    context_.stop();
    thread_.join();
  }
  [[nodiscard]] std::string address() const { return endpoint_.address(); }

 private:
  boost::asio::io_context context_{1};
  fakes::ScriptedEndpoint endpoint_{context_};
  std::thread thread_;
};

TEST_CASE("a daemon that starts without the store is not behind for long") {
  RelayFleet fleet(2);
  const SeedBehind behind(Configuration(1));
  fleet.Write(Configuration(5));
  fleet.Start(1);
  REQUIRE(BecomesTrue([&] { return fleet.IsReady(1); }, milliseconds(15'000)));
  fleet.SetAccess(0, RelayFleet::Access::kRefused);
  fleet.Start(0, behind.address() + "," + fleet.daemon(1).seeds);
  REQUIRE(BecomesTrue([&] { return fleet.RevisionOf(0) > 0; },
                      milliseconds(5'000)));
  const bool has_newest =
      BecomesTrue([&] { return fleet.RevisionOf(0) == 5; }, kApplyTime);
  {
    CAPTURE(fleet.daemon(0).process->Output());
    REQUIRE(has_newest);
  }
  SECTION("also when the configuration changes after the start") {
    fleet.Write(Configuration(6));
    const bool follows =
        BecomesTrue([&] { return fleet.RevisionOf(0) == 6; }, kApplyTime);
    CAPTURE(fleet.daemon(0).process->Output());
    CHECK(follows);
  }
}

TEST_CASE(
    "a daemon that does not know the others has changes in force in time") {
  RelayFleet fleet(2);
  fleet.Write(Configuration(1));
  fleet.Start(1);
  fleet.SetAccess(0, RelayFleet::Access::kWithoutDaemons);
  fleet.Start(0, fleet.daemon(1).seeds);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    REQUIRE(
        BecomesTrue([&] { return fleet.IsReady(i); }, milliseconds(15'000)));
  }
  const auto access =
      GENERATE(RelayFleet::Access::kRefused, RelayFleet::Access::kSilent);
  CAPTURE(static_cast<int>(access));
  fleet.SetAccess(0, access);
  fleet.Write(Configuration(2));
  const bool follows =
      BecomesTrue([&] { return fleet.RevisionOf(0) == 2; }, kApplyTime);
  CAPTURE(fleet.daemon(0).process->Output());
  CHECK(follows);
}

}  // namespace
}  // namespace sycamoreford
