// A caller that leaves while several attempts at its request are in flight.
#include <catch2/catch.hpp>

#include <optional>
#include <thread>

#include "support/event_stream.h"
#include "support/relay_fixture.h"

namespace sycamoreford {
namespace {

using fakes::ScriptedEndpoint;
using fakes::Send;
using fakes::WaitForClose;
using std::chrono::milliseconds;
using support::Event;
using support::Part;
using support::RawConnection;
using support::RelayFixture;
using support::StreamHead;

/// Maximum time in which all attempts of a caller that has left are closed.
constexpr milliseconds kMaxCloseTime{500};

template <class Condition>
bool BecomesTrue(Condition condition, milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition() && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  return condition();
}

/// Sends a request, leaves when both endpoints have it, and requires that both
/// connections are closed soon.
void RequireBothClosed(RelayFixture& fixture,
                       const std::string& path,
                       const ScriptedEndpoint& first,
                       const ScriptedEndpoint& second,
                       const std::string& last_received = "") {
  std::optional<RawConnection> caller(fixture.server.address());
  caller->Send(RelayFixture::Request("POST", path, "Api-Key: key-1\r\n"));
  REQUIRE(BecomesTrue([&] { return second.requests().size() == 1; },
                      milliseconds(3'000)));
  if (!last_received.empty()) {
    caller->ReadUntil(last_received);
  }
  std::this_thread::sleep_for(milliseconds(50));
  REQUIRE(first.closed_by_peer_count() + second.closed_by_peer_count() == 0);
  caller.reset();
  REQUIRE(BecomesTrue(
      [&] {
        return first.closed_by_peer_count() == 1 &&
               second.closed_by_peer_count() == 1;
      },
      kMaxCloseTime));
}

TEST_CASE("all attempts are closed when the caller has left") {
  RelayFixture fixture;
  SECTION("while two endpoints of a plain service are late") {
    fixture.plain_1.AddScript({WaitForClose()});
    fixture.plain_2.AddScript({WaitForClose()});
    fixture.Start(
        [](RelayRoute& route) { route.target_latency = milliseconds(100); });
    RequireBothClosed(fixture, "/safe/1", fixture.plain_1, fixture.plain_2);
  }
  // An endpoint whose report is reset is suspected, while its stream waits.
  SECTION("while a second chain is tried beside a silent one") {
    fixture.WatchChains();
    fixture.model_1.report.clear();
    fixture.model_1.AddScript(
        {Send(StreamHead() + Part(Event(0))), WaitForClose()});
    fixture.model_2.AddScript({WaitForClose()});
    fixture.Start();
    RequireBothClosed(fixture, "/stream/1", fixture.model_1, fixture.model_2);
  }
  SECTION("after a silent attempt was replaced and closed") {
    fixture.WatchChains();
    fixture.model_1.report.clear();
    fixture.model_1.AddScript(
        {Send(StreamHead() + Part(Event(0))), WaitForClose()});
    fixture.model_2.AddScript(
        {Send(StreamHead() + Part(Event(1))), WaitForClose()});
    fixture.Start();
    std::optional<RawConnection> caller(fixture.server.address());
    caller->Send(
        RelayFixture::Request("POST", "/stream/1", "Api-Key: key-1\r\n"));
    caller->ReadUntil(Event(1));
    REQUIRE(
        BecomesTrue([&] { return fixture.model_1.closed_by_peer_count() == 1; },
                    kMaxCloseTime));
    REQUIRE(fixture.model_2.closed_by_peer_count() == 0);
    caller.reset();
    REQUIRE(
        BecomesTrue([&] { return fixture.model_2.closed_by_peer_count() == 1; },
                    kMaxCloseTime));
  }
}

}  // namespace
}  // namespace sycamoreford
