// What becomes part of an answer, and how its pace is judged.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "sycamoreford/stream/answer_progress.h"
#include "sycamoreford/stream/pace_monitor.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;

/// An event in numbers, so that failures shrink well.
struct Script {
  bool begins_attempt = false;
  bool is_end = false;
  bool is_ours = true;
  std::uint32_t attempt = 0;
  std::uint32_t position = 0;
};

Script AnyScript(std::uint32_t attempt, std::uint32_t position) {
  Script script;
  script.begins_attempt = *rc::gen::inRange(0, 8) == 0;
  script.is_end = *rc::gen::inRange(0, 6) == 0;
  script.is_ours = *rc::gen::inRange(0, 8) != 0;
  // Mostly right, at times one too few or too many.
  script.attempt = attempt + *rc::gen::element(0, 0, 0, 0, 1, -1);
  script.position = position + *rc::gen::element(0, 0, 0, 0, 1, -1);
  return script;
}

TEST_CASE("only the next token of the present attempt is delivered") {
  REQUIRE(rc::check("events in any order", [] {
    const RequestId ours("ours");
    const auto most = *rc::gen::inRange<std::uint32_t>(0, 12);
    AnswerProgress progress(ours, most);
    std::uint32_t attempt = 0;
    std::uint32_t count = 0;
    bool is_whole = false;
    for (int i = 0; i < 60; ++i) {
      const Script script = AnyScript(attempt, count);
      if (script.begins_attempt && !is_whole) {
        RC_ASSERT(progress.BeginAttempt() == Attempt(++attempt));
        continue;
      }
      const RequestId request = script.is_ours ? ours : RequestId("theirs");
      EngineEvent event =
          TokenEvent{request, Attempt(script.attempt),
                     TokenPosition(script.position), std::to_string(count)};
      if (script.is_end) {
        event =
            EndEvent{request, Attempt(script.attempt), script.position, "stop"};
      }
      const bool fits = script.is_ours && script.attempt == attempt &&
                        script.position == count;
      const bool is_old = script.is_ours && script.attempt < attempt;
      const ProgressAction action = progress.OnEvent(event);
      if (is_whole || is_old) {
        RC_ASSERT(action == ProgressAction::kDrop);
      } else if (fits && script.is_end) {
        RC_ASSERT(action == ProgressAction::kFinish);
        is_whole = true;
      } else if (fits && count < most) {
        RC_ASSERT(action == ProgressAction::kDeliver);
        ++count;
      } else {
        RC_ASSERT(action == ProgressAction::kAbort);
      }
      RC_ASSERT(progress.is_whole() == is_whole);
      RC_ASSERT(progress.delivered().size() == count);
    }
    for (std::uint32_t i = 0; i < count; ++i) {
      RC_ASSERT(progress.delivered()[i] == std::to_string(i));
    }
  }));
}

TEST_CASE("silence and slowness are told by the stream's own pace") {
  PaceMonitor pace({.first_token = milliseconds(5'000),
                    .between_tokens = milliseconds(1'000)});
  REQUIRE(pace.AllowedGap() == milliseconds(1'000));
  REQUIRE_FALSE(pace.IsSlow());
  pace.OnFirstToken(milliseconds(100), 100);

  SECTION("a quick stream is soon known to be silent") {
    for (int i = 0; i < 100; ++i) {
      pace.OnToken(milliseconds(10));
    }
    REQUIRE(pace.AllowedGap() < milliseconds(1'000));
    REQUIRE(pace.AllowedGap() >= milliseconds(80));
    REQUIRE_FALSE(pace.IsSlow());

    SECTION("a tenth of the pace is slow within a few tokens") {
      int tokens = 0;
      while (!pace.IsSlow()) {
        pace.OnToken(milliseconds(100));
        REQUIRE(++tokens <= 5);
      }
      // It is looked into once, not with each token.
      pace.OnSlowSeen(true);
      pace.OnToken(milliseconds(100));
      REQUIRE_FALSE(pace.IsSlow());
    }
    SECTION("half of the pace is not") {
      for (int i = 0; i < 100; ++i) {
        pace.OnToken(milliseconds(20));
        REQUIRE_FALSE(pace.IsSlow());
      }
    }
    SECTION("one late token is not") {
      pace.OnToken(milliseconds(200));
      REQUIRE_FALSE(pace.IsSlow());
    }
    SECTION("each stall in a row doubles the patience, up to a bound") {
      const Duration before = pace.AllowedGap();
      pace.OnStall();
      REQUIRE(pace.AllowedGap() == before * 2);
      for (int i = 0; i < 100; ++i) {
        pace.OnStall();
      }
      REQUIRE(pace.AllowedGap() <= before * 16);
    }
  }

  SECTION("a stream at three seconds for each token is not silent") {
    for (int i = 0; i < 10; ++i) {
      pace.OnToken(milliseconds(3'000));
    }
    REQUIRE(pace.AllowedGap() > milliseconds(3'000));
  }

  SECTION("a stream of bursts is not silent between them") {
    for (int i = 0; i < 40; ++i) {
      pace.OnToken(milliseconds(i % 4 == 0 ? 200 : 0));
    }
    REQUIRE(pace.AllowedGap() > milliseconds(200));
    REQUIRE_FALSE(pace.IsSlow());
  }

  SECTION("a longer prompt gets longer until its first token") {
    REQUIRE(pace.FirstTokenTimeout(100'000) > pace.FirstTokenTimeout(100));
    REQUIRE(pace.FirstTokenTimeout(100) >= milliseconds(400));
    REQUIRE(pace.FirstTokenTimeout(100) < milliseconds(5'000));
  }
}

}  // namespace
}  // namespace sycamoreford
