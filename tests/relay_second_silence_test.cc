// A resumable stream whose endpoint is silent while the one that was tried in
// its place is silent too.
#include <catch2/catch.hpp>

#include "support/event_stream.h"
#include "support/relay_fixture.h"

namespace sycamoreford {
namespace {

using fakes::FallSilent;
using fakes::Send;
using fakes::WaitForClose;
using std::chrono::milliseconds;
using support::BodyEnd;
using support::Event;
using support::ParseResponse;
using support::Part;
using support::RelayFixture;
using support::StreamHead;

constexpr milliseconds kForever{60'000};

TEST_CASE("a stream is tried at a third chain when two are silent") {
  RelayFixture fixture;
  fixture.AddThirdModel();
  fixture.WatchChains();
  fixture.model_1.AddScript({Send(StreamHead() + Part(Event(0))),
                             FallSilent(kForever), WaitForClose()});
  fixture.model_2.AddScript({FallSilent(kForever), WaitForClose()});
  fixture.model_3.AddScript(
      {Send(StreamHead() + Part(Event(1) + Event(2)) + BodyEnd()),
       WaitForClose()});
  fixture.Start([](RelayRoute& route) { route.max_attempts = 3; });
  const auto response = ParseResponse(fixture.Fetch("POST", "/stream/1"));
  REQUIRE(response.status == "200");
  REQUIRE(response.body == Event(0) + Event(1) + Event(2));
  REQUIRE(response.is_complete);
}

}  // namespace
}  // namespace sycamoreford
