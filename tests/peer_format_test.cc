// The formats between daemons, as recorded from the version before: each must
// be read as it is, and written so that the version before reads it.
#include <set>
#include <string>

#include <catch2/catch.hpp>

#include "http_relay_codec.h"
#include "sycamoreford/adapters/peer_datagrams.h"
#include "sycamoreford/fleet/peer_state.h"
#include "sycamoreford/lease/lease_machine.h"

namespace sycamoreford {
namespace {

using platform::HttpRelayCodec;

TEST_CASE("datagrams of the version before") {
  const std::string text = GENERATE(
      as<std::string>{},
      R"({"service":"plain","requests":120,"repeats":7,"revision":42})",
      R"({"service":"plain","requests":120,"repeats":7,"revision":42,)"
      R"("dc":"north","active":3,"serves":true})",
      R"({"trouble":"i-7f3a"})", R"({"trouble":"i-7f3a","slowness":2.5E0})",
      R"({"part":"91bd3f06","crashes":{"1f":250},"seen":10,"trials":1,)"
      R"("sound":4000,"trial":900})",
      R"({"limits":[{"endpoint":"i-7f3a","age":30,"sends":12,"rate":9.5E0},)"
      R"({"endpoint":"i-88d0","age":60,"sends":4}]})");
  CAPTURE(text);
  const auto message = PeerMessage::Parse(text);
  REQUIRE(message.has_value());
  CHECK(message->ToText() == text);

  SECTION("may have members that are not known yet") {
    const std::string later = text.substr(0, text.size() - 1) + R"(,"new":1})";
    const auto parsed = PeerMessage::Parse(later);
    REQUIRE(parsed.has_value());
    CHECK(parsed->ToText() == text);
  }
}

TEST_CASE("datagrams that the version before drops") {
  // It reads all others as a status, which has a service.
  const std::string text = GENERATE(
      as<std::string>{}, R"({"ask":true})",
      R"({"fingerprint":"5e0c91","crashes":{"1f":250},"seen":10,"trials":0})",
      R"({"leaving":[{"endpoint":"i-7f3a","start":1790000000000}]})",
      R"({"leaving":[{"endpoint":"i-7f3a","start":1790000000000,)"
      R"("until":1790000060000}]})");
  CAPTURE(text);
  const auto message = PeerMessage::Parse(text);
  REQUIRE(message.has_value());
  CHECK(message->ToText() == text);
  CHECK(text.find("service") == std::string::npos);
}

TEST_CASE("the state that a daemon hands over at the start") {
  const std::string text =
      R"({"manifest":"{}","endpoints":[{"id":"i-7f3a","service":"model",)"
      R"("address":"10.1.64.9:8080","data_centre":"north","kind":"large",)"
      R"("slots":8,"is_leaving":false,"first_layer":0,"end_layer":40,)"
      R"("started_at_ms":1790000000000}]})";
  const auto state = PeerState::Parse(text);
  REQUIRE(state.has_value());
  CHECK(state->ToText() == text);
}

TEST_CASE("the lease") {
  const std::string text =
      R"({"holder":"front-1/12","fencing":7,"write_id":"front-1/12/3"})";
  const auto lease = ParseLease(text);
  REQUIRE(lease.has_value());
  CHECK(SerializeLease(*lease) == text);
}

TEST_CASE("a request that is forwarded") {
  HttpRequest request;
  request.fields.Add("Host", "a.example");
  request.fields.Add("Sycamoreford-Forwarded", "forged");
  PeerForward forward;
  forward.sends = 1;
  forward.revision = 42;
  forward.tried_endpoints = {"i-7f3a", "i-88d0"};
  const HttpRequest encoded = HttpRelayCodec::EncodeForPeer(request, forward);
  CHECK(encoded.fields.Get("Sycamoreford-Forwarded") == "1 42 i-7f3a i-88d0");
  std::size_t internal = 0;
  for (const auto& [name, value] : encoded.fields) {
    internal += name.starts_with("Sycamoreford-") ? 1 : 0;
  }
  // The version before would pass on others to endpoints.
  CHECK(internal == 1);
}

TEST_CASE("a response to a forwarded request") {
  HttpResponse response;
  response.content_type.clear();

  SECTION("that has not run") {
    HttpRelayCodec::MarkNotRun(response, Refusal::kEndpointBackoff);
    CHECK(response.fields.Get("X-Not-Executed") == "1");
    const auto head =
        HttpRelayCodec::DecodeResponseHead("r1", 503, response.fields);
    CHECK(head.is_not_run);
    CHECK(head.is_backoff);
  }
  SECTION("that names the endpoints that it was sent to") {
    HttpRelayCodec::MarkTried(response, {"i-7f3a", "i-88d0"});
    CHECK(response.fields.Get("Sycamoreford-Tried") == "i-7f3a i-88d0");
    CHECK(response.fields.Get("Connection") == "Sycamoreford-Tried");
    const auto head =
        HttpRelayCodec::DecodeResponseHead("r1", 200, response.fields);
    REQUIRE(head.tried_endpoints);
    CHECK(*head.tried_endpoints == std::set<std::string>{"i-7f3a", "i-88d0"});
    for (const auto& [name, value] :
         HttpRelayCodec::EncodeResponse(200, response.fields).fields) {
      CAPTURE(name);
      CHECK(name.empty());
    }
  }
  SECTION("that names a leaving endpoint and when it was asked") {
    HttpRelayCodec::MarkLeaving(response, {.run = {"i-7f3a", 1'790'000'000'000},
                                           .until_ms = 1'790'000'060'000});
    CHECK(response.fields.Get("Sycamoreford-Leaving") ==
          "i-7f3a 1790000000000");
    CHECK(response.fields.Get("Sycamoreford-Leaving-Until") == "1790000060000");
    const auto head =
        HttpRelayCodec::DecodeResponseHead("r1", 200, response.fields);
    CHECK(head.leaving_run == EndpointRunId{"i-7f3a", 1'790'000'000'000});
    CHECK(head.leaving_until_ms == 1'790'000'060'000);
    // The version before does not know the headers, and removes what concerns
    // one connection only.
    std::set<std::string> connection;
    for (const auto& [name, value] : response.fields) {
      if (name == "Connection") {
        connection.insert(value);
      }
    }
    CHECK(connection == std::set<std::string>{"Sycamoreford-Leaving",
                                              "Sycamoreford-Leaving-Until"});
    for (const auto& [name, value] :
         HttpRelayCodec::EncodeResponse(200, response.fields).fields) {
      CAPTURE(name);
      CHECK(name.empty());
    }
  }
  SECTION("that names a leaving endpoint") {
    HttpRelayCodec::MarkLeaving(response, {"i-7f3a", 1'790'000'000'000});
    CHECK(response.fields.Get("Sycamoreford-Leaving") ==
          "i-7f3a 1790000000000");
    // The version before does not know the header, and removes what concerns
    // one connection only.
    CHECK(response.fields.Get("Connection") == "Sycamoreford-Leaving");
    const auto head =
        HttpRelayCodec::DecodeResponseHead("r1", 200, response.fields);
    CHECK(head.leaving_run == EndpointRunId{"i-7f3a", 1'790'000'000'000});
    for (const auto& [name, value] :
         HttpRelayCodec::EncodeResponse(200, response.fields).fields) {
      CAPTURE(name);
      CHECK(name.empty());
    }
  }
}

}  // namespace
}  // namespace sycamoreford
