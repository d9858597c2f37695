// Sends streams through several relays to chains whose first endpoints turn
// them away and ask for a pause.
#include <algorithm>
#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "support/backoff_deployment.h"

namespace sycamoreford {
namespace {

using fakes::LinkState;
using fakes::OverloadedEndpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::BackoffDeployment;

const std::string kPath = "/stream/1";
/// Time in which a daemon learns that it is cut off.
constexpr milliseconds kContactTime{1'500};
/// Requests within this time after the pause of an only endpoint; all of the
/// load and as much again of callers that come back.
constexpr std::size_t kMaxReturning = 50;

BackoffDeployment::Time Now() {
  return std::chrono::steady_clock::now();
}

TEST_CASE("an endpoint gets no streams during the pause that it asked for") {
  BackoffDeployment deployment(2);
  OverloadedEndpoint& resting = *deployment.endpoints.front();

  SECTION("and another chain serves them") {}
  SECTION("nor if its rejections lack the mark of what has not run") {
    resting.marks_not_run = false;
  }
  SECTION("nor if the body of its rejections never ends") {
    resting.rejects_without_end = true;
  }
  SECTION("nor if it states a limit as well") {
    resting.extra_headers = "Server-Limit: 20\r\n";
  }
  deployment.StartLoad(kPath);
  deployment.RunFor(milliseconds(500));
  resting.is_overloaded = true;
  const auto since = Now();
  deployment.RunFor(seconds(5));
  CHECK(resting.AskedDaemons() == BackoffDeployment::kRelays);
  CHECK(resting.MaxArrivalsInPause() <= 1);
  CHECK(deployment.FailedSince(since).empty());
  CHECK(deployment.ServedSince(since) > 100);

  resting.is_overloaded = false;
  deployment.RunFor(resting.pause);
  const auto rested = Now();
  deployment.RunFor(milliseconds(500));
  CHECK(resting.ArrivalsSince(rested) > 0);
}

TEST_CASE("streams are refused at once while their only chain rests") {
  BackoffDeployment deployment(1);
  OverloadedEndpoint& resting = *deployment.endpoints.front();
  deployment.StartLoad(kPath);
  deployment.RunFor(milliseconds(500));
  resting.is_overloaded = true;
  const auto since = Now();
  deployment.RunFor(milliseconds(1'500));
  CHECK(resting.MaxArrivalsInPause() <= 1);
  std::set<double> times;
  for (const auto& answer : deployment.FailedSince(since)) {
    CHECK(answer.status == 503);
    CHECK(answer.time < milliseconds(200));
    CHECK(answer.retry_after_count == 1);
    // All relays were asked soon after `since`.
    const std::chrono::duration<double> left =
        since + resting.pause - (answer.sent + answer.time);
    CHECK(answer.retry_after >= left.count());
    CHECK(answer.retry_after <= left.count() + 2.5);
    times.insert(answer.retry_after);
  }
  CHECK(times.size() > 20);

  resting.is_overloaded = false;
  deployment.RunFor(resting.pause - milliseconds(1'000));
  const auto rested = Now();
  deployment.RunFor(milliseconds(500));
  CHECK(resting.ArrivalsSince(rested) > 0);
  CHECK(resting.ArrivalsSince(rested) < kMaxReturning);
  deployment.RunFor(milliseconds(500));
  CHECK(deployment.FailedSince(rested + milliseconds(300)).empty());
}

TEST_CASE("a relay that serves others that are cut off keeps the pause") {
  const std::size_t endpoint_count = GENERATE(1, 2);
  CAPTURE(endpoint_count);
  BackoffDeployment deployment(endpoint_count);
  OverloadedEndpoint& resting = *deployment.endpoints.front();
  deployment.StartLoad(kPath);
  deployment.RunFor(milliseconds(500));
  for (std::size_t relay = 1; relay < BackoffDeployment::kRelays; ++relay) {
    deployment.SetLinks(relay, LinkState::kRefusing);
  }
  deployment.RunFor(kContactTime);
  resting.is_overloaded = true;
  const auto since = Now();
  deployment.RunFor(seconds(4));
  CHECK(resting.AskedDaemons() == 1);
  CHECK(resting.MaxArrivalsInPause() <= 1);
  const auto failed = deployment.FailedSince(since);
  if (endpoint_count > 1) {
    CHECK(failed.empty());
  }
  for (const auto& answer : failed) {
    CHECK(answer.status == 503);
    CHECK(answer.time < milliseconds(200));
    CHECK(answer.retry_after >= 0.3);
  }
}

TEST_CASE("an endpoint that rests is not inspected") {
  BackoffDeployment deployment(2);
  OverloadedEndpoint& resting = *deployment.endpoints.front();
  resting.is_overloaded = true;
  const auto inspect = [&] {
    for (const auto& relay : deployment.relays) {
      relay->state.Inspect("model0", InspectionCause::kAsked);
    }
    deployment.RunFor(milliseconds(50));
  };
  for (int i = 0; i < 80; ++i) {
    inspect();
  }
  CHECK(resting.MaxArrivalsInPause() <= 1);
  CHECK(resting.AskedDaemons() == BackoffDeployment::kRelays);
  // It responds, so it is not lost.
  CHECK(deployment.relays.front()->state.directory().Find("model0")->IsUsable(
      deployment.relays.front()->clock.Now()));

  resting.is_overloaded = false;
  deployment.RunFor(resting.pause);
  const auto rested = Now();
  inspect();
  CHECK(resting.ArrivalsSince(rested) > 0);
}

TEST_CASE("streams that break are not resumed at an endpoint that rests") {
  BackoffDeployment deployment(2);
  OverloadedEndpoint& resting = *deployment.endpoints.front();
  OverloadedEndpoint& crashing = *deployment.endpoints.back();
  deployment.StartLoad(kPath);
  deployment.RunFor(milliseconds(500));
  resting.is_overloaded = true;
  crashing.breaks_streams = true;
  deployment.RunFor(seconds(4));
  CHECK(resting.AskedDaemons() == BackoffDeployment::kRelays);
  CHECK(resting.MaxArrivalsInPause() <= 1);
}

TEST_CASE("what else is known of an endpoint does not end its pause") {
  BackoffDeployment deployment(2);
  OverloadedEndpoint& resting = *deployment.endpoints.front();
  deployment.StartLoad(kPath);
  deployment.RunFor(milliseconds(500));
  resting.is_overloaded = true;
  deployment.RunFor(milliseconds(600));
  REQUIRE(resting.AskedDaemons() == BackoffDeployment::kRelays);

  SECTION("its entry is dropped and listed again") {
    deployment.Remove(0);
    deployment.RunFor(milliseconds(100));
    deployment.Announce(0, 1);
    deployment.RunFor(milliseconds(1'200));
    CHECK(resting.MaxArrivalsInPause() <= 1);
  }
  SECTION("a suspicion of it ends") {
    for (const auto& relay : deployment.relays) {
      relay->state.OnEndpointSuspected("model0", "test", relay->clock.Now());
    }
    deployment.RunFor(milliseconds(1'200));
    CHECK(resting.MaxArrivalsInPause() <= 1);
  }
  SECTION("but its next run is another endpoint") {
    resting.is_overloaded = false;
    const auto listed = Now();
    deployment.Announce(0, 2);
    deployment.RunFor(milliseconds(500));
    CHECK(resting.ArrivalsSince(listed) > 0);
  }
}

}  // namespace
}  // namespace sycamoreford
