// Signs that look like the loss of an endpoint while its streams go on, as
// callers of a relay see them.
#include <map>

#include <catch2/catch.hpp>

#include "support/event_stream.h"
#include "support/relay_fixture.h"

namespace sycamoreford {
namespace {

using fakes::Close;
using fakes::EndpointScript;
using fakes::Reset;
using fakes::Send;
using fakes::StopListening;
using fakes::Wait;
using fakes::WaitForClose;
using std::chrono::milliseconds;
using support::BodyEnd;
using support::Event;
using support::ParseResponse;
using support::Part;
using support::ReceivedResponse;
using support::RelayFixture;
using support::StreamHead;

/// Long enough for a stream to be regarded as stalled.
constexpr milliseconds kPause{600};

const std::string kAllEvents = Event(0) + Event(1) + Event(2);
const std::string kApiKey = "Api-Key: key-1\r\n";

std::string PlainResponse(const std::string& status,
                          const std::string& extra_headers,
                          const std::string& body) {
  return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: r1\r\n" + extra_headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const EndpointScript kRefuse = {
    Send(PlainResponse("503 Service Unavailable", "X-Not-Executed: 1\r\n", "")),
    Close()};
const EndpointScript kWholeStream = {
    Send(StreamHead() + Part(kAllEvents) + BodyEnd()), WaitForClose()};

void RequireWholeStream(const ReceivedResponse& response) {
  REQUIRE(response.status == "200");
  REQUIRE(response.body == kAllEvents);
  REQUIRE(response.is_complete);
}

EndpointScript Report(const std::string& body) {
  return {Send(PlainResponse("200 OK", "", body)), Close()};
}

/// How the endpoint at `address` responds to inspections, by description.
std::map<std::string, EndpointScript> Inspections(const std::string& address) {
  return {
      {"is reset", {Reset()}},
      {"ends without a response", {Close()}},
      {"gets status 503", kRefuse},
      {"gets bytes that are not a report", Report("{]")},
      {"is answered late", {Wait(milliseconds(300)), Close()}},
      {"shows another start than the directory", Report(R"({"born":5})")},
      {"shows a stage that the stream waits for",
       Report(R"({"Stalled":[{"Id":"r1","Address":")" + address + R"("}]})")}};
}

TEST_CASE("a stream that goes on is not cut by an inspection") {
  const std::string inspection =
      GENERATE("is reset", "ends without a response", "gets status 503",
               "gets bytes that are not a report", "is answered late",
               "shows another start than the directory",
               "shows a stage that the stream waits for");
  RelayFixture fixture;
  fixture.WatchChains();
  fixture.model_1.AddScript({Send(StreamHead() + Part(Event(0))), Wait(kPause),
                             Send(Part(Event(1) + Event(2)) + BodyEnd()),
                             WaitForClose()});
  fixture.model_1.report_script =
      Inspections(fixture.model_1.address()).at(inspection);

  DYNAMIC_SECTION("that " << inspection) {
    SECTION("when there is no other chain") {
      fixture.Remove("m2");
      fixture.Start();
      RequireWholeStream(ParseResponse(fixture.Fetch("POST", "/stream/1")));
    }
    SECTION("when the other chain refuses") {
      fixture.model_2.AddScript(kRefuse);
      fixture.Start();
      RequireWholeStream(ParseResponse(fixture.Fetch("POST", "/stream/1")));
    }
    SECTION("when it runs at most once") {
      fixture.model_2.AddScript(kWholeStream);
      fixture.Start();
      RequireWholeStream(
          ParseResponse(fixture.Fetch("POST", "/stream-once/1")));
      REQUIRE(fixture.model_1.requests().size() == 1);
      REQUIRE(fixture.model_2.requests().empty());
    }
  }
}

TEST_CASE("a stream that goes on is not cut when another request") {
  RelayFixture fixture;
  const auto pause_after = [](std::vector<fakes::EndpointStep> before) {
    before.insert(before.begin(), Send(StreamHead() + Part(Event(0))));
    before.insert(before.end(),
                  {Wait(kPause), Send(Part(Event(1) + Event(2)) + BodyEnd()),
                   WaitForClose()});
    return before;
  };
  const std::string failure =
      GENERATE("gets no connection", "is reset", "is refused");
  if (failure == "gets no connection") {
    fixture.model_1.AddScript(pause_after({StopListening()}));
  } else {
    fixture.model_1.AddScript(pause_after({}));
    fixture.model_1.AddScript(failure == "is reset" ? EndpointScript{Reset()}
                                                    : kRefuse);
  }
  const auto fetch_during = [&](const std::string& path) {
    support::RawConnection connection(fixture.server.address());
    connection.Send(RelayFixture::Request("POST", path, kApiKey));
    connection.ReadUntil("id: 0");
    fixture.Fetch("POST", "/stream/1");
    return ParseResponse(connection.ReadAll());
  };

  DYNAMIC_SECTION(failure << " at the same endpoint") {
    SECTION("and there is no other chain") {
      fixture.Remove("m2");
      fixture.Start();
      RequireWholeStream(fetch_during("/stream/1"));
    }
    SECTION("and the other chain refuses") {
      fixture.model_2.AddScript(kRefuse);
      fixture.Start();
      RequireWholeStream(fetch_during("/stream/1"));
    }
    SECTION("and it runs at most once") {
      fixture.model_2.AddScript(kWholeStream);
      fixture.Start();
      RequireWholeStream(fetch_during("/stream-once/1"));
    }
  }
}

TEST_CASE("an endpoint whose address cannot be parsed is not used") {
  RelayFixture fixture;
  const std::string address = GENERATE("no-address", "10.0.0.1", "10.0.0.1:x");
  CAPTURE(address);
  fixture.SetAddress("p1", address);
  fixture.SetAddress("m1", address);
  fixture.plain_2.AddScript(
      {Send(PlainResponse("200 OK", "X-Response-Seal: s\r\n", "booked")),
       Close()});
  fixture.model_2.AddScript(kWholeStream);

  SECTION("for a plain request") {
    fixture.Start();
    const auto path = GENERATE("/safe/1", "/once/1");
    REQUIRE(ParseResponse(fixture.Fetch("POST", path)).status == "200");
  }
  SECTION("for a stream") {
    fixture.Start();
    const auto path = GENERATE("/stream/1", "/stream-once/1");
    RequireWholeStream(ParseResponse(fixture.Fetch("POST", path)));
  }
  SECTION("and requests are refused as not run if there is no other") {
    fixture.Remove("p2");
    fixture.Remove("m2");
    fixture.Start();
    const auto path = GENERATE("/safe/1", "/stream/1");
    REQUIRE(ParseResponse(fixture.Fetch("POST", path)).status == "503");
  }
}

}  // namespace
}  // namespace sycamoreford
