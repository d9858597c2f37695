// Calls to a plain service run at most once, and the outcome "not run" is
// reported only if a call did not run, while real processes fail.
#include <csignal>
#include <future>
#include <thread>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "support/test_deployment.h"

namespace sycamoreford {
namespace {

namespace json = boost::json;
using support::Fetch;
using support::Post;
using support::TestDeployment;

constexpr std::chrono::seconds kMaxWait{30};

struct Call {
  std::string id;
  std::string key{};
  std::string body = "{}";
  std::string customer = "ringers";
  std::string method = "POST";
};

HttpRequest Request(const Call& call) {
  HttpRequest request;
  request.method = call.method;
  request.target = "/v1/services/rota-app/bookings";
  request.fields.Add("authorization", "Bearer " + call.customer + "-key");
  request.fields.Add("x-call", call.id);
  request.fields.Add("x-deadline-ms", "2000");
  if (!call.key.empty()) {
    request.fields.Add("idempotency-key", call.key);
  }
  request.body = call.body;
  return request;
}

/// Number of times that a call ran, at all replicas together.
std::int64_t RunCount(TestDeployment& deployment, const std::string& id) {
  std::int64_t sum = 0;
  for (std::size_t i = 0; i < 2; ++i) {
    HttpRequest request;
    request.target = "/fake/ran";
    const auto response = Fetch(deployment.service(i).address, request);
    REQUIRE(response.has_value());
    const json::value ran = json::parse(response->body);
    if (const json::value* count = ran.as_object().if_contains(id)) {
      sum += count->to_number<std::int64_t>();
    }
  }
  return sum;
}

void SetServices(TestDeployment& deployment, const std::string& mode) {
  for (std::size_t i = 0; i < 2; ++i) {
    REQUIRE(Post(deployment.service(i).address, "/fake/mode",
                 R"({"mode":")" + mode + R"(","delay_ms":1000})")
                .has_value());
  }
}

void SetTable(TestDeployment& deployment, const std::string& mode) {
  REQUIRE(Post(deployment.table_address(), "/fake/mode",
               R"({"mode":")" + mode + R"("})")
              .has_value());
}

HttpResponse Send(TestDeployment& deployment,
                  std::size_t daemon,
                  const Call& call) {
  auto response = Fetch(deployment.caller_address(daemon), Request(call));
  REQUIRE(response.has_value());
  return std::move(*response);
}

/// Whether the body contains `text` as a quoted JSON string.
bool Contains(const HttpResponse& response, const std::string& text) {
  return response.body.find('"' + text + '"') != std::string::npos;
}

/// Repeats a call until it is no longer in progress.
HttpResponse SendUntilFinished(TestDeployment& deployment,
                               std::size_t daemon,
                               const Call& call) {
  const auto deadline = std::chrono::steady_clock::now() + kMaxWait;
  HttpResponse response = Send(deployment, daemon, call);
  while (Contains(response, "in_progress") &&
         std::chrono::steady_clock::now() < deadline) {
    REQUIRE_FALSE(response.fields.Get("retry-after").empty());
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    response = Send(deployment, daemon, call);
  }
  return response;
}

TEST_CASE("a call with a key runs at most once across all daemons") {
  TestDeployment deployment({.daemons = 2});
  const Call call{"c1", "k1"};

  SECTION("repeated calls at any daemon get the stored response") {
    const HttpResponse first = Send(deployment, 0, call);
    REQUIRE(first.status == 200);
    for (const std::size_t daemon : {0, 1}) {
      const HttpResponse repeat = Send(deployment, daemon, call);
      REQUIRE(repeat.status == 200);
      REQUIRE(repeat.body == first.body);
    }
    REQUIRE(RunCount(deployment, "c1") == 1);

    AND_WHEN("the key is reused with another body") {
      const HttpResponse other = Send(deployment, 1, {"c1", "k1", "{\"x\":1}"});
      REQUIRE(other.status == 422);
      REQUIRE(Contains(other, "not_run"));
    }
    AND_WHEN("another customer uses the same key") {
      const HttpResponse other =
          Send(deployment, 1, {"c2", "k1", "{}", "students"});
      REQUIRE(other.status == 200);
      REQUIRE(RunCount(deployment, "c2") == 1);
    }
  }

  SECTION("concurrent repeated calls run once") {
    SetServices(deployment, "slow");
    std::vector<std::future<HttpResponse>> repeats;
    repeats.reserve(6);
    for (int i = 0; i < 6; ++i) {
      repeats.push_back(std::async(std::launch::async, [&, i] {
        return Send(deployment, i % 2, call);
      }));
    }
    int answered = 0;
    for (auto& repeat : repeats) {
      const HttpResponse response = repeat.get();
      answered += response.status == 200 ? 1 : 0;
      const bool is_typed =
          response.status == 200 || Contains(response, "in_progress");
      REQUIRE(is_typed);
    }
    REQUIRE(answered == 1);
    REQUIRE(RunCount(deployment, "c1") == 1);
  }

  SECTION("the service closes the connection before it runs the call") {
    SetServices(deployment, "cut_before");
    REQUIRE(Contains(Send(deployment, 0, call), "unknown"));
    SetServices(deployment, "up");
    const HttpResponse repeat = Send(deployment, 1, call);
    INFO(repeat.body);
    REQUIRE(Contains(repeat, "outcome_unknown"));
    REQUIRE(RunCount(deployment, "c1") == 0);
  }

  SECTION("the service closes the connection after it ran the call") {
    SetServices(deployment, "cut_after");
    REQUIRE(Contains(Send(deployment, 0, call), "unknown"));
    SetServices(deployment, "up");
    REQUIRE(Contains(Send(deployment, 1, call), "outcome_unknown"));
    REQUIRE(RunCount(deployment, "c1") == 1);
  }

  SECTION("no replica is listening") {
    for (const std::size_t replica : {0U, 1U}) {
      // Wait for the exit: a killed process may still accept connections.
      deployment.service(replica).process.Signal(SIGKILL);
      REQUIRE(deployment.service(replica).process.Wait(
                  std::chrono::seconds(10)) == -SIGKILL);
    }
    const HttpResponse refused = Send(deployment, 0, call);
    REQUIRE(refused.status == 503);
    REQUIRE(Contains(refused, "not_run"));
    REQUIRE_FALSE(refused.fields.Get("retry-after").empty());
  }

  SECTION("the daemon is killed between dispatch and response") {
    SetServices(deployment, "slow");
    auto lost = std::async(std::launch::async, [&] {
      return Fetch(deployment.caller_address(0), Request(call));
    });
    while (RunCount(deployment, "c1") == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    deployment.daemon(0).Signal(SIGKILL);
    REQUIRE_FALSE(lost.get().has_value());
    SetServices(deployment, "up");
    REQUIRE(
        Contains(SendUntilFinished(deployment, 1, call), "outcome_unknown"));
    REQUIRE(RunCount(deployment, "c1") == 1);
  }

  SECTION("the caller disconnects while the call runs") {
    SetServices(deployment, "slow");
    const auto cancelled = Fetch(deployment.caller_address(0), Request(call),
                                 std::chrono::milliseconds(300));
    REQUIRE_FALSE(cancelled.has_value());
    const HttpResponse repeat = SendUntilFinished(deployment, 1, call);
    REQUIRE(repeat.status == 200);
    REQUIRE(RunCount(deployment, "c1") == 1);
  }

  SECTION("the table is down") {
    SetTable(deployment, "down");
    const HttpResponse refused = Send(deployment, 0, call);
    REQUIRE(refused.status == 503);
    REQUIRE(Contains(refused, "not_run"));
    REQUIRE_FALSE(refused.fields.Get("retry-after").empty());
    REQUIRE(RunCount(deployment, "c1") == 0);
    REQUIRE(Send(deployment, 0, {"c2", "", "", "ringers", "GET"}).status ==
            200);
    SetTable(deployment, "up");
    REQUIRE(Send(deployment, 1, call).status == 200);
    REQUIRE(RunCount(deployment, "c1") == 1);
  }

  SECTION("the responses of the table are lost") {
    SetTable(deployment, "lose_answers");
    REQUIRE(Send(deployment, 0, call).status == 200);
    SetTable(deployment, "up");
    REQUIRE(SendUntilFinished(deployment, 1, call).status == 200);
    REQUIRE(RunCount(deployment, "c1") == 1);
  }

  SECTION("the table goes down while the call runs") {
    SetServices(deployment, "slow");
    auto first = std::async(std::launch::async,
                            [&] { return Send(deployment, 0, call); });
    while (RunCount(deployment, "c1") == 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    SetTable(deployment, "down");
    const HttpResponse response = first.get();
    REQUIRE(response.status == 200);
    SetTable(deployment, "up");
    const HttpResponse repeat = SendUntilFinished(deployment, 1, call);
    REQUIRE(repeat.status == 200);
    REQUIRE(repeat.body == response.body);
    REQUIRE(RunCount(deployment, "c1") == 1);
  }
}

TEST_CASE("a call without a key is not retried after it was sent") {
  TestDeployment deployment({.daemons = 1});
  for (const std::string method : {"BOOK", "POST", "PATCH"}) {
    for (const std::string mode : {"cut_after", "cut_before"}) {
      const std::string id = method + mode;
      SetServices(deployment, mode);
      REQUIRE(Contains(Send(deployment, 0, {id, "", "{}", "ringers", method}),
                       "unknown"));
      REQUIRE(RunCount(deployment, id) == (mode == "cut_after" ? 1 : 0));
      SetServices(deployment, "up");
      // The replicas are suspected for a while after they closed a connection.
      const auto deadline = std::chrono::steady_clock::now() + kMaxWait;
      while (Send(deployment, 0, {"probe", "", "", "ringers", "GET"}).status !=
                 200 &&
             std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
    }
  }
}

}  // namespace
}  // namespace sycamoreford
