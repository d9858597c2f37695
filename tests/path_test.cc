// A request crosses real processes from the caller to the last stage and back.
#include <csignal>
#include <future>

#include <catch2/catch.hpp>

#include "support/stand.h"

namespace sycamoreford {
namespace {

using support::Fetch;
using support::Stand;

TEST_CASE("a request crosses the whole path") {
  Stand stand({.daemons = 2});

  SECTION("an answer comes as one document") {
    const auto answer =
        Fetch(stand.callers(0), Stand::Chat("Plan a quarter peal", 20, false));
    REQUIRE(answer.has_value());
    REQUIRE(answer->status == 200);
    REQUIRE(Stand::AnswerText(*answer) ==
            Stand::ExpectedAnswer("Plan a quarter peal", 20));
  }

  SECTION("an answer comes as a stream with an end marker") {
    const auto answer =
        Fetch(stand.callers(1), Stand::Chat("Explain Grandsire", 30, true));
    REQUIRE(answer.has_value());
    REQUIRE(answer->content_type == "text/event-stream");
    REQUIRE(Stand::AnswerText(*answer) ==
            Stand::ExpectedAnswer("Explain Grandsire", 30));
  }

  SECTION("a stage dies in the middle of an answer") {
    auto answer = std::async(std::launch::async, [&] {
      return Fetch(stand.callers(0), Stand::Chat("Ring", 400, true));
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    stand.stage("a1").process.Signal(SIGKILL);
    const auto whole = answer.get();
    REQUIRE(whole.has_value());
    REQUIRE(Stand::AnswerText(*whole) == Stand::ExpectedAnswer("Ring", 400));
  }

  SECTION("a wrong key is refused as not run") {
    const auto answer =
        Fetch(stand.callers(0), Stand::Chat("Ring", 5, false, "wrong"));
    REQUIRE(answer.has_value());
    REQUIRE(answer->status == 401);
    REQUIRE(answer->body.find(R"("outcome":"not_run")") != std::string::npos);
  }

  SECTION("a daemon stops on request and exits cleanly") {
    stand.daemon(1).Signal(SIGTERM);
    REQUIRE(stand.daemon(1).Wait(std::chrono::seconds(20)) == 0);
  }
}

}  // namespace
}  // namespace sycamoreford
