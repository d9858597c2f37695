// Counts the endpoints that run a caller's request when relays without links
// to endpoints send it through others.
#include <string>

#include <catch2/catch.hpp>

#include "support/failing_responses.h"
#include "support/relay_network.h"

namespace sycamoreford {
namespace {

using fakes::LinkState;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::BreakStream;
using support::Fail;
using support::RelayNetwork;
using support::ResetBeforeHead;
using support::RespondLate;

/// Of the routes of the sample configuration.
constexpr std::size_t kMaxAttempts = 2;
constexpr std::size_t kRelays = 4;
constexpr std::size_t kCutRelays = 2;
constexpr std::size_t kEndpoints = 6;

TEST_CASE("a request runs on no more endpoints than its route allows") {
  struct Case {
    std::string what;
    std::string path;
    RelayNetwork::Responder respond;
    milliseconds time{2'500};
  };
  const auto test = GENERATE(
      Case{"endpoints respond late", "/safe/", RespondLate, seconds(6)},
      Case{"endpoints respond with errors", "/safe/", Fail},
      Case{"endpoints reset connections", "/safe/", ResetBeforeHead},
      Case{"endpoints break streams", "/stream/", BreakStream},
      Case{"endpoints of a model respond with errors", "/stream/", Fail},
      Case{"endpoints of a model reset connections", "/stream/",
           ResetBeforeHead});
  const auto state = GENERATE(LinkState::kUp, LinkState::kHanging,
                              LinkState::kReset, LinkState::kRefusing);
  CAPTURE(test.what, static_cast<int>(state));
  RelayNetwork network(kRelays, kEndpoints, test.respond);
  for (std::size_t relay = 0; relay < kCutRelays; ++relay) {
    network.SetLinks(relay, state);
  }
  network.StartLoad(kCutRelays, {test.path}, milliseconds(25));
  network.RunFor(test.time);
  CHECK(network.endpoints_of.size() >= 20);
  CHECK(network.CountOverBound(kMaxAttempts) == 0);
}

}  // namespace
}  // namespace sycamoreford
