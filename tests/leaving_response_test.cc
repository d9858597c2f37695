// What a relay believes and tells of endpoints that say in a response that they
// leave.
#include <future>
#include <string>

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include "support/event_stream.h"
#include "support/relay_fixture.h"
#include "sycamoreford/fleet/peer_table.h"

namespace sycamoreford {
namespace {

using support::ParseResponse;
using support::RelayFixture;

const std::string kLeaving = "Server-Leaving: 1\r\n";

TEST_CASE("a relay that got the response through another relay") {
  RelayFixture fixture;
  const EndpointRecord endpoint = fixture.state.directory().Find("p1")->record;
  fixture.Remove("p1");
  fixture.Remove("p2");
  fakes::ScriptedEndpoint& other_relay = fixture.plain_2;
  fixture.state.peers().OnStatus(
      other_relay.address(), "plain",
      {.data_centre = "north", .active_requests = 0, .serves = true},
      fixture.clock.Now());
  const std::string body = "Content-Length: 4\r\n\r\nbody";
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n";
  other_relay.AddScript(
      {fakes::Send(head + kLeaving + "Sycamoreford-Leaving: p1 0\r\n" + body),
       fakes::Close()});
  fixture.plain_1.AddScript({fakes::Send(head + body), fakes::Close()});
  fixture.Start();
  const auto text = fixture.Fetch("POST", "/safe/1");
  REQUIRE(ParseResponse(text).body == "body");
  CHECK(text.find("Sycamoreford-Leaving") == std::string::npos);

  // Its own link to the endpoint is back.
  std::promise<void> listed;
  boost::asio::post(fixture.context, [&] {
    fixture.state.directory().Upsert(endpoint);
    listed.set_value();
  });
  listed.get_future().wait();
  REQUIRE(ParseResponse(fixture.Fetch("POST", "/safe/1")).body == "body");
  CHECK(fixture.plain_1.requests().empty());
}

TEST_CASE("a relay tells the one that forwarded a request who leaves") {
  RelayFixture fixture;
  HttpServer internal{fixture.context, "127.0.0.1:0", HttpLimits{},
                      [&](HttpExchange& exchange) {
                        return fixture.handler.HandleFromPeer(exchange);
                      }};
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n" +
      kLeaving + "Sycamoreford-Leaving: p2 0\r\n";
  for (auto* endpoint : {&fixture.plain_1, &fixture.model_1}) {
    endpoint->AddScript(
        {fakes::Send(head + "Content-Length: 4\r\n\r\nbody"), fakes::Close()});
  }
  fixture.Remove("p2");
  fixture.Remove("m2");
  fixture.Start();
  const std::string path = GENERATE("/safe/1", "/stream/1");
  CAPTURE(path);
  const bool is_forwarded = GENERATE(true, false);
  support::RawConnection connection(is_forwarded ? internal.address()
                                                 : fixture.server.address());
  connection.Send(RelayFixture::Request(
      "POST", path, "Api-Key: key-1\r\nSycamoreford-Forwarded: 0 1\r\n"));
  const std::string text = connection.ReadAll();
  REQUIRE(ParseResponse(text).status == "200");
  CHECK(text.find("Server-Leaving: 1") != std::string::npos);
  const std::string id = path == "/safe/1" ? "p1" : "m1";
  CHECK((text.find("Sycamoreford-Leaving: " + id + " 0\r\n") !=
         std::string::npos) == is_forwarded);
  // The word of an endpoint on another one is worth nothing.
  CHECK(text.find("Sycamoreford-Leaving: p2") == std::string::npos);
}

TEST_CASE("what may not come from the endpoint is not believed") {
  RelayFixture fixture;
  fixture.Remove("p2");
  const std::string body = "Content-Length: 4\r\n\r\nbody";
  const std::string doubtful =
      GENERATE("200 OK\r\nX-Attempt-Id: r1",
               "200 OK\r\nX-Response-Seal: s\r\nX-Attempt-Id: r9",
               "421 Misdirected Request\r\nX-Attempt-Id: r1",
               "503 Service Unavailable\r\nX-Attempt-Id: r9");
  CAPTURE(doubtful);
  fixture.plain_1.AddScript(
      {fakes::Send("HTTP/1.1 " + doubtful + "\r\n" + kLeaving + body),
       fakes::Close()});
  fixture.plain_1.AddScript(
      {fakes::Send("HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"
                   "X-Response-Seal: s\r\nServer-Leaving: 0\r\n" +
                   body),
       fakes::Close()});
  fixture.Start();
  (void)fixture.Fetch("POST", "/safe/1");
  CHECK(ParseResponse(fixture.Fetch("POST", "/safe/1")).body == "body");
  CHECK(ParseResponse(fixture.Fetch("POST", "/safe/1")).body == "body");
}

}  // namespace
}  // namespace sycamoreford
