// Bad input of callers: each gets a typed error, nothing is lost or run, and
// the daemon stays up.
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
  const char* what;
  std::string bytes;
  int status;
  const char* type;
};

std::vector<Case> Cases() {
  const std::string post =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
      "Authorization: Bearer ringers-key\r\n";
  return {
      {"bytes that are no HTTP", "\x01\x02 garbage\r\n\r\n", 400, "malformed"},
      {"a wrong version", "GET / HTTP/9.9\r\n\r\n", 400, "malformed"},
      {"a header without colon", "GET / HTTP/1.1\r\nabc\r\n\r\n", 400,
       "malformed"},
      {"an oversized header",
       "GET / HTTP/1.1\r\nA: " + std::string(4000, 'a') + "\r\n\r\n", 431,
       "too_large"},
      {"an oversized target", Get("/" + std::string(4000, 'a')), 431,
       "too_large"},
      {"an oversized body", Chat(std::string(200'000, ' ')), 413, "too_large"},
      {"an oversized chunked body",
       post + "Transfer-Encoding: chunked\r\n\r\n2000\r\n" +
           std::string(0x2000, ' ') + "\r\n0\r\n\r\n",
       413, "too_large"},
      {"a bad chunk", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400,
       "malformed"},
      {"a negative length", post + "Content-Length: -1\r\n\r\n", 400,
       "malformed"},
      {"two lengths",
       post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}x", 400,
       "malformed"},
      {"a length and chunks",
       post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
              "2\r\n{}\r\n0\r\n\r\n",
       400, "malformed"},
      {"half a header, then silence", "GET / HTTP/1.1\r\nHo", 408,
       "deadline_exceeded"},
      {"half a body, then silence", post + "Content-Length: 9\r\n\r\n{", 408,
       "deadline_exceeded"},
      {"an unknown path", Get("/v1/nothing"), 404, "not_found"},
      {"an unknown service", Get("/v1/services/nobody/x"), 404, "not_found"},
      {"a wrong method", Get("/v1/chat/completions"), 405,
       "method_not_allowed"},
      {"an unknown method", Get("/v1/models", "BREW"), 405,
       "method_not_allowed"},
      {"no key", Chat("{}", "none"), 401, "unauthorized"},
      {"a wrong key", Chat("{}", "Bearer nobody"), 401, "unauthorized"},
      {"an empty key", Chat("{}", "Bearer "), 401, "unauthorized"},
      {"an empty body", Chat(""), 400, "malformed"},
      {"half of a JSON text", Chat(R"({"model":)"), 400, "malformed"},
      {"JSON nested too deep", Chat(std::string(3000, '[')), 400, "malformed"},
      {"bytes that are no UTF-8", Chat("{\"model\":\"\xff\xfe\"}"), 400,
       "malformed"},
      {"JSON that is no object", Chat("[]"), 400, "malformed"},
      {"a model that is a number", Chat(R"({"model":1})"), 400, "malformed"},
      {"no messages", Chat(R"({"model":"bell-llm","messages":[]})"), 400,
       "malformed"},
      {"messages of a wrong type", Chat(R"({"model":"bell-llm","messages":1})"),
       400, "malformed"},
      {"no tokens", ChatWith(R"(,"max_tokens":0)"), 400, "malformed"},
      {"a negative number of tokens", ChatWith(R"(,"max_tokens":-1)"), 400,
       "malformed"},
      {"a number of tokens past all bounds",
       ChatWith(R"(,"max_tokens":4294967296)"), 400, "malformed"},
      {"a text for a number", ChatWith(R"(,"max_tokens":"5")"), 400,
       "malformed"},
      {"a text for a flag", ChatWith(R"(,"stream":"yes")"), 400, "malformed"},
      {"an unknown model",
       Chat(R"({"model":"none","messages":[{"role":"user","content":"x"}]})"),
       404, "not_found"},
      {"a deadline in the past",
       Chat("{}", "Bearer ringers-key", "X-Deadline-Ms: -1\r\n"), 504,
       "deadline_exceeded"},
      {"a deadline that is no number",
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

TEST_CASE("bad input gets a typed error and runs nothing") {
  TestDeployment deployment({.limits = kLimits});
  for (const Case& each : Cases()) {
    RawConnection connection(deployment.caller_address(0));
    connection.Send(each.bytes);
    const std::string answer = connection.ReadAll();
    INFO(each.what << ": " << answer);
    CHECK(answer.starts_with("HTTP/1.1 " + std::to_string(each.status)));
    CHECK(answer.find(R"("type":")" + std::string(each.type) + "\"") !=
          std::string::npos);
    CHECK(answer.find(R"("outcome":"not_run")") != std::string::npos);
    CHECK_FALSE(connection.was_reset());
  }
  RequireNothingRan(deployment);
  REQUIRE(Fetch(deployment.caller_address(0),
                TestDeployment::ChatRequest("Ring", 3, false))
              ->status == 200);
}

TEST_CASE("odd but proper HTTP is served") {
  TestDeployment deployment({.limits = kLimits});
  const std::string body =
      R"({"model":"bell-llm","max_tokens":3,"stream":true,"messages":)" +
      TestDeployment::ChatMessages("Ring") + "}";

  SECTION("requests sent before the first answer are answered in order") {
    RawConnection connection(deployment.caller_address(0));
    std::string whole = Chat(body);
    whole.replace(whole.find("Connection: close\r\n"), 19, "");
    connection.Send(whole + Get("/healthz"));
    const std::string answer = connection.ReadAll();
    const std::size_t end = answer.find("[DONE]");
    REQUIRE(end != std::string::npos);
    REQUIRE(answer.find("ok\n", end) != std::string::npos);
  }
  SECTION("HTTP/1.0 gets a stream without chunks, ended by the close") {
    RawConnection connection(deployment.caller_address(0));
    std::string old = Chat(body);
    old.replace(old.find("HTTP/1.1"), 8, "HTTP/1.0");
    connection.Send(old);
    const std::string answer = connection.ReadAll();
    REQUIRE(answer.starts_with("HTTP/1.0 200"));
    REQUIRE(answer.ends_with("data: [DONE]\n\n"));
  }
  SECTION("a header alone is sent for HEAD") {
    RawConnection connection(deployment.caller_address(0));
    connection.Send("HEAD /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    connection.Send(Get("/healthz"));
    const std::string answer = connection.ReadAll();
    REQUIRE(answer.find("\r\n\r\nHTTP/1.1 200") != std::string::npos);
  }
  SECTION("a body may wait for 100 Continue") {
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

TEST_CASE("slow and idle callers do not hold a connection for ever") {
  TestDeployment deployment({.limits = kLimits});

  SECTION("a header that comes byte by byte") {
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
  SECTION("more connections than allowed are told so") {
    std::vector<std::unique_ptr<RawConnection>> held;
    held.reserve(30);
    for (int i = 0; i < 30; ++i) {
      held.push_back(
          std::make_unique<RawConnection>(deployment.caller_address(0)));
    }
    const std::string answer = held.back()->ReadAll();
    REQUIRE(answer.starts_with("HTTP/1.1 503"));
    REQUIRE(answer.find("retry-after: 1") != std::string::npos);
    held.clear();
    std::this_thread::sleep_for(milliseconds(200));
    REQUIRE(Fetch(deployment.caller_address(0),
                  TestDeployment::ChatRequest("Ring", 3, false))
                ->status == 200);
  }
}

TEST_CASE("a caller that goes away cancels its work") {
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

TEST_CASE("every program tells its use and version") {
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
