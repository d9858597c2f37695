// Responses whose end a caller of a relay cannot tell from a length or chunks.
#include <catch2/catch.hpp>

#include "support/event_stream.h"
#include "support/relay_fixture.h"

namespace sycamoreford {
namespace {

using fakes::Close;
using fakes::Reset;
using fakes::Send;
using fakes::Wait;
using fakes::WaitForClose;
using std::chrono::milliseconds;
using support::BodyEnd;
using support::Event;
using support::Part;
using support::RawConnection;
using support::RelayFixture;
using support::StreamHead;

const std::string kApiKey = "Api-Key: key-1\r\n";

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("a stream to a caller that does not know chunks") {
  RelayFixture fixture;
  fixture.Remove("m2");
  std::string request = RelayFixture::Request("POST", "/stream/1", kApiKey);
  request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");

  SECTION("ends with its connection when it is complete") {
    fixture.model_1.AddScript(
        {Send(StreamHead() + Part(Event(0) + Event(1)) + BodyEnd()),
         WaitForClose()});
    fixture.Start();
    RawConnection connection(fixture.server.address());
    connection.Send(request);
    REQUIRE(Contains(connection.ReadAll(), "\r\n\r\n" + Event(0) + Event(1)));
    REQUIRE_FALSE(connection.was_reset());
  }
  SECTION("is reset when it is broken off") {
    fixture.model_1.AddScript(
        {Send(StreamHead() + Part(Event(0))), Wait(milliseconds(50)), Reset()});
    fixture.Start();
    RawConnection connection(fixture.server.address());
    connection.Send(request);
    REQUIRE(Contains(connection.ReadAll(), Event(0)));
    REQUIRE(connection.was_reset());
  }
}

TEST_CASE("the response to HEAD has a length but no body") {
  RelayFixture fixture;
  const fakes::EndpointScript script = {
      Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n"
           "Content-Length: 6\r\n\r\n"),
      Close()};
  fixture.plain_1.AddScript(script);
  fixture.plain_2.AddScript(script);
  fixture.Start();
  const auto path = GENERATE("/safe/1", "/once/1");
  REQUIRE(Contains(fixture.Fetch("HEAD", path), "HTTP/1.1 200"));
  REQUIRE(fixture.plain_1.requests().size() +
              fixture.plain_2.requests().size() ==
          1);
}

}  // namespace
}  // namespace sycamoreford
