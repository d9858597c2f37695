// Tests of which engine events become part of an answer, and of the timeouts
// and slowness that are derived from the pace of a stream.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "sycamoreford/stream/answer_progress.h"
#include "sycamoreford/stream/pace_monitor.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;

/// An event described by plain numbers, which RapidCheck shrinks well.
struct ScriptedEvent {
  bool begins_attempt = false;
  bool is_end = false;
  bool is_own_request = true;
  std::uint32_t attempt = 0;
  std::uint32_t position = 0;
};

ScriptedEvent AnyEvent(std::uint32_t attempt, std::uint32_t position) {
  ScriptedEvent scripted;
  scripted.begins_attempt = *rc::gen::inRange(0, 8) == 0;
  scripted.is_end = *rc::gen::inRange(0, 6) == 0;
  scripted.is_own_request = *rc::gen::inRange(0, 8) != 0;
  // Mostly the expected number, sometimes one less or one more.
  scripted.attempt = attempt + *rc::gen::element(0, 0, 0, 0, 1, -1);
  scripted.position = position + *rc::gen::element(0, 0, 0, 0, 1, -1);
  return scripted;
}

TEST_CASE("only the next token of the current attempt is delivered") {
  REQUIRE(rc::check("events in any order", [] {
    const RequestId own_request("own");
    const auto max_tokens = *rc::gen::inRange<std::uint32_t>(0, 12);
    AnswerProgress progress(own_request, max_tokens);
    std::uint32_t attempt = 0;
    std::uint32_t count = 0;
    bool is_complete = false;
    for (int i = 0; i < 60; ++i) {
      const ScriptedEvent scripted = AnyEvent(attempt, count);
      if (scripted.begins_attempt && !is_complete) {
        RC_ASSERT(progress.BeginAttempt() == Attempt(++attempt));
        continue;
      }
      const RequestId request =
          scripted.is_own_request ? own_request : RequestId("other");
      EngineEvent event =
          TokenEvent{request, Attempt(scripted.attempt),
                     TokenPosition(scripted.position), std::to_string(count)};
      if (scripted.is_end) {
        event = EndEvent{request, Attempt(scripted.attempt), scripted.position,
                         "stop"};
      }
      const bool is_next = scripted.is_own_request &&
                           scripted.attempt == attempt &&
                           scripted.position == count;
      const bool is_stale =
          scripted.is_own_request && scripted.attempt < attempt;
      const ProgressAction action = progress.OnEvent(event);
      if (is_complete || is_stale) {
        RC_ASSERT(action == ProgressAction::kDrop);
      } else if (is_next && scripted.is_end) {
        RC_ASSERT(action == ProgressAction::kFinish);
        is_complete = true;
      } else if (is_next && count < max_tokens) {
        RC_ASSERT(action == ProgressAction::kDeliver);
        ++count;
      } else {
        RC_ASSERT(action == ProgressAction::kAbort);
      }
      RC_ASSERT(progress.is_complete() == is_complete);
      RC_ASSERT(progress.delivered().size() == count);
    }
    for (std::uint32_t i = 0; i < count; ++i) {
      RC_ASSERT(progress.delivered()[i] == std::to_string(i));
    }
  }));
}

TEST_CASE("timeouts and slowness follow the pace of the stream") {
  PaceMonitor pace({.first_token = milliseconds(5'000),
                    .between_tokens = milliseconds(1'000)});
  REQUIRE(pace.NextTokenTimeout() == milliseconds(1'000));
  REQUIRE_FALSE(pace.IsSlow());
  pace.OnFirstToken(milliseconds(100), 100);

  SECTION("a fast stream gets a short timeout") {
    for (int i = 0; i < 100; ++i) {
      pace.OnToken(milliseconds(10));
    }
    REQUIRE(pace.NextTokenTimeout() < milliseconds(1'000));
    REQUIRE(pace.NextTokenTimeout() >= milliseconds(80));
    REQUIRE_FALSE(pace.IsSlow());

    SECTION("a stream at a tenth of its pace is slow after a few tokens") {
      int tokens = 0;
      while (!pace.IsSlow()) {
        pace.OnToken(milliseconds(100));
        REQUIRE(++tokens <= 5);
      }
      // The next token does not report slowness again.
      pace.OnSlownessChecked(true);
      pace.OnToken(milliseconds(100));
      REQUIRE_FALSE(pace.IsSlow());
    }
    SECTION("a stream at half of its pace is not slow") {
      for (int i = 0; i < 100; ++i) {
        pace.OnToken(milliseconds(20));
        REQUIRE_FALSE(pace.IsSlow());
      }
    }
    SECTION("a single late token does not make a stream slow") {
      pace.OnToken(milliseconds(200));
      REQUIRE_FALSE(pace.IsSlow());
    }
    SECTION("consecutive stalls double the timeout up to a maximum") {
      const Duration before = pace.NextTokenTimeout();
      pace.OnStall();
      REQUIRE(pace.NextTokenTimeout() == before * 2);
      for (int i = 0; i < 100; ++i) {
        pace.OnStall();
      }
      REQUIRE(pace.NextTokenTimeout() <= before * 16);
    }
  }

  SECTION("a stream of one token every 3 s does not time out") {
    for (int i = 0; i < 10; ++i) {
      pace.OnToken(milliseconds(3'000));
    }
    REQUIRE(pace.NextTokenTimeout() > milliseconds(3'000));
  }

  SECTION("a stream of bursts does not time out between them") {
    for (int i = 0; i < 40; ++i) {
      pace.OnToken(milliseconds(i % 4 == 0 ? 200 : 0));
    }
    REQUIRE(pace.NextTokenTimeout() > milliseconds(200));
    REQUIRE_FALSE(pace.IsSlow());
  }

  SECTION("a longer prompt has a longer first-token timeout") {
    REQUIRE(pace.FirstTokenTimeout(100'000) > pace.FirstTokenTimeout(100));
    REQUIRE(pace.FirstTokenTimeout(100) >= milliseconds(400));
    REQUIRE(pace.FirstTokenTimeout(100) < milliseconds(5'000));
  }
}

}  // namespace
}  // namespace sycamoreford
