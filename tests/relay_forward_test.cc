// A request that one relay forwards to another: what the caller receives when
// the way through the other relay fails, and what that relay accepts.
#include <catch2/catch.hpp>

#include <thread>

#include "support/event_stream.h"
#include "support/relay_fixture.h"
#include "sycamoreford/fleet/isolation_detector.h"
#include "sycamoreford/fleet/peer_table.h"

namespace sycamoreford {
namespace {

using fakes::Close;
using fakes::EndpointScript;
using fakes::Reset;
using fakes::ScriptedEndpoint;
using fakes::Send;
using fakes::Wait;
using fakes::WaitForClose;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::BodyEnd;
using support::Event;
using support::ParseResponse;
using support::Part;
using support::RawConnection;
using support::RelayFixture;
using support::StreamHead;

constexpr TimePoint kStart{std::chrono::hours(1)};
const std::string kForwarded = "Sycamoreford-Forwarded";

EndpointScript Answer(const std::string& status,
                      const std::string& body,
                      const std::string& headers = "X-Response-Seal: s\r\n") {
  return {Send("HTTP/1.1 " + status + "\r\nX-Attempt-Id: r1\r\n" + headers +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body),
          Close()};
}

EndpointScript Stream(int first, int end) {
  EndpointScript script = {Send(StreamHead())};
  for (int id = first; id < end; ++id) {
    script.push_back(Send(Part(Event(id))));
  }
  script.push_back(Send(BodyEnd()));
  script.push_back(Close());
  return script;
}

std::string Events(int end) {
  std::string events;
  for (int id = 0; id < end; ++id) {
    events += Event(id);
  }
  return events;
}

/// A relay without endpoints, and two scripted relays that serve everything.
class ForwardingFixture : public RelayFixture {
 public:
  ForwardingFixture() {
    for (const std::string id : {"p1", "p2", "m1", "m2"}) {
      Remove(id);
    }
    // The first one is preferred while it serves.
    Tell(first, "north");
    Tell(second, "south");
  }

  ScriptedEndpoint& first = plain_1;
  ScriptedEndpoint& second = plain_2;

 private:
  void Tell(const ScriptedEndpoint& peer, const std::string& data_centre) {
    for (const std::string service : {"plain", "model"}) {
      state.peers().OnStatus(
          peer.address(), service,
          {.data_centre = data_centre, .active_requests = 0, .serves = true},
          clock.Now());
    }
  }
};

TEST_CASE("a request that is forwarded to another relay") {
  ForwardingFixture fixture;
  ScriptedEndpoint& first = fixture.first;
  ScriptedEndpoint& second = fixture.second;

  SECTION("keeps what the caller sent, and its response is unchanged") {
    first.AddScript(Answer("200 OK", "body"));
    fixture.Start();
    const auto text = fixture.Fetch(
        "POST", "/safe/1?q",
        "Api-Key: key-1\r\nSycamoreford-Forwarded: 9 9 forged\r\n", "question");
    const auto response = ParseResponse(text);
    CHECK(response.status == "200");
    CHECK(response.body == "body");
    CHECK(text.find("X-Response-Seal: s") != std::string::npos);
    REQUIRE(first.requests().size() == 1);
    const HttpRequest request = first.requests().front();
    CHECK(request.target == "/safe/1?q");
    CHECK(request.body == "question");
    CHECK(request.fields.Get("Host") == "a.example");
    CHECK(request.fields.Get("Api-Key") == "key-1");
    CHECK(request.fields.Get("X-Attempt-Id") == "r1");
    // One further endpoint is left of the two that the route allows.
    CHECK(request.fields.Get(kForwarded) == "0 1 ?-1");
    const int left =
        std::stoi(std::string(request.fields.Get("X-Deadline-Ms")));
    CHECK(left < 5'000);
    CHECK(left > 4'000);
  }
  SECTION("gets the failure of the endpoint") {
    first.AddScript(Answer("500 Internal Server Error", "failed"));
    fixture.Start();
    const auto response = ParseResponse(fixture.Fetch("POST", "/once/1"));
    CHECK(response.status == "500");
    CHECK(response.body == "failed");
  }
  SECTION("goes to the next one if that has not run it") {
    const bool can_connect = GENERATE(true, false);
    if (can_connect) {
      first.AddScript(
          Answer("503 Service Unavailable", "", "X-Not-Executed: 1\r\n"));
    } else {
      first.StopListening();
    }
    second.AddScript(Answer("200 OK", "body"));
    fixture.Start();
    const std::string path = GENERATE("/safe/1", "/once/1");
    CHECK(ParseResponse(fixture.Fetch("POST", path)).body == "body");
    CHECK(second.requests().front().fields.Get(kForwarded) == "0 1 ?-1");
  }
  SECTION("is refused if none has run it") {
    for (ScriptedEndpoint* peer : {&first, &second}) {
      peer->AddScript(
          Answer("503 Service Unavailable", "", "X-Not-Executed: 1\r\n"));
    }
    fixture.Start();
    const std::string path = GENERATE("/safe/1", "/once/1", "/stream/1");
    const auto text = fixture.Fetch("POST", path);
    CHECK(ParseResponse(text).status == "503");
    CHECK(text.find("Retry-After") != std::string::npos);
    CHECK(text.find("X-Not-Executed") == std::string::npos);
  }
  SECTION("that runs at most once is not sent again when the way is lost") {
    first.AddScript({Reset()});
    second.AddScript(Answer("200 OK", "body"));
    fixture.Start();
    const std::string path = GENERATE("/once/1", "/stream-once/1");
    CHECK(ParseResponse(fixture.Fetch("POST", path)).status == "502");
    CHECK(second.requests().empty());
  }
  SECTION("that may run again is, and tells that one may have run it") {
    first.AddScript({Reset()});
    second.AddScript(Answer("200 OK", "body"));
    fixture.Start();
    CHECK(ParseResponse(fixture.Fetch("POST", "/safe/1")).body == "body");
    CHECK(second.requests().front().fields.Get(kForwarded) == "1 1 ?1");
  }
  SECTION("that may run again is, and tells which one has run it") {
    first.AddScript(Answer("500 Internal Server Error", "failed",
                           "X-Response-Seal: s\r\nSycamoreford-Tried: p7\r\n"
                           "Connection: Sycamoreford-Tried\r\n"));
    second.AddScript(Answer("200 OK", "body"));
    fixture.Start();
    const auto text = fixture.Fetch("POST", "/safe/1");
    CHECK(ParseResponse(text).body == "body");
    CHECK(second.requests().front().fields.Get(kForwarded) == "1 1 p7");
  }
  SECTION("does not show the caller which endpoints were tried") {
    first.AddScript(Answer("200 OK", "body",
                           "X-Response-Seal: s\r\nSycamoreford-Tried: p7\r\n"
                           "Connection: Sycamoreford-Tried\r\n"));
    fixture.Start();
    const auto text = fixture.Fetch("POST", "/safe/1");
    CHECK(ParseResponse(text).body == "body");
    CHECK(text.find("Sycamoreford") == std::string::npos);
  }
  SECTION("a stream goes on at the exact position through the next one") {
    first.AddScript({Send(StreamHead() + Part(Event(0)) + Part(Event(1)) +
                          Part("id: 2\nda")),
                     Wait(milliseconds(100)), Reset()});
    second.AddScript(Stream(2, 5));
    fixture.Start();
    const auto response = ParseResponse(fixture.Fetch("POST", "/stream/1"));
    CHECK(response.body == Events(5));
    CHECK(response.is_complete);
    CHECK(second.requests().front().fields.Get("Last-Event-Id") == "1");
  }
  SECTION("a stream that cannot go on does not look complete") {
    first.AddScript({Send(StreamHead() + Part(Event(0))),
                     Wait(milliseconds(100)), Reset()});
    fixture.Start();
    const auto response =
        ParseResponse(fixture.Fetch("POST", "/stream-once/1"));
    CHECK(response.body == Events(1));
    CHECK_FALSE(response.is_complete);
  }
  SECTION("is closed when the caller has left") {
    first.AddScript({Send(StreamHead() + Part(Event(0))), WaitForClose()});
    fixture.Start();
    {
      RawConnection caller(fixture.server.address());
      caller.Send(
          RelayFixture::Request("POST", "/stream/1", "Api-Key: key-1\r\n"));
      caller.ReadUntil("data");
    }
    std::this_thread::sleep_for(milliseconds(400));
    CHECK(first.closed_by_peer_count() == 1);
    CHECK(second.requests().empty());
  }
}

TEST_CASE("a relay that gets a request from another one") {
  RelayFixture fixture;
  HttpServer internal{fixture.context, "127.0.0.1:0", HttpLimits{},
                      [&](HttpExchange& exchange) {
                        return fixture.handler.HandleFromPeer(exchange);
                      }};
  const auto forward = [&](const std::string& path, const std::string& header) {
    RawConnection connection(internal.address());
    connection.Send(
        RelayFixture::Request("POST", path, "Api-Key: key-1\r\n" + header));
    return connection.ReadAll();
  };
  const std::string header = kForwarded + ": 0 1\r\n";

  SECTION("serves it, and tells endpoints nothing of the other relay") {
    fixture.plain_1.AddScript(Answer("200 OK", "body"));
    fixture.plain_2.AddScript(Answer("200 OK", "body"));
    fixture.Start();
    CHECK(ParseResponse(forward("/safe/1", header)).body == "body");
    auto requests = fixture.plain_1.requests();
    if (requests.empty()) {
      requests = fixture.plain_2.requests();
    }
    REQUIRE(requests.size() == 1);
    CHECK(requests.front().fields.Get(kForwarded).empty());
    CHECK(requests.front().fields.Get("Api-Key").empty());
    CHECK(requests.front().fields.Get("X-Tenant-Name") == "bells");
  }
  SECTION("does not forward it again") {
    for (const std::string id : {"p1", "p2"}) {
      fixture.Remove(id);
    }
    fixture.state.peers().OnStatus(
        fixture.plain_1.address(), "plain",
        {.data_centre = "north", .active_requests = 0, .serves = true},
        fixture.clock.Now());
    fixture.Start();
    const auto text = forward("/safe/1", header);
    CHECK(ParseResponse(text).status == "503");
    CHECK(text.find("X-Not-Executed: 1") != std::string::npos);
    CHECK(fixture.plain_1.requests().empty());
  }
  SECTION("does not decide by an older configuration") {
    fixture.Start();
    const auto text = forward("/safe/1", kForwarded + ": 0 2\r\n");
    CHECK(ParseResponse(text).status == "503");
    CHECK(text.find("X-Not-Executed: 1") != std::string::npos);
  }
  SECTION("says that it has not run what it does not accept") {
    fixture.Start();
    for (const std::string& text :
         {forward("/nowhere/1", header), forward("/safe/1", ""),
          forward("/safe/1", kForwarded + ": x\r\n")}) {
      CAPTURE(text);
      CHECK(text.find("X-Not-Executed: 1") != std::string::npos);
    }
  }
  SECTION("says nothing of the kind once an endpoint may have run it") {
    fixture.plain_1.AddScript({Reset()});
    fixture.plain_2.AddScript({Reset()});
    fixture.Start();
    const auto text = forward("/once/1", header);
    CHECK(ParseResponse(text).status == "502");
    CHECK(text.find("X-Not-Executed") == std::string::npos);
  }
  SECTION("does not use more endpoints than the route allows in all") {
    fixture.plain_1.AddScript({Reset()});
    fixture.plain_2.AddScript({Reset()});
    fixture.Start();
    CHECK(
        ParseResponse(forward("/safe/1", kForwarded + ": 1 1 p9\r\n")).status ==
        "502");
    CHECK(fixture.plain_1.requests().size() +
              fixture.plain_2.requests().size() ==
          1);
  }
  SECTION("refuses it while it is stopping") {
    fixture.handler.RefusePeers();
    fixture.Start();
    CHECK(forward("/safe/1", header).find("X-Not-Executed: 1") !=
          std::string::npos);
  }
}

TEST_CASE("telling lost links from lost endpoints") {
  IsolationDetector detector;
  SECTION("one endpoint that cannot be reached is not enough") {
    for (int i = 0; i < 10; ++i) {
      detector.OnUnreachable("a", 5, kStart + milliseconds(i));
    }
    CHECK_FALSE(detector.is_isolated());
  }
  SECTION("unless it is the only one") {
    detector.OnUnreachable("a", 1, kStart);
    CHECK_FALSE(detector.is_isolated());
    detector.OnUnreachable("a", 1, kStart);
    detector.OnUnreachable("a", 1, kStart);
    CHECK(detector.is_isolated());
  }
  SECTION("two endpoints are, until one can be reached") {
    detector.OnUnreachable("a", 5, kStart);
    detector.OnUnreachable("b", 5, kStart + milliseconds(5));
    REQUIRE(detector.is_isolated());
    // A connection that was opened before shows nothing.
    detector.OnConnected(kStart - milliseconds(1));
    CHECK(detector.is_isolated());
    detector.OnConnected(kStart + milliseconds(6));
    CHECK_FALSE(detector.is_isolated());
  }
  SECTION("of many endpoints, more than fail together") {
    constexpr std::size_t kKnown = 93;
    for (const char* id : {"a", "b", "c"}) {
      detector.OnUnreachable(id, kKnown, kStart);
      CHECK_FALSE(detector.is_isolated());
    }
    detector.OnUnreachable("d", kKnown, kStart);
    CHECK(detector.is_isolated());
    detector.OnConnected(kStart + milliseconds(1));
    CHECK_FALSE(detector.is_isolated());
  }
  SECTION("not if another one was reached in between") {
    detector.OnUnreachable("a", 5, kStart);
    detector.OnConnected(kStart + milliseconds(1));
    detector.OnUnreachable("b", 5, kStart + milliseconds(2));
    CHECK_FALSE(detector.is_isolated());
  }
}

TEST_CASE("choosing a daemon to forward to") {
  PeerTable peers("north");
  const auto tell = [&](const std::string& address, std::uint32_t active,
                        bool serves, const std::string& data_centre = "north") {
    peers.OnStatus(address, "s",
                   {.data_centre = data_centre,
                    .active_requests = active,
                    .serves = serves},
                   kStart);
  };
  tell("a", 3, true);
  tell("b", 1, true);
  tell("c", 0, false);
  REQUIRE(peers.Pick("s", {}, kStart) == "b");

  SECTION("only those that serve the service") {
    CHECK_FALSE(peers.Pick("other", {}, kStart).has_value());
    CHECK_FALSE(peers.Pick("s", {"a", "b"}, kStart).has_value());
  }
  SECTION("what was forwarded counts as load until it has ended") {
    for (int i = 0; i < 3; ++i) {
      peers.OnSent("b");
    }
    CHECK(peers.Pick("s", {}, kStart) == "a");
    for (int i = 0; i < 3; ++i) {
      peers.OnEnded("b");
    }
    CHECK(peers.Pick("s", {}, kStart) == "b");
  }
  SECTION("the own data centre is preferred if the load is similar") {
    tell("b", 1, true, "south");
    CHECK(peers.Pick("s", {}, kStart) == "a");
  }
  SECTION("one that has refused is passed over for a moment") {
    peers.OnRefused("b", kStart);
    CHECK(peers.Pick("s", {}, kStart) == "a");
    CHECK(peers.Pick("s", {}, kStart + seconds(1)) == "b");
  }
  SECTION("one that was not heard of lately is not chosen") {
    CHECK_FALSE(peers.Pick("s", {}, kStart + seconds(2)).has_value());
    CHECK_FALSE(peers.IsHeard("a", kStart + seconds(2)));
    peers.SetIntervalFactor(2);
    CHECK(peers.Pick("s", {}, kStart + seconds(2)) == "b");
  }
}

}  // namespace
}  // namespace sycamoreford
