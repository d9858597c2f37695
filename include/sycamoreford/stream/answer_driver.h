#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_state.hpp>
#include <boost/asio/this_coro.hpp>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/log.h"
#include "sycamoreford/route/chain_planner.h"
#include "sycamoreford/route/endpoint_table.h"
#include "sycamoreford/stream/answer_order.h"
#include "sycamoreford/stream/answer_progress.h"
#include "sycamoreford/stream/attempt_planner.h"
#include "sycamoreford/stream/engine_client.h"
#include "sycamoreford/stream/pace_monitor.h"
#include "sycamoreford/stream/stage_suspects.h"

namespace sycamoreford {

/// Where the tokens of an answer go.
template <class T>
concept AnswerSink = requires(T& sink, const std::string& text) {
  { sink.OnToken(text) } -> std::same_as<boost::asio::awaitable<void>>;
};

/// Bounds of one answer.
struct AnswerLimits {
  /// Attempts in a row that bring no token.
  std::uint32_t attempts = 6;
  /// Silence before the first token, as long as no pace is known.
  std::chrono::milliseconds first_token_timeout{5'000};
  /// Silence between tokens, as long as no pace is known.
  std::chrono::milliseconds between_tokens_timeout{1'000};
};

/// Runs one answer to its end: plans a chain, opens an attempt, delivers its
/// tokens, and goes on from the next position on another chain when it fails.
///
/// Thread safety: belongs to one coroutine; `endpoints` is shared.
template <EngineClient Engine, Clock TheClock>
class AnswerDriver {
 public:
  /// Precondition: all arguments outlive this object.
  AnswerDriver(Engine& engine,
               EndpointTable& endpoints,
               const TheClock& clock,
               AnswerLimits limits)
      : engine_(engine),
        endpoints_(endpoints),
        clock_(clock),
        limits_(limits) {}

  /// Generates the whole answer into `sink`.
  ///
  /// \returns the finish reason, or the failure that ended the last attempt.
  ///     Its outcome is `kNotRun` only when that was proved of every attempt.
  ///     No wait lasts beyond the deadline. Throws what `sink` throws.
  template <AnswerSink Sink>
  boost::asio::awaitable<Result<std::string>> Run(const AnswerOrder& order,
                                                  Sink& sink) {
    AnswerProgress progress(order.request, order.max_tokens);
    PaceMonitor pace({.first_token = limits_.first_token_timeout,
                      .between_tokens = limits_.between_tokens_timeout});
    StageSuspects suspects;
    Outcome outcome = Outcome::kNotRun;
    Failure last{.code = Errc::kNoEndpoint, .where = "chain"};
    std::uint32_t fruitless = 0;
    tokens_ = 0;
    while (fruitless < limits_.attempts) {
      if (clock_.Now() >= order.deadline) {
        last.code = Errc::kDeadlineExceeded;
        break;
      }
      auto chain = NextChain(order, progress, suspects);
      if (!chain) {
        last = chain.error();
        break;
      }
      if (progress.attempt().value() > 0 && order.may_retry &&
          !order.may_retry(*chain, !progress.delivered().empty())) {
        break;
      }
      const std::size_t had = progress.delivered().size();
      Tracking tracking{progress, pace, suspects};
      auto ended = co_await RunAttempt(order, *chain, tracking, sink);
      if (ended) {
        co_return *ended;
      }
      last = ended.error();
      outcome = Worse(outcome, last.outcome);
      if (co_await IsCancelled()) {
        last.code = Errc::kCallerGone;
        break;
      }
      fruitless = progress.delivered().size() > had ? 0 : fruitless + 1;
      Blame(*chain, last, tracking);
      LogEvent(Severity::kInfo, "attempt_failed")
          .With("request", order.request.value())
          .With("attempt", attempts_)
          .With("error", ToString(last.code))
          .With("outcome", ToString(last.outcome))
          .With("where", last.where);
    }
    last.outcome = outcome;
    if (last.code != Errc::kDeadlineExceeded) {
      last.retry_after = kRetryAfter;
    }
    co_return last;
  }

  /// Number of attempts that the last run took.
  [[nodiscard]] std::uint32_t attempts() const noexcept { return attempts_; }

  /// Number of tokens that the last run delivered.
  [[nodiscard]] std::uint32_t tokens() const noexcept { return tokens_; }

 private:
  static constexpr std::chrono::milliseconds kRetryAfter{1'000};

  static GenerateOrder ToGenerateOrder(const AnswerOrder& order,
                                       const Chain& chain,
                                       const AnswerProgress& progress) {
    return {.request = order.request,
            .attempt = progress.attempt(),
            .model = order.model,
            .version = order.version.version(),
            .adapter = order.adapter,
            .layers = order.version.layers(),
            .chain = chain,
            .messages = order.messages,
            .delivered = progress.delivered(),
            .max_tokens = order.max_tokens,
            .priority = order.priority};
  }

  /// What one run knows.
  struct Tracking {
    AnswerProgress& progress;
    PaceMonitor& pace;
    StageSuspects& suspects;
  };

  /// Loads in which no endpoint is suspected.
  struct Unsuspecting {
    const EndpointTable::View& view;
    [[nodiscard]] EndpointLoad LoadOf(const EndpointId& id) const {
      EndpointLoad load = view.LoadOf(id);
      load.is_suspected = false;
      return load;
    }
  };

  static Outcome Worse(Outcome one, Outcome other) noexcept {
    if (one == Outcome::kUnknown || other == Outcome::kUnknown) {
      return Outcome::kUnknown;
    }
    return one == Outcome::kNotRun ? other : one;
  }

  static boost::asio::awaitable<bool> IsCancelled() {
    const auto state = co_await boost::asio::this_coro::cancellation_state;
    co_return state.cancelled() != boost::asio::cancellation_type::none;
  }

  /// The pool as of now; nothing when the order's own still holds.
  static std::optional<v1::Pool> CurrentPool(const AnswerOrder& order,
                                             const AnswerProgress& progress) {
    if (progress.attempt().value() > 0 && order.current_pool) {
      return order.current_pool();
    }
    return std::nullopt;
  }

  /// A stream that has begun rather tries suspected stages than ends.
  Result<Chain> NextChain(const AnswerOrder& order,
                          const AnswerProgress& progress,
                          const StageSuspects& suspects) const {
    const std::optional<v1::Pool> current = CurrentPool(order, progress);
    const v1::Pool& pool = current ? *current : order.pool;
    const EndpointTable::View loads = endpoints_.Snapshot(clock_.Now());
    auto chain =
        suspects.Plan(pool, AttemptPlanner<EndpointTable::View>(
                                order, pool, progress.attempt(), loads));
    if (!chain && !progress.delivered().empty()) {
      const Unsuspecting trusting{loads};
      chain =
          suspects.Plan(pool, AttemptPlanner<Unsuspecting>(
                                  order, pool, progress.attempt(), trusting));
    }
    return chain;
  }

  static std::size_t PrefillBytes(const AnswerOrder& order,
                                  const AnswerProgress& progress) {
    std::size_t bytes = order.messages.size();
    for (const std::string& token : progress.delivered()) {
      bytes += token.size();
    }
    return bytes;
  }

  /// Time left until `end` or the deadline; 0 when there is none.
  std::chrono::milliseconds TimeLeft(const AnswerOrder& order,
                                     TimePoint end) const {
    const Duration left = std::min(end, order.deadline) - clock_.Now();
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::max(left, Duration(0)));
  }

  /// A silence that the deadline cut short is no fault of an endpoint.
  Failure Explain(const AnswerOrder& order, Failure failure) const {
    if (failure.code == Errc::kStalled && clock_.Now() >= order.deadline) {
      failure.code = Errc::kDeadlineExceeded;
    }
    return failure;
  }

  template <AnswerSink Sink>
  boost::asio::awaitable<Result<std::string>> RunAttempt(
      const AnswerOrder& order,
      const Chain& chain,
      Tracking& tracking,
      Sink& sink) {
    AnswerProgress& progress = tracking.progress;
    progress.BeginAttempt();
    attempts_ = progress.attempt().value();
    const ChainInFlightGuard hold(endpoints_, chain);
    const std::size_t prefill = PrefillBytes(order, progress);
    const TimePoint began = clock_.Now();
    TimePoint arrived = began;
    TimePoint bound = began + tracking.pace.FirstTokenTimeout(prefill);
    const GenerateOrder generate = ToGenerateOrder(order, chain, progress);
    auto stream = co_await engine_.Open(generate, TimeLeft(order, bound));
    if (!stream) {
      co_return Explain(order, stream.error());
    }
    const std::size_t before = progress.delivered().size();
    TimePoint first_token{};
    Duration sending{0};
    for (;;) {
      const auto wait = TimeLeft(order, bound);
      if (wait.count() == 0) {
        co_return Explain(order, Silence());
      }
      auto event = co_await stream->Next(wait);
      if (!event) {
        co_return Explain(order, event.error());
      }
      switch (progress.OnEvent(*event)) {
        case ProgressAction::kDeliver: {
          const TimePoint now = clock_.Now();
          if (arrived == began) {
            tracking.pace.OnFirstToken(now - began, prefill);
          } else if (sending * 2 < now - arrived) {
            tracking.pace.OnToken(now - arrived);
          }
          arrived = now;
          if (progress.delivered().size() == before + 1) {
            first_token = now;
          }
          ++tokens_;
          co_await sink.OnToken(progress.delivered().back());
          sending = clock_.Now() - now;
          if (ShouldMove(order, chain, tracking)) {
            co_return Silence();
          }
          bound = clock_.Now() + tracking.pace.AllowedGap();
          break;
        }
        case ProgressAction::kDrop:
          break;
        case ProgressAction::kFinish:
          Report(chain, AttemptResult::kSuccess);
          ReportPace(chain, arrived - first_token,
                     progress.delivered().size() - before);
          co_return progress.finish_reason();
        case ProgressAction::kAbort:
          co_return Failure{.code = Errc::kBadEndpointAnswer,
                            .outcome = Outcome::kUnknown,
                            .where = chain.front().address};
      }
    }
  }

  static Failure Silence() {
    return {
        .code = Errc::kStalled, .outcome = Outcome::kUnknown, .where = "chain"};
  }

  /// Whether the stream is slow and another chain is there for it.
  bool ShouldMove(const AnswerOrder& order,
                  const Chain& chain,
                  Tracking& tracking) const {
    if (!tracking.pace.IsSlow()) {
      return false;
    }
    StageSuspects suspects = tracking.suspects;
    suspects.AddChain(chain);
    const auto current = CurrentPool(order, tracking.progress);
    const v1::Pool& pool = current ? *current : order.pool;
    const EndpointTable::View loads = endpoints_.Snapshot(clock_.Now());
    const bool moves =
        suspects
            .PlanClear(pool,
                       AttemptPlanner<EndpointTable::View>(
                           order, pool, tracking.progress.attempt(), loads))
            .has_value();
    tracking.pace.OnSlowSeen(moves);
    return moves;
  }

  /// Tells the endpoints of a chain how its pace compares with what was
  /// expected of it, over the time between the first and the last token.
  void ReportPace(const Chain& chain, Duration taken, std::size_t tokens) {
    if (tokens < 2) {
      return;
    }
    double expected = 0;
    for (const ChainStage& stage : chain) {
      expected += stage.token_seconds * static_cast<double>(tokens - 1);
    }
    const double seconds = std::chrono::duration<double>(taken).count();
    if (expected <= 0 || seconds <= 0) {
      return;
    }
    for (const ChainStage& stage : chain) {
      endpoints_.ReportLatencyRatio(stage.endpoint, seconds / expected,
                                    clock_.Now());
    }
  }

  void Report(const Chain& chain, AttemptResult verdict) {
    for (const ChainStage& stage : chain) {
      endpoints_.Report(stage.endpoint, verdict, clock_.Now());
    }
  }

  /// Steers later attempts away from the stage that failed: the one that the
  /// failure names, or else the whole chain.
  void Blame(const Chain& chain, const Failure& failure, Tracking& tracking) {
    if (failure.code == Errc::kDeadlineExceeded) {
      return;
    }
    if (failure.code == Errc::kStalled) {
      tracking.pace.OnStall();
      tracking.suspects.AddChain(chain);
      Report(chain, AttemptResult::kSlow);
      return;
    }
    const auto named =
        std::find_if(chain.begin(), chain.end(), [&](const ChainStage& stage) {
          return stage.address == failure.where;
        });
    if (named == chain.end()) {
      tracking.suspects.AddChain(chain);
      return;
    }
    tracking.suspects.AddNamed(*named);
    if (failure.code == Errc::kEndpointLeaving) {
      endpoints_.SetLeaving(named->endpoint, true);
      return;
    }
    if (failure.code != Errc::kLayerRangeChanged) {
      endpoints_.Report(named->endpoint, AttemptResult::kFailure, clock_.Now());
    }
  }

  Engine& engine_;
  EndpointTable& endpoints_;
  const TheClock& clock_;
  AnswerLimits limits_;
  std::uint32_t attempts_ = 0;
  std::uint32_t tokens_ = 0;
};

}  // namespace sycamoreford
