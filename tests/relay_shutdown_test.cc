// The end of a relay while requests are in flight; run it under the address
// sanitizer.
#include <catch2/catch.hpp>

#include <thread>

#include "support/event_stream.h"
#include "support/relay_fixture.h"

namespace sycamoreford {
namespace {

using fakes::Send;
using fakes::WaitForClose;
using support::RawConnection;
using support::RelayFixture;
using support::StreamHead;

void StopWhileInFlight(RelayFixture& fixture, const std::string& path) {
  fixture.Start();
  RawConnection caller(fixture.server.address());
  caller.Send(RelayFixture::Request("POST", path, "Api-Key: key-1\r\n"));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
}

TEST_CASE("a relay may end while a plain request is in flight") {
  RelayFixture fixture;
  fixture.plain_1.AddScript({WaitForClose()});
  StopWhileInFlight(fixture, "/safe/1");
  REQUIRE(fixture.plain_1.requests().size() == 1);
}

TEST_CASE("a relay may end while a stream is in flight") {
  RelayFixture fixture;
  fixture.model_1.AddScript({Send(StreamHead()), WaitForClose()});
  StopWhileInFlight(fixture, "/stream/1");
  REQUIRE(fixture.model_1.requests().size() == 1);
}

}  // namespace
}  // namespace sycamoreford
