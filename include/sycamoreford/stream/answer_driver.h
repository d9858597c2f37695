#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <functional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/route/chain_planner.h"
#include "sycamoreford/route/endpoint_table.h"
#include "sycamoreford/stream/answer_progress.h"
#include "sycamoreford/stream/engine_client.h"

namespace sycamoreford {

/// Where the tokens of an answer go.
template <class T>
concept AnswerSink = requires(T& sink, const std::string& text) {
  { sink.OnToken(text) } -> std::same_as<boost::asio::awaitable<void>>;
};

/// What is to be answered.
struct AnswerOrder {
  RequestId request;
  std::string model;
  v1::ModelVersion version;
  std::string adapter;
  v1::Pool pool;
  std::string messages;
  std::uint32_t max_tokens = 0;
  std::uint32_t priority = 0;
  TimePoint deadline{};
};

/// Bounds of one answer.
struct AnswerLimits {
  std::uint32_t attempts = 6;
  std::chrono::milliseconds first_token_timeout{5'000};
  std::chrono::milliseconds between_tokens_timeout{1'000};
  std::chrono::milliseconds connect_timeout{1'000};
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
  template <AnswerSink Sink>
  boost::asio::awaitable<Result<std::string>> Run(const AnswerOrder& order,
                                                  Sink& sink) {
    AnswerProgress progress(order.request);
    std::set<EndpointId> avoid;
    bool may_have_run = false;
    Failure last{.code = Errc::kNoEndpoint, .where = "chain"};
    while (progress.attempt().value() < limits_.attempts) {
      if (clock_.Now() >= order.deadline) {
        last.code = Errc::kDeadlineExceeded;
        break;
      }
      auto chain = PlanChain(order.pool, order.version,
                             endpoints_.Snapshot(clock_.Now()), avoid);
      if (!chain && !avoid.empty()) {
        avoid.clear();
        chain = PlanChain(order.pool, order.version,
                          endpoints_.Snapshot(clock_.Now()), avoid);
      }
      if (!chain) {
        last = chain.error();
        break;
      }
      auto ended = co_await RunAttempt(order, *chain, progress, sink);
      if (ended) {
        co_return *ended;
      }
      last = ended.error();
      may_have_run = may_have_run || last.outcome != Outcome::kNotRun;
      Blame(*chain, last, avoid);
    }
    if (may_have_run) {
      last.outcome = Outcome::kUnknown;
    } else {
      last.outcome = Outcome::kNotRun;
      last.retry_after = kRetryAfter;
    }
    co_return last;
  }

  /// Number of attempts that the last run took.
  [[nodiscard]] std::uint32_t attempts() const noexcept { return attempts_; }

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

  template <AnswerSink Sink>
  boost::asio::awaitable<Result<std::string>> RunAttempt(
      const AnswerOrder& order,
      const Chain& chain,
      AnswerProgress& progress,
      Sink& sink) {
    progress.BeginAttempt();
    attempts_ = progress.attempt().value();
    const ChainHold hold(endpoints_, chain);
    auto stream = co_await engine_.Open(ToGenerateOrder(order, chain, progress),
                                        limits_.first_token_timeout);
    if (!stream) {
      co_return stream.error();
    }
    auto timeout = limits_.first_token_timeout;
    for (;;) {
      auto event = co_await stream->Next(timeout);
      if (!event) {
        co_return event.error();
      }
      timeout = limits_.between_tokens_timeout;
      switch (progress.OnEvent(*event)) {
        case ProgressAction::kDeliver:
          co_await sink.OnToken(progress.delivered().back());
          break;
        case ProgressAction::kDrop:
          break;
        case ProgressAction::kFinish:
          for (const ChainStage& stage : chain) {
            endpoints_.Report(stage.endpoint, EndpointVerdict::kGood,
                              clock_.Now());
          }
          co_return progress.finish_reason();
        case ProgressAction::kAbort:
          co_return Failure{.code = Errc::kBadEndpointAnswer,
                            .outcome = Outcome::kUnknown,
                            .where = chain.front().address};
      }
    }
  }

  /// Steers later attempts away from the stage that failed: the one that the
  /// failure names, or else the whole chain.
  void Blame(const Chain& chain,
             const Failure& failure,
             std::set<EndpointId>& avoid) {
    const auto named =
        std::find_if(chain.begin(), chain.end(), [&](const ChainStage& stage) {
          return stage.address == failure.where;
        });
    if (named != chain.end()) {
      avoid.insert(named->endpoint);
      if (failure.code == Errc::kEndpointLeaving) {
        endpoints_.SetLeaving(named->endpoint, true);
        return;
      }
      endpoints_.Report(named->endpoint, EndpointVerdict::kBad, clock_.Now());
      return;
    }
    for (const ChainStage& stage : chain) {
      avoid.insert(stage.endpoint);
    }
  }

  Engine& engine_;
  EndpointTable& endpoints_;
  const TheClock& clock_;
  AnswerLimits limits_;
  std::uint32_t attempts_ = 0;
};

}  // namespace sycamoreford
