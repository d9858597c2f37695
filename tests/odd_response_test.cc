// Responses of faulty endpoints: refusals of other requests, and errors in
// place of the rest of a stream.
#include <string>

#include <catch2/catch.hpp>

#include "support/event_stream.h"
#include "support/relay_fixture.h"

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

}  // namespace
}  // namespace sycamoreford
