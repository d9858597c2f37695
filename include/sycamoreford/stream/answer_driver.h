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
#include "sycamoreford/stream/answer_progress.h"
#include "sycamoreford/stream/answer_request.h"
#include "sycamoreford/stream/attempt_planner.h"
#include "sycamoreford/stream/engine_client.h"
#include "sycamoreford/stream/pace_monitor.h"
#include "sycamoreford/stream/stage_suspects.h"

namespace sycamoreford {

/// Receives the tokens of an answer.
template <class T>
concept AnswerSink = requires(T& sink, const std::string& text) {
  { sink.OnToken(text) } -> std::same_as<boost::asio::awaitable<void>>;
};

/// Limits of one answer.
struct AnswerLimits {
  /// Maximum number of consecutive attempts without a token.
  std::uint32_t max_attempts_without_token = 6;
  /// Timeout of the first token for a short prompt, until the pace of the
  /// stream is known.
  std::chrono::milliseconds first_token_timeout{5'000};
  /// Timeout of a later token until the pace of the stream is known.
  std::chrono::milliseconds between_tokens_timeout{1'000};
};

/// Generates one answer: plans a chain, starts an attempt, delivers its tokens,
/// and resumes at the next position on another chain if the attempt fails.
///
/// Thread safety: use from one coroutine only; the `EndpointTable` may be
/// shared.
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

  /// Generates the complete answer into `sink`. Does not wait beyond the
  /// deadline of `request`. Throws what `sink` throws.
  ///
  /// \returns the finish reason, or the failure that ended the last attempt.
  ///     The outcome of the failure is `kNotRun` only if every attempt is known
  ///     not to have run.
  template <AnswerSink Sink>
  boost::asio::awaitable<Result<std::string>> Run(const AnswerRequest& request,
                                                  Sink& sink) {
    AnswerProgress progress(request.request_id, request.max_tokens);
    PaceMonitor pace({.first_token = limits_.first_token_timeout,
                      .between_tokens = limits_.between_tokens_timeout});
    StageSuspects suspects;
    Outcome outcome = Outcome::kNotRun;
    Failure last{.code = Errc::kNoEndpoint, .where = "chain"};
    std::uint32_t attempts_without_token = 0;
    tokens_ = 0;
    while (attempts_without_token < limits_.max_attempts_without_token) {
      if (clock_.Now() >= request.deadline) {
        last.code = Errc::kDeadlineExceeded;
        break;
      }
      auto chain = NextChain(request, progress, suspects);
      if (!chain) {
        last = chain.error();
        break;
      }
      if (progress.attempt().value() > 0 && request.may_retry &&
          !request.may_retry(*chain, !progress.delivered().empty())) {
        break;
      }
      const std::size_t delivered_before = progress.delivered().size();
      RunState state{progress, pace, suspects};
      auto result = co_await RunAttempt(request, *chain, state, sink);
      if (result) {
        co_return *result;
      }
      last = result.error();
      outcome = WorseOutcome(outcome, last.outcome);
      if (co_await IsCancelled()) {
        last.code = Errc::kCallerGone;
        break;
      }
      attempts_without_token = progress.delivered().size() > delivered_before
                                   ? 0
                                   : attempts_without_token + 1;
      RecordFailure(*chain, last, state);
      LogEvent(Severity::kInfo, "attempt_failed")
          .With("request", request.request_id.value())
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

  static GenerateRequest ToGenerateRequest(const AnswerRequest& request,
                                           const Chain& chain,
                                           const AnswerProgress& progress) {
    return {.request_id = request.request_id,
            .attempt = progress.attempt(),
            .model = request.model,
            .version = request.version.version(),
            .adapter = request.adapter,
            .layers = request.version.layers(),
            .chain = chain,
            .messages = request.messages,
            .delivered = progress.delivered(),
            .max_tokens = request.max_tokens,
            .priority = request.priority};
  }

  /// State of one run.
  struct RunState {
    AnswerProgress& progress;
    PaceMonitor& pace;
    StageSuspects& suspects;
  };

  /// A `LoadSource` that returns the loads of `view` with `is_suspected` unset.
  struct LoadsIgnoringSuspicion {
    const EndpointTable::View& view;
    [[nodiscard]] EndpointLoad LoadOf(const EndpointId& id) const {
      EndpointLoad load = view.LoadOf(id);
      load.is_suspected = false;
      return load;
    }
  };

  static Outcome WorseOutcome(Outcome one, Outcome other) noexcept {
    if (one == Outcome::kUnknown || other == Outcome::kUnknown) {
      return Outcome::kUnknown;
    }
    return one == Outcome::kNotRun ? other : one;
  }

  static boost::asio::awaitable<bool> IsCancelled() {
    const auto cancellation =
        co_await boost::asio::this_coro::cancellation_state;
    co_return cancellation.cancelled() != boost::asio::cancellation_type::none;
  }

  /// The current pool for attempts after the first; empty if the pool of the
  /// request is to be used.
  static std::optional<v1::Pool> CurrentPool(const AnswerRequest& request,
                                             const AnswerProgress& progress) {
    if (progress.attempt().value() > 0 && request.current_pool) {
      return request.current_pool();
    }
    return std::nullopt;
  }

  /// Plans the chain of the next attempt. If no other chain is left, a stream
  /// that has delivered tokens uses endpoints that the endpoint table suspects
  /// instead of failing.
  Result<Chain> NextChain(const AnswerRequest& request,
                          const AnswerProgress& progress,
                          const StageSuspects& suspects) const {
    const std::optional<v1::Pool> current = CurrentPool(request, progress);
    const v1::Pool& pool = current ? *current : request.pool;
    const EndpointTable::View loads = endpoints_.Snapshot(clock_.Now());
    auto chain =
        suspects.Plan(pool, AttemptPlanner<EndpointTable::View>(
                                request, pool, progress.attempt(), loads));
    if (!chain && !progress.delivered().empty()) {
      const LoadsIgnoringSuspicion loads_ignoring_suspicion{loads};
      chain = suspects.Plan(pool, AttemptPlanner<LoadsIgnoringSuspicion>(
                                      request, pool, progress.attempt(),
                                      loads_ignoring_suspicion));
    }
    return chain;
  }

  static std::size_t PrefillBytes(const AnswerRequest& request,
                                  const AnswerProgress& progress) {
    std::size_t bytes = request.messages.size();
    for (const std::string& token : progress.delivered()) {
      bytes += token.size();
    }
    return bytes;
  }

  /// Time left until `end` or the deadline, whichever is earlier; 0 if it has
  /// passed.
  std::chrono::milliseconds TimeLeft(const AnswerRequest& request,
                                     TimePoint end) const {
    const Duration left = std::min(end, request.deadline) - clock_.Now();
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::max(left, Duration(0)));
  }

  /// Turns a stall into `kDeadlineExceeded` if the deadline has passed, since
  /// the endpoints are not at fault then.
  Failure AttributeToDeadline(const AnswerRequest& request,
                              Failure failure) const {
    if (failure.code == Errc::kStalled && clock_.Now() >= request.deadline) {
      failure.code = Errc::kDeadlineExceeded;
    }
    return failure;
  }

  template <AnswerSink Sink>
  boost::asio::awaitable<Result<std::string>> RunAttempt(
      const AnswerRequest& request,
      const Chain& chain,
      RunState& state,
      Sink& sink) {
    AnswerProgress& progress = state.progress;
    progress.BeginAttempt();
    attempts_ = progress.attempt().value();
    const ChainInFlightGuard in_flight(endpoints_, chain);
    const std::size_t prefill = PrefillBytes(request, progress);
    const TimePoint started_at = clock_.Now();
    TimePoint last_token_at = started_at;
    TimePoint wait_until = started_at + state.pace.FirstTokenTimeout(prefill);
    const GenerateRequest generate =
        ToGenerateRequest(request, chain, progress);
    auto stream =
        co_await engine_.Open(generate, TimeLeft(request, wait_until));
    if (!stream) {
      co_return AttributeToDeadline(request, stream.error());
    }
    const std::size_t delivered_before = progress.delivered().size();
    TimePoint first_token_at{};
    Duration sink_time{0};
    for (;;) {
      const auto wait = TimeLeft(request, wait_until);
      if (wait.count() == 0) {
        co_return AttributeToDeadline(request, StallFailure());
      }
      auto event = co_await stream->Next(wait);
      if (!event) {
        co_return AttributeToDeadline(request, event.error());
      }
      switch (progress.OnEvent(*event)) {
        case ProgressAction::kDeliver: {
          const TimePoint now = clock_.Now();
          if (last_token_at == started_at) {
            state.pace.OnFirstToken(now - started_at, prefill);
          } else if (sink_time * 2 < now - last_token_at) {
            // Gaps of which the sink took half or more are skipped: they do not
            // show the pace of the chain.
            state.pace.OnToken(now - last_token_at);
          }
          last_token_at = now;
          if (progress.delivered().size() == delivered_before + 1) {
            first_token_at = now;
          }
          ++tokens_;
          co_await sink.OnToken(progress.delivered().back());
          sink_time = clock_.Now() - now;
          if (ShouldMove(request, chain, state)) {
            co_return StallFailure();
          }
          wait_until = clock_.Now() + state.pace.NextTokenTimeout();
          break;
        }
        case ProgressAction::kDrop:
          break;
        case ProgressAction::kFinish:
          Report(chain, AttemptResult::kSuccess);
          ReportLatencyRatio(chain, last_token_at - first_token_at,
                             progress.delivered().size() - delivered_before);
          co_return progress.finish_reason();
        case ProgressAction::kAbort:
          co_return Failure{.code = Errc::kBadEndpointAnswer,
                            .outcome = Outcome::kUnknown,
                            .where = chain.front().address};
      }
    }
  }

  static Failure StallFailure() {
    return {
        .code = Errc::kStalled, .outcome = Outcome::kUnknown, .where = "chain"};
  }

  /// Whether the stream is slow and can move to another chain.
  bool ShouldMove(const AnswerRequest& request,
                  const Chain& chain,
                  RunState& state) const {
    if (!state.pace.IsSlow()) {
      return false;
    }
    StageSuspects suspects = state.suspects;
    suspects.AddSuspectChain(chain);
    const auto current = CurrentPool(request, state.progress);
    const v1::Pool& pool = current ? *current : request.pool;
    const EndpointTable::View loads = endpoints_.Snapshot(clock_.Now());
    const bool can_move =
        suspects
            .PlanAvoidingSuspects(
                pool, AttemptPlanner<EndpointTable::View>(
                          request, pool, state.progress.attempt(), loads))
            .has_value();
    state.pace.OnSlownessChecked(can_move);
    return can_move;
  }

  /// Reports to the endpoint table, for each stage of a chain, the time from
  /// the first to the last token as a multiple of the expected time.
  void ReportLatencyRatio(const Chain& chain,
                          Duration elapsed,
                          std::size_t tokens) {
    if (tokens < 2) {
      return;
    }
    double expected = 0;
    for (const ChainStage& stage : chain) {
      expected += stage.token_seconds * static_cast<double>(tokens - 1);
    }
    const double seconds = std::chrono::duration<double>(elapsed).count();
    if (expected <= 0 || seconds <= 0) {
      return;
    }
    for (const ChainStage& stage : chain) {
      endpoints_.ReportLatencyRatio(stage.endpoint, seconds / expected,
                                    clock_.Now());
    }
  }

  void Report(const Chain& chain, AttemptResult result) {
    for (const ChainStage& stage : chain) {
      endpoints_.Report(stage.endpoint, result, clock_.Now());
    }
  }

  /// Makes later attempts avoid the stage that the failure names, or all stages
  /// of the chain if it names none, and reports failed or slow endpoints.
  void RecordFailure(const Chain& chain,
                     const Failure& failure,
                     RunState& state) {
    if (failure.code == Errc::kDeadlineExceeded) {
      return;
    }
    if (failure.code == Errc::kStalled) {
      state.pace.OnStall();
      state.suspects.AddSuspectChain(chain);
      Report(chain, AttemptResult::kSlow);
      return;
    }
    const auto failed_stage =
        std::find_if(chain.begin(), chain.end(), [&](const ChainStage& stage) {
          return stage.address == failure.where;
        });
    if (failed_stage == chain.end()) {
      state.suspects.AddSuspectChain(chain);
      return;
    }
    state.suspects.AddFailedStage(*failed_stage);
    if (failure.code == Errc::kEndpointLeaving) {
      endpoints_.SetLeaving(failed_stage->endpoint, true);
      return;
    }
    if (failure.code != Errc::kLayerRangeChanged) {
      endpoints_.Report(failed_stage->endpoint, AttemptResult::kFailure,
                        clock_.Now());
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
