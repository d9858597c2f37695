// Invalid input from callers gets a typed error response and is not run, and
// the daemon keeps serving.
#include <csignal>
#include <thread>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "support/raw_connection.h"
#include "support/test_deployment.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;
using support::Fetch;
using support::Post;
using support::RawConnection;
using support::TestDeployment;

constexpr const char* kLimits = R"("header_bytes": 2048, "body_bytes": 4096,
"connections": 24, "idle_timeout_ms": 1500, "header_timeout_ms": 600,
"body_timeout_ms": 600, "drain_notice_ms": 100)";

std::string Chat(const std::string& body,
                 const std::string& key = "Bearer ringers-key",
                 const std::string& more = "") {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: " +
         key + "\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) +
         "\r\nConnection: close\r\n\r\n" + body;
}

std::string Get(const std::string& target, const std::string& method = "GET") {
  return method + " " + target +
         " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer ringers-key\r\n"
         "Connection: close\r\n\r\n";
}

std::string ChatWith(const std::string& members) {
  return Chat(
      R"({"model":"bell-llm","messages":[{"role":"user","content":"x"}])" +
      members + "}");
}

struct Case {
  const char* name;
  std::string bytes;
  int status;
  const char* type;
};

std::vector<Case> Cases() {
  const std::string post_header =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
      "Authorization: Bearer ringers-key\r\n";
  return {
      {"bytes that are not HTTP", "\x01\x02 garbage\r\n\r\n", 400, "malformed"},
      {"an unsupported HTTP version", "GET / HTTP/9.9\r\n\r\n", 400,
       "malformed"},
      {"a header field without a colon", "GET / HTTP/1.1\r\nabc\r\n\r\n", 400,
       "malformed"},
      {"an oversized header",
       "GET / HTTP/1.1\r\nA: " + std::string(4000, 'a') + "\r\n\r\n", 431,
       "too_large"},
      {"an oversized target", Get("/" + std::string(4000, 'a')), 431,
       "too_large"},
      {"an oversized body", Chat(std::string(200'000, ' ')), 413, "too_large"},
      {"an oversized chunked body",
       post_header + "Transfer-Encoding: chunked\r\n\r\n2000\r\n" +
           std::string(0x2000, ' ') + "\r\n0\r\n\r\n",
       413, "too_large"},
      {"an invalid chunk size",
       post_header + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400,
       "malformed"},
      {"a negative content length", post_header + "Content-Length: -1\r\n\r\n",
       400, "malformed"},
      {"two content lengths",
       post_header + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}x", 400,
       "malformed"},
      {"a content length with chunked encoding",
       post_header + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "2\r\n{}\r\n0\r\n\r\n",
       400, "malformed"},
      {"an incomplete header, then no more data", "GET / HTTP/1.1\r\nHo", 408,
       "deadline_exceeded"},
      {"an incomplete body, then no more data",
       post_header + "Content-Length: 9\r\n\r\n{", 408, "deadline_exceeded"},
      {"an unknown path", Get("/v1/nothing"), 404, "not_found"},
      {"an unknown service", Get("/v1/services/nobody/x"), 404, "not_found"},
      {"a wrong method", Get("/v1/chat/completions"), 405,
       "method_not_allowed"},
      {"an unknown method", Get("/v1/models", "BREW"), 405,
       "method_not_allowed"},
      {"no API key", Chat("{}", "none"), 401, "unauthorized"},
      {"an unknown API key", Chat("{}", "Bearer nobody"), 401, "unauthorized"},
      {"an empty API key", Chat("{}", "Bearer "), 401, "unauthorized"},
      {"an empty body", Chat(""), 400, "malformed"},
      {"truncated JSON", Chat(R"({"model":)"), 400, "malformed"},
      {"JSON nested too deeply", Chat(std::string(3000, '[')), 400,
       "malformed"},
      {"bytes that are not UTF-8", Chat("{\"model\":\"\xff\xfe\"}"), 400,
       "malformed"},
      {"JSON that is not an object", Chat("[]"), 400, "malformed"},
      {"a model that is a number", Chat(R"({"model":1})"), 400, "malformed"},
      {"no messages", Chat(R"({"model":"bell-llm","messages":[]})"), 400,
       "malformed"},
      {"messages of a wrong type", Chat(R"({"model":"bell-llm","messages":1})"),
       400, "malformed"},
      {"max_tokens of 0", ChatWith(R"(,"max_tokens":0)"), 400, "malformed"},
      {"a negative max_tokens", ChatWith(R"(,"max_tokens":-1)"), 400,
       "malformed"},
      {"a max_tokens out of range", ChatWith(R"(,"max_tokens":4294967296)"),
       400, "malformed"},
      {"a string instead of a number", ChatWith(R"(,"max_tokens":"5")"), 400,
       "malformed"},
      {"a string instead of a boolean", ChatWith(R"(,"stream":"yes")"), 400,
       "malformed"},
      {"an unknown model",
       Chat(R"({"model":"none","messages":[{"role":"user","content":"x"}]})"),
       404, "not_found"},
      {"a deadline in the past",
       Chat("{}", "Bearer ringers-key", "X-Deadline-Ms: -1\r\n"), 504,
       "deadline_exceeded"},
      {"a deadline that is not a number",
       Chat("{}", "Bearer ringers-key", "X-Deadline-Ms: soon\r\n"), 400,
       "malformed"},
  };
}

void RequireNothingRan(TestDeployment& deployment) {
  HttpRequest ran;
  ran.target = "/fake/ran";
  for (const char* stage : {"a0", "a1", "a2", "b0", "b1", "b2"}) {
    REQUIRE(Fetch(deployment.stage(stage).address, ran)->body ==
            R"({"ran":[]})");
  }
}

TEST_CASE("invalid input gets a typed error and is not run") {
  TestDeployment deployment({.limits = kLimits});
  for (const Case& each : Cases()) {
    RawConnection connection(deployment.caller_address(0));
    connection.Send(each.bytes);
    const std::string response = connection.ReadAll();
    INFO(each.name << ": " << response);
    CHECK(response.starts_with("HTTP/1.1 " + std::to_string(each.status)));
    CHECK(response.find(R"("type":")" + std::string(each.type) + "\"") !=
          std::string::npos);
    CHECK(response.find(R"("outcome":"not_run")") != std::string::npos);
    CHECK_FALSE(connection.was_reset());
  }
  RequireNothingRan(deployment);
  REQUIRE(Fetch(deployment.caller_address(0),
                TestDeployment::ChatRequest("Ring", 3, false))
              ->status == 200);
}

TEST_CASE("unusual but valid HTTP is served") {
  TestDeployment deployment({.limits = kLimits});
  const std::string body =
      R"({"model":"bell-llm","max_tokens":3,"stream":true,"messages":)" +
      TestDeployment::ChatMessages("Ring") + "}";

  SECTION("pipelined requests get their responses in order") {
    RawConnection connection(deployment.caller_address(0));
    std::string request = Chat(body);
    request.replace(request.find("Connection: close\r\n"), 19, "");
    connection.Send(request + Get("/healthz"));
    const std::string response = connection.ReadAll();
    const std::size_t end = response.find("[DONE]");
    REQUIRE(end != std::string::npos);
    REQUIRE(response.find("ok\n", end) != std::string::npos);
  }
  SECTION("HTTP/1.0 gets an unchunked stream, ended by the close") {
    RawConnection connection(deployment.caller_address(0));
    std::string http10_request = Chat(body);
    http10_request.replace(http10_request.find("HTTP/1.1"), 8, "HTTP/1.0");
    connection.Send(http10_request);
    const std::string response = connection.ReadAll();
    REQUIRE(response.starts_with("HTTP/1.0 200"));
    REQUIRE(response.ends_with("data: [DONE]\n\n"));
  }
  SECTION("a HEAD request gets only the header") {
    RawConnection connection(deployment.caller_address(0));
    connection.Send("HEAD /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    connection.Send(Get("/healthz"));
    const std::string response = connection.ReadAll();
    REQUIRE(response.find("\r\n\r\nHTTP/1.1 200") != std::string::npos);
  }
  SECTION("a client may wait for 100 Continue before it sends the body") {
    RawConnection connection(deployment.caller_address(0));
    const std::string request =
        Chat(body, "Bearer ringers-key", "Expect: 100-continue\r\n");
    const std::size_t head = request.find("\r\n\r\n") + 4;
    connection.Send(request.substr(0, head));
    REQUIRE(connection.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 100"));
    connection.Send(request.substr(head));
    REQUIRE(connection.ReadAll().find("[DONE]") != std::string::npos);
  }
}

TEST_CASE("slow and idle connections time out and excess ones are refused") {
  TestDeployment deployment({.limits = kLimits});

  SECTION("a header that is sent byte by byte") {
    RawConnection connection(deployment.caller_address(0));
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < 15; ++i) {
      connection.Send("G");
      std::this_thread::sleep_for(milliseconds(100));
    }
    REQUIRE(connection.ReadAll().starts_with("HTTP/1.1 4"));
    REQUIRE(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
  }
  SECTION("a connection without a request") {
    RawConnection connection(deployment.caller_address(0));
    REQUIRE(connection.IsClosed());
  }
  SECTION("connections above the limit get status 503") {
    std::vector<std::unique_ptr<RawConnection>> connections;
    connections.reserve(30);
    for (int i = 0; i < 30; ++i) {
      connections.push_back(
          std::make_unique<RawConnection>(deployment.caller_address(0)));
    }
    const std::string response = connections.back()->ReadAll();
    REQUIRE(response.starts_with("HTTP/1.1 503"));
    REQUIRE(response.find("retry-after: 1") != std::string::npos);
    connections.clear();
    std::this_thread::sleep_for(milliseconds(200));
    REQUIRE(Fetch(deployment.caller_address(0),
                  TestDeployment::ChatRequest("Ring", 3, false))
                ->status == 200);
  }
}

TEST_CASE("a disconnect of the caller cancels the request") {
  TestDeployment deployment({.limits = kLimits});
  {
    RawConnection connection(deployment.caller_address(0));
    connection.Send(Chat(
        R"({"model":"bell-llm","max_tokens":2000,"stream":true,"messages":)" +
        TestDeployment::ChatMessages("Ring") + "}"));
    REQUIRE(connection.ReadUntil("content").find("content") !=
            std::string::npos);
  }
  std::this_thread::sleep_for(std::chrono::seconds(1));
  HttpRequest state;
  state.target = "/v1/state";
  for (const char* stage : {"a0", "b0"}) {
    REQUIRE(Fetch(deployment.stage(stage).address, state)
                ->body.find("\"queue\":0") != std::string::npos);
  }
  REQUIRE(deployment.daemon(0).Output().find(
              "error=caller_gone outcome=unknown") != std::string::npos);
}

TEST_CASE("sycamored and sycamorectl print their usage and version") {
  for (const char* program : {"sycamored", "sycamorectl"}) {
    for (const char* option : {"--help", "--version"}) {
      support::Process process(program, {option});
      REQUIRE(process.Wait(std::chrono::seconds(10)) == 0);
      REQUIRE_FALSE(process.Output().empty());
    }
    support::Process process(program, {"--no-such-option"});
    REQUIRE(process.Wait(std::chrono::seconds(10)) != 0);
    REQUIRE(process.Output().find("no-such-option") != std::string::npos);
  }
}

}  // namespace
}  // namespace sycamoreford
