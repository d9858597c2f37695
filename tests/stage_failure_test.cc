// Stage processes are killed, freeze and resume, send wrong data or change
// their layers; callers get the complete answer or a typed error.
#include <csignal>
#include <future>
#include <set>
#include <thread>

#include <catch2/catch.hpp>

#include <boost/json.hpp>

#include "support/test_deployment.h"

namespace sycamoreford {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using support::Fetch;
using support::Post;
using support::TestDeployment;

/// Number of steps that a stage ran.
std::size_t ExecutedSteps(TestDeployment& deployment,
                          const std::string& stage) {
  const auto ran = Post(deployment.stage(stage).address, "/fake/ran", "{}");
  REQUIRE(ran.has_value());
  return json::parse(ran->body).at("ran").as_array().size();
}

/// Whether a stage ran a step twice for one request, attempt and position.
bool ExecutedTwice(TestDeployment& deployment, const std::string& stage) {
  const auto ran = Post(deployment.stage(stage).address, "/fake/ran", "{}");
  std::set<std::string> seen;
  if (ran) {
    const json::value records = json::parse(ran->body);
    for (const json::value& record : records.at("ran").as_array()) {
      if (!seen.insert(json::serialize(record)).second) {
        return true;
      }
    }
  }
  return false;
}

/// The replica, `a` or `b`, that is generating an answer.
std::string BusyReplica(TestDeployment& deployment) {
  const std::size_t before = ExecutedSteps(deployment, "a0");
  std::this_thread::sleep_for(milliseconds(100));
  return ExecutedSteps(deployment, "a0") > before ? "a" : "b";
}

void SetFault(TestDeployment& deployment,
              const std::string& stage,
              const std::string& kind) {
  REQUIRE(Post(deployment.stage(stage).address, "/fake/fault",
               R"({"kind":")" + kind + R"("})")
              .has_value());
}

/// Streams the same request for two customers, calls `inject_fault` with the
/// busy replica in the middle, and checks that both answers are complete and
/// that no stage ran a step twice.
template <class InjectFault>
void StreamDuringFault(TestDeployment& deployment, InjectFault inject_fault) {
  constexpr std::uint32_t kTokens = 300;
  std::vector<std::future<Result<HttpResponse>>> answers;
  for (const std::string key : {"ringers-key", "students-key"}) {
    answers.push_back(std::async(std::launch::async, [&deployment, key] {
      return Fetch(deployment.caller_address(0),
                   TestDeployment::ChatRequest("Ring", kTokens, true, key));
    }));
  }
  std::this_thread::sleep_for(milliseconds(300));
  inject_fault(BusyReplica(deployment));
  for (auto& answer : answers) {
    const auto response = answer.get();
    REQUIRE(response.has_value());
    INFO(response->body.substr(response->body.size() - 300));
    REQUIRE(TestDeployment::AnswerText(*response) ==
            TestDeployment::ExpectedAnswer("Ring", kTokens));
  }
  for (const std::string stage : {"a0", "a1", "a2", "b0", "b1", "b2"}) {
    REQUIRE_FALSE(ExecutedTwice(deployment, stage));
  }
}

TEST_CASE("one stage fails during a stream") {
  const std::string index = GENERATE("0", "1", "2");
  TestDeployment deployment({});

  SECTION("it is killed") {
    StreamDuringFault(deployment, [&](const std::string& replica) {
      deployment.stage(replica + index).process.Signal(SIGKILL);
    });
  }
  SECTION("it freezes and resumes") {
    StreamDuringFault(deployment, [&](const std::string& replica) {
      deployment.stage(replica + index).process.Signal(SIGSTOP);
      std::this_thread::sleep_for(milliseconds(1'500));
      deployment.stage(replica + index).process.Signal(SIGCONT);
    });
  }
  SECTION("its layer range changes while a chain uses it") {
    StreamDuringFault(deployment, [&](const std::string& replica) {
      REQUIRE(Post(deployment.stage(replica + index).address, "/fake/fault",
                   R"({"first":0,"end":1})")
                  .has_value());
    });
  }
}

TEST_CASE("a first stage sends wrong data or refuses") {
  TestDeployment deployment({});
  const std::string kind =
      GENERATE("drop_connection", "malformed", "duplicate_token",
               "wrong_request", "missing_end", "refuse");
  INFO(kind);
  StreamDuringFault(deployment, [&](const std::string& replica) {
    SetFault(deployment, replica + "0", kind);
  });
  // The first stages still respond: the injected fault was the cause, not a
  // stage that died.
  REQUIRE(ExecutedSteps(deployment, "a0") + ExecutedSteps(deployment, "b0") >
          0);
  // Later answers are complete too while the fault lasts.
  for (int i = 0; i < 4; ++i) {
    const auto answer = Fetch(deployment.caller_address(0),
                              TestDeployment::ChatRequest("Plan", 10, false));
    REQUIRE(answer.has_value());
    REQUIRE(TestDeployment::AnswerText(*answer) ==
            TestDeployment::ExpectedAnswer("Plan", 10));
  }
}

TEST_CASE("two stages of different chains fail at once") {
  TestDeployment deployment({});
  StreamDuringFault(deployment, [&](const std::string& replica) {
    const std::string other = replica == "a" ? "b" : "a";
    deployment.stage(replica + "0").process.Signal(SIGKILL);
    deployment.stage(other + "2").process.Signal(SIGSTOP);
  });
}

TEST_CASE("a layer without a live stage ends the stream with a typed error") {
  TestDeployment deployment({});
  auto answer = std::async(std::launch::async, [&] {
    return Fetch(deployment.caller_address(0),
                 TestDeployment::ChatRequest("Ring", 2'000, true));
  });
  std::this_thread::sleep_for(milliseconds(300));
  deployment.stage("a1").process.Signal(SIGKILL);
  deployment.stage("b1").process.Signal(SIGKILL);
  const auto response = answer.get();
  REQUIRE(response.has_value());
  REQUIRE(response->body.find("[DONE]") == std::string::npos);
  INFO(response->body.substr(response->body.size() - 300));
  REQUIRE(response->body.find(R"("outcome":"failed")") != std::string::npos);
  REQUIRE(response->body.find("retry_after_ms") != std::string::npos);

  const auto refused = Fetch(deployment.caller_address(0),
                             TestDeployment::ChatRequest("Ring", 10, false));
  REQUIRE(refused.has_value());
  INFO(refused->body << deployment.daemon(0).Output());
  REQUIRE(refused->status == 503);
  REQUIRE(refused->body.find(R"("outcome":"not_run")") != std::string::npos);
  REQUIRE_FALSE(refused->fields.Get("retry-after").empty());
}

TEST_CASE(
    "refusals by all chains are reported as not run, and no stage ran a step") {
  TestDeployment deployment({});
  SetFault(deployment, "a0", "refuse");
  SetFault(deployment, "b0", "refuse");
  const auto refused = Fetch(deployment.caller_address(0),
                             TestDeployment::ChatRequest("Ring", 10, true));
  REQUIRE(refused.has_value());
  INFO(refused->body << deployment.daemon(0).Output());
  REQUIRE(refused->status == 503);
  REQUIRE(refused->body.find(R"("outcome":"not_run")") != std::string::npos);
  for (const std::string stage : {"a0", "a1", "a2", "b0", "b1", "b2"}) {
    REQUIRE(ExecutedSteps(deployment, stage) == 0);
  }
}

TEST_CASE(
    "a caller that disconnects stops the work and no endpoint is suspected") {
  TestDeployment deployment({});
  deployment.stage("b0").process.Signal(SIGKILL);
  const auto response = Fetch(deployment.caller_address(0),
                              TestDeployment::ChatRequest("Ring", 2'000, false),
                              milliseconds(400));
  REQUIRE_FALSE(response.has_value());
  for (int i = 0; i < 5; ++i) {
    // The only remaining chain still serves requests.
    const auto next = Fetch(deployment.caller_address(0),
                            TestDeployment::ChatRequest("Plan", 3, false));
    REQUIRE(next.has_value());
    INFO(next->body << deployment.daemon(0).Output());
    REQUIRE(next->status == 200);
  }
  std::this_thread::sleep_for(milliseconds(500));
  const std::size_t steps = ExecutedSteps(deployment, "a2");
  REQUIRE(steps > 15);
  std::this_thread::sleep_for(milliseconds(500));
  REQUIRE(ExecutedSteps(deployment, "a2") == steps);
}

TEST_CASE("a request with a short deadline to frozen chains ends in time") {
  TestDeployment deployment({});
  for (const std::string stage : {"a1", "b1"}) {
    deployment.stage(stage).process.Signal(SIGSTOP);
  }
  HttpRequest request = TestDeployment::ChatRequest("Ring", 10, false);
  request.fields.Add("x-deadline-ms", "700");
  const auto before = std::chrono::steady_clock::now();
  const auto response = Fetch(deployment.caller_address(0), request);
  REQUIRE(response.has_value());
  REQUIRE(response->status == 504);
  REQUIRE(response->body.find("deadline_exceeded") != std::string::npos);
  REQUIRE(response->body.find(R"("outcome":"unknown")") != std::string::npos);
  REQUIRE(std::chrono::steady_clock::now() - before < std::chrono::seconds(3));
}

}  // namespace
}  // namespace sycamoreford
