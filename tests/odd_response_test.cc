// Responses of faulty endpoints: refusals of other requests, and errors in
// place of the rest of a stream.
#include <chrono>
#include <optional>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "support/event_stream.h"
#include "support/relay_fixture.h"
#include "sycamoreford/adapters/http_client.h"

namespace sycamoreford {
namespace {

using fakes::Close;
using fakes::Reset;
using fakes::Send;
using support::Event;
using support::ParseResponse;
using support::Part;
using support::RelayFixture;
using support::StreamHead;

TEST_CASE(
    "a refusal of another request does not say that this one has not run") {
  RelayFixture fixture;
  const std::string status =
      GENERATE("503 Service Unavailable", "429 Too Many Requests",
               "421 Misdirected Request");
  const std::string path =
      GENERATE("/once/1", "/stream-once/1", "/safe/1", "/stream/1");
  CAPTURE(status, path);
  const bool is_stream = path.starts_with("/stream");
  auto& first = is_stream ? fixture.model_1 : fixture.plain_1;
  auto& second = is_stream ? fixture.model_2 : fixture.plain_2;
  for (auto* endpoint : {&first, &second}) {
    endpoint->AddScript({Send("HTTP/1.1 " + status +
                              "\r\nX-Attempt-Id: r0\r\nX-Not-Executed: 1\r\n"
                              "Content-Length: 0\r\n\r\n"),
                         Close()});
  }
  fixture.Start();
  const auto response = ParseResponse(fixture.Fetch("POST", path));
  CHECK(response.status == "502");
  const std::size_t sent = first.requests().size() + second.requests().size();
  if (path.find("once") != std::string::npos) {
    CHECK(sent == 1);
  } else {
    CHECK(sent >= 2);
  }
}

TEST_CASE("an error of the next endpoint does not become part of a stream") {
  RelayFixture fixture;
  const std::string status =
      GENERATE("500 Internal Server Error", "503 Service Unavailable",
               "404 Not Found", "200 OK");
  const std::string seal = GENERATE("", "X-Response-Seal: s\r\n");
  const std::string mark = GENERATE("", "X-Not-Executed: 1\r\n");
  const std::string type =
      GENERATE("application/json", "text/event-stream", "text/plain");
  CAPTURE(status, seal, mark, type);
  // Both sealed and successful, it is a stream that goes on.
  const bool is_stream = status == "200 OK" && !seal.empty() && mark.empty();
  fixture.model_1.AddScript(
      {Send(StreamHead() + Part(Event(0)) + Part(Event(1))), Reset()});
  fixture.model_1.AddScript({Reset()});
  const std::string error = R"({"Error":"no"})";
  fixture.model_2.AddScript(
      {Send("HTTP/1.1 " + status + "\r\nX-Attempt-Id: r1\r\n" + seal + mark +
            "Content-Type: " + type + "\r\nContent-Length: " +
            std::to_string(error.size()) + "\r\n\r\n" + error),
       Close()});
  fixture.Start();
  const std::string text = fixture.Fetch("POST", "/stream/1");
  const auto response = ParseResponse(text);
  CHECK(response.status == "200");
  CHECK_FALSE(response.is_complete);
  CHECK(response.body == Event(0) + Event(1));
  CHECK(text.find("Error") == std::string::npos);
  CHECK(text.find("HTTP/1.1", 1) == std::string::npos);
  CHECK((is_stream || !fixture.model_2.requests().empty()));
}

// Guards against a status outside of 100 to 599 that callers get as an answer,
// or that is read over like an interim response.
TEST_CASE("a response with an invalid status is lost") {
  RelayFixture fixture;
  const std::string status =
      GENERATE("000 None", "000", "001 One", "099 Low", "600 High", "999 Last",
               "101 Switching Protocols");
  const std::string framing =
      GENERATE("Content-Length: 2\r\n\r\nok", "Content-Length: 0\r\n\r\n",
               "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
               "\r\nok", "\r\n");
  const std::string mark = GENERATE("", "X-Not-Executed: 1\r\n");
  const std::string next =
      GENERATE("",
               "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\n"
               "X-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok");
  const std::string path = GENERATE("/once/1", "/safe/1", "/stream/1",
                                    "/stream-once/1", "/plain-stream/1");
  CAPTURE(status, framing, mark, next, path);
  std::string response = "HTTP/1.1 " + status;
  response += "\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n" + mark;
  response += framing + next;
  for (auto* endpoint : {&fixture.plain_1, &fixture.plain_2, &fixture.model_1,
                         &fixture.model_2}) {
    endpoint->AddScript({Send(response), Close()});
  }
  fixture.Start();
  const std::string text = fixture.Fetch("POST", path);
  CHECK(ParseResponse(text).status == "502");
  CHECK(text.find("X-Response-Seal") == std::string::npos);
  CHECK(text.find("HTTP/1.1", 1) == std::string::npos);
}

// Guards against a report or a response of the store that is used although its
// status is invalid.
TEST_CASE("an invalid status is no answer to the router's own calls") {
  boost::asio::io_context context{1};
  fakes::ScriptedEndpoint peer(context);
  const std::string status = GENERATE("000 None", "099 Low", "600 High");
  CAPTURE(status);
  const std::string next = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  peer.AddScript(
      {Send("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n" + next),
       Close()});
  // Outlive the call.
  const std::string address = peer.address();
  const HttpRequest request;
  std::optional<Errc> failure;
  boost::asio::co_spawn(
      context,
      FetchHttp(address, request, std::chrono::milliseconds(500), 1'000),
      [&](const std::exception_ptr&, const Result<HttpResponse>& response) {
        REQUIRE_FALSE(response.has_value());
        failure = response.error().code;
        context.stop();
      });
  context.run_for(std::chrono::milliseconds(2'000));
  CHECK(failure == Errc::kBadEndpointAnswer);
}

}  // namespace
}  // namespace sycamoreford
