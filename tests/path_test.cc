// End-to-end test with real processes, from the caller to the last stage.
#include <csignal>
#include <future>

#include <catch2/catch.hpp>

#include "support/test_deployment.h"

namespace sycamoreford {
namespace {

using support::Fetch;
using support::TestDeployment;

TEST_CASE("a request passes from the caller to the last stage and back") {
  TestDeployment deployment({.daemons = 2});

  SECTION("an answer is returned as one JSON document") {
    const auto answer =
        Fetch(deployment.caller_address(0),
              TestDeployment::ChatRequest("Plan a quarter peal", 20, false));
    REQUIRE(answer.has_value());
    REQUIRE(answer->status == 200);
    REQUIRE(TestDeployment::AnswerText(*answer) ==
            TestDeployment::ExpectedAnswer("Plan a quarter peal", 20));
  }

  SECTION("an answer is streamed with an end marker") {
    const auto answer =
        Fetch(deployment.caller_address(1),
              TestDeployment::ChatRequest("Explain Grandsire", 30, true));
    REQUIRE(answer.has_value());
    REQUIRE(answer->content_type == "text/event-stream");
    REQUIRE(TestDeployment::AnswerText(*answer) ==
            TestDeployment::ExpectedAnswer("Explain Grandsire", 30));
  }

  SECTION("a stage is killed in the middle of an answer") {
    auto answer = std::async(std::launch::async, [&] {
      return Fetch(deployment.caller_address(0),
                   TestDeployment::ChatRequest("Ring", 400, true));
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    deployment.stage("a1").process.Signal(SIGKILL);
    const auto response = answer.get();
    REQUIRE(response.has_value());
    REQUIRE(TestDeployment::AnswerText(*response) ==
            TestDeployment::ExpectedAnswer("Ring", 400));
  }

  SECTION("a wrong key is refused as not run") {
    const auto answer =
        Fetch(deployment.caller_address(0),
              TestDeployment::ChatRequest("Ring", 5, false, "wrong"));
    REQUIRE(answer.has_value());
    REQUIRE(answer->status == 401);
    REQUIRE(answer->body.find(R"("outcome":"not_run")") != std::string::npos);
  }

  SECTION("a daemon stops on request and exits cleanly") {
    deployment.daemon(1).Signal(SIGTERM);
    REQUIRE(deployment.daemon(1).Wait(std::chrono::seconds(20)) == 0);
  }
}

}  // namespace
}  // namespace sycamoreford
