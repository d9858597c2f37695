// Refusals by relays that are cut off, while the endpoint that another relay
// reaches for them is in a pause.
#include <string>

#include <catch2/catch.hpp>

#include "support/backoff_deployment.h"

namespace sycamoreford {
namespace {

using fakes::LinkState;
using fakes::OverloadedEndpoint;
using std::chrono::milliseconds;
using support::BackoffDeployment;

TEST_CASE("callers of a relay that is cut off come back after the pause") {
  const std::string path = GENERATE("/safe/1", "/stream/1");
  CAPTURE(path);
  BackoffDeployment deployment(1);
  OverloadedEndpoint& resting = *deployment.endpoints.front();
  deployment.StartLoad(path);
  deployment.RunFor(milliseconds(500));
  for (std::size_t relay = 1; relay < BackoffDeployment::kRelays; ++relay) {
    deployment.SetLinks(relay, LinkState::kRefusing);
  }
  deployment.RunFor(milliseconds(1'500));
  resting.is_overloaded = true;
  const auto since = std::chrono::steady_clock::now();
  deployment.RunFor(milliseconds(1'500));
  const auto failed = deployment.FailedSince(since);
  CHECK(failed.size() > 50);
  for (const auto& answer : failed) {
    CHECK(answer.status == 503);
    const std::chrono::duration<double> left =
        since + resting.pause - (answer.sent + answer.time);
    CHECK(answer.retry_after >= left.count());
  }
}

}  // namespace
}  // namespace sycamoreford
