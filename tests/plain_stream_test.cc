// Streams of services without an engine, whose endpoints crash, fall silent or
// leave out the framing, as callers of a relay see them.
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "support/event_stream.h"
#include "support/relay_fixture.h"
#include "support/relay_network.h"

namespace sycamoreford {
namespace {

using fakes::Close;
using fakes::EndpointScript;
using fakes::FallSilent;
using fakes::Reset;
using fakes::ScriptedEndpoint;
using fakes::Send;
using fakes::Wait;
using fakes::WaitForClose;
using std::chrono::milliseconds;
using support::BodyEnd;
using support::Event;
using support::Framing;
using support::ParseResponse;
using support::Part;
using support::ReceivedResponse;
using support::RelayFixture;
using support::RelayNetwork;
using support::StreamHead;

constexpr int kEvents = 3;
const std::string kAllEvents = Event(0) + Event(1) + Event(2);

/// The rest of the stream that a request asks for.
EndpointScript RestOfStream(const HttpRequest& request, Framing framing) {
  const std::string last(request.fields.Get("Last-Event-Id"));
  std::string rest;
  for (int id = last.empty() ? 0 : std::stoi(last) + 1; id < kEvents; ++id) {
    rest += Event(id);
  }
  return {Send(StreamHead(framing) + Part(rest, framing) + BodyEnd(framing)),
          Close()};
}

/// Both endpoints respond in this way to the first request, and soundly to
/// others.
void SetFirstResponse(RelayFixture& fixture,
                      const EndpointScript& first,
                      Framing framing = Framing::kChunks) {
  const auto is_first = std::make_shared<std::atomic<bool>>(true);
  for (ScriptedEndpoint* endpoint : {&fixture.plain_1, &fixture.plain_2}) {
    endpoint->SetResponder([=](const HttpRequest& request) {
      return is_first->exchange(false) ? first : RestOfStream(request, framing);
    });
  }
}

std::vector<HttpRequest> RequestsOf(const RelayFixture& fixture) {
  auto requests = fixture.plain_1.requests();
  for (HttpRequest& request : fixture.plain_2.requests()) {
    requests.push_back(std::move(request));
  }
  return requests;
}

ReceivedResponse FetchStream(const RelayFixture& fixture,
                             const std::string& path = "/plain-stream/1") {
  return ParseResponse(fixture.Fetch("POST", path));
}

// Guards against a stream that its endpoint has cut inside an event and that
// looks complete.
TEST_CASE("a stream that ends inside an event is not complete") {
  const auto framing = GENERATE(Framing::kConnection, Framing::kChunks);
  const auto cut = GENERATE(1, 7, 16, 20, 44);
  CAPTURE(framing == Framing::kChunks, cut);
  RelayFixture fixture;
  SetFirstResponse(
      fixture,
      {Send(StreamHead(framing) +
            Part(kAllEvents.substr(0, static_cast<std::size_t>(cut)), framing) +
            BodyEnd(framing)),
       Close()},
      framing);
  fixture.Start();

  SECTION("the rest comes from another endpoint if it may be resumed") {
    const auto response = FetchStream(fixture);
    CHECK(response.status == "200");
    CHECK(response.body == kAllEvents);
    CHECK(response.is_complete);
    CHECK(RequestsOf(fixture).size() == 2);
  }
  SECTION("it is cut off for the caller as well if it runs at most once") {
    const auto response = FetchStream(fixture, "/plain-stream-once/1");
    CHECK_FALSE((response.status == "200" && response.is_complete));
    CHECK(kAllEvents.starts_with(response.body));
    CHECK(RequestsOf(fixture).size() == 1);
  }
}

TEST_CASE("a stream of a plain service") {
  const auto framing = GENERATE(Framing::kConnection, Framing::kChunks);
  CAPTURE(framing == Framing::kChunks);
  RelayFixture fixture;

  SECTION("is passed on whole") {
    SetFirstResponse(fixture,
                     {Send(StreamHead(framing) + Part(kAllEvents, framing) +
                           BodyEnd(framing)),
                      Close()});
    fixture.Start();
    const auto response = FetchStream(fixture);
    CHECK(response.body == kAllEvents);
    CHECK(response.is_complete);
  }
  SECTION("is passed on as its events arrive") {
    SetFirstResponse(
        fixture,
        {Send(StreamHead(framing) + Part(Event(0), framing)),
         Wait(milliseconds(600)),
         Send(Part(Event(1) + Event(2), framing) + BodyEnd(framing)), Close()});
    fixture.Start();
    support::RawConnection caller(fixture.server.address());
    const auto sent_at = std::chrono::steady_clock::now();
    caller.Send(
        RelayFixture::Request("POST", "/plain-stream/1", "Api-Key: key-1\r\n"));
    CHECK(caller.ReadUntil(Event(0)).find(Event(0)) != std::string::npos);
    CHECK(std::chrono::steady_clock::now() - sent_at < milliseconds(400));
    CHECK(ParseResponse(caller.ReadAll()).body == kAllEvents);
  }
  SECTION("goes on elsewhere when its endpoint resets the connection") {
    SetFirstResponse(fixture,
                     {Send(StreamHead(framing) + Part(Event(0), framing)),
                      Wait(milliseconds(50)), Reset()},
                     framing);
    fixture.Start();
    const auto response = FetchStream(fixture);
    CHECK(response.body == kAllEvents);
    CHECK(response.is_complete);
  }
  SECTION("goes on elsewhere when its endpoint is silent") {
    SetFirstResponse(fixture,
                     {Send(StreamHead(framing) + Part(Event(0), framing)),
                      Wait(milliseconds(4'500)), Reset()},
                     framing);
    fixture.WatchChains();
    fixture.Start();
    const auto response = FetchStream(fixture);
    CHECK(response.body == kAllEvents);
    CHECK(response.is_complete);
  }
  SECTION("is refused elsewhere, and refused as not run") {
    const EndpointScript refusal = {
        Send("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: r1\r\n"
             "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
        Close()};
    fixture.plain_1.AddScript(refusal);
    fixture.plain_2.AddScript(refusal);
    fixture.Start();
    CHECK(FetchStream(fixture, "/plain-stream-once/1").status == "503");
    CHECK(RequestsOf(fixture).size() == 2);
  }
  SECTION("that fails before its head is passed on with its status") {
    SetFirstResponse(fixture,
                     {Send("HTTP/1.1 422 Unprocessable\r\nX-Attempt-Id: r1\r\n"
                           "X-Response-Seal: s\r\nContent-Length: 2\r\n\r\nno"),
                      Close()});
    fixture.Start();
    const auto response = FetchStream(fixture);
    CHECK(response.status == "422");
    CHECK(response.body == "no");
  }
}

TEST_CASE("a stream that comes through another daemon") {
  const auto framing = GENERATE(Framing::kConnection, Framing::kChunks);
  CAPTURE(framing == Framing::kChunks);
  int sends = 0;
  RelayNetwork network(2, 2, [&](std::size_t, const HttpRequest& request) {
    const std::string id(request.fields.Get("X-Attempt-Id"));
    const std::string head =
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
        "\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\n" +
        (framing == Framing::kChunks ? "Transfer-Encoding: chunked\r\n" : "") +
        "\r\n";
    const std::string last(request.fields.Get("Last-Event-Id"));
    const int first = last.empty() ? 0 : std::stoi(last) + 1;
    std::string rest;
    for (int event = first; event < kEvents; ++event) {
      rest += Event(event);
    }
    if (request.target.starts_with("/plain-stream/") && ++sends == 1) {
      rest.resize(20);
    }
    return EndpointScript{Send(head + Part(rest, framing) + BodyEnd(framing)),
                          Close()};
  });
  // The daemons tell each other of services that have had requests.
  network.Send(0, "/safe/1");
  network.Send(1, "/safe/1");
  network.RunFor(milliseconds(1'000));
  network.SetLinks(0, fakes::LinkState::kRefusing);
  network.answers.clear();
  const std::string id = network.Send(0, "/plain-stream/1");
  network.RunFor(milliseconds(3'000));
  REQUIRE(network.answers.size() == 1);
  CHECK(network.ResponseOf(id).status == 200);
  CHECK(network.ResponseOf(id).body == kAllEvents);
  CHECK(sends == 2);
}

// Guards against a resumed stream whose events come again.
TEST_CASE("the id after which a caller resumes reaches the endpoint") {
  RelayFixture fixture;
  const std::string headers = "Api-Key: key-1\r\nLast-Event-Id: 1\r\n";

  SECTION("at once") {
    SetFirstResponse(fixture, {Reset()});
    fixture.Start();
    const auto response =
        ParseResponse(fixture.Fetch("POST", "/plain-stream/1", headers));
    CHECK(response.body == Event(2));
    CHECK(response.is_complete);
    for (const HttpRequest& request : RequestsOf(fixture)) {
      CHECK(request.fields.Get("Last-Event-Id") == "1");
    }
  }
  SECTION("and the next id, once an event has come") {
    SetFirstResponse(fixture, {Send(StreamHead() + Part(Event(2))),
                               Wait(milliseconds(50)), Reset()});
    fixture.Start();
    const auto response =
        ParseResponse(fixture.Fetch("POST", "/plain-stream/1", headers));
    CHECK(response.body == Event(2));
    CHECK(response.is_complete);
  }
  SECTION("also on a route without streams") {
    SetFirstResponse(fixture, {Reset()});
    fixture.Start();
    (void)fixture.Fetch("POST", "/safe/1", headers);
    CHECK_FALSE(RequestsOf(fixture).empty());
    for (const HttpRequest& request : RequestsOf(fixture)) {
      CHECK(request.fields.Get("Last-Event-Id") == "1");
    }
  }
}

}  // namespace
}  // namespace sycamoreford
