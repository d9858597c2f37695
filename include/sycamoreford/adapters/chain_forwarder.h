#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/this_coro.hpp>

#include "sycamoreford/adapters/abandon_guard.h"
#include "sycamoreford/adapters/background_task.h"
#include "sycamoreford/adapters/chain_attempt_opener.h"
#include "sycamoreford/adapters/request_processor.h"
#include "sycamoreford/adapters/stream_progress.h"
#include "sycamoreford/adapters/wake_signal.h"

namespace sycamoreford {

/// Forwards requests to model services, whose engines run on chains of
/// endpoints.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <RelayCodec Codec, Clock TheClock>
class ChainForwarder : private ChainAttemptOpener<Codec, TheClock> {
  using Opener = ChainAttemptOpener<Codec, TheClock>;
  using Processor = RequestProcessor<Codec, TheClock>;
  using typename Opener::RequestContext;

 public:
  /// Precondition: `state` and `clock` outlive this object.
  ChainForwarder(RelayState& state, const TheClock& clock)
      : Opener(state, clock) {}

  /// Sends a request along chains until its response is complete.
  boost::asio::awaitable<void> Serve(HttpExchange& exchange,
                                     RequestContext& context) {
    const auto executor = co_await boost::asio::this_coro::executor;
    StreamProgress progress;
    auto attempt =
        OpenAttempt(executor, exchange.request(), context, progress.position);
    while (attempt) {
      AttemptStep step = co_await attempt->Next();
      co_await ThrowIfCallerGone();
      if (step == AttemptStep::kInterrupted) {
        step = co_await TryOthers(exchange, context, attempt);
      }
      switch (step) {
        case AttemptStep::kInterrupted:
          continue;
        case AttemptStep::kStreamBegun:
          co_await BeginStream(exchange, context, *attempt, progress);
          continue;
        case AttemptStep::kEvents:
          co_await DeliverEvents(exchange, context, *attempt, progress);
          continue;
        case AttemptStep::kStreamEnded:
          co_await FinishStream(exchange, context, *attempt, progress);
          co_return;
        case AttemptStep::kResponse: {
          const bool is_delivered =
              co_await ForwardResponse(exchange, context, *attempt, progress);
          if (is_delivered) {
            co_return;
          }
          break;
        }
        case AttemptStep::kNotRun:
        case AttemptStep::kNotSent:
        case AttemptStep::kLost:
          break;
      }
      OnAttemptFailed(context, *attempt, step);
      progress.position = attempt->position();
      // The failed attempt must not count as load when the next chain is
      // selected.
      attempt.reset();
      attempt =
          OpenAttempt(executor, exchange.request(), context, progress.position);
    }
    if (!progress.has_begun) {
      co_await Refuse(exchange, context, FinalRefusal(context));
      co_return;
    }
    // Returning without the final chunk truncates the response, which the
    // caller can detect.
    RecordOutcome(context, "broken");
    LogEvent(Severity::kWarning, "stream_broken")
        .With("request", context.request.id)
        .With("events", progress.position.event_count())
        .With("sends", context.sends)
        .With("not_resent", context.last_denial)
        .With("after_ms", Elapsed(context));
  }

 private:
  using Opener::clock_;
  using Opener::OpenAttempt;
  using Opener::state_;
  using Processor::Elapsed;
  using Processor::FinalRefusal;
  using Processor::kNoChain;
  using Processor::LogNotRun;
  using Processor::LogResponseLost;
  using Processor::MarkLeaving;
  using Processor::RecordFailedForward;
  using Processor::RecordFailedSend;
  using Processor::RecordOutcome;
  using Processor::Refuse;
  using Processor::ThrowIfCallerGone;
  using typename Opener::Attempt;

  /// Tries other chains for a request whose attempt is suspected to be silent.
  /// A silent endpoint may go on, so the attempt stays open until a successor
  /// goes on in its place; whichever goes on first is kept.
  ///
  /// \param attempt replaced by the attempt to go on with.
  /// \returns the next step of `attempt`; `kInterrupted` if it is not silent or
  ///     if no other chain can be tried at present.
  boost::asio::awaitable<AttemptStep> TryOthers(
      HttpExchange& exchange,
      RequestContext& context,
      std::shared_ptr<Attempt>& attempt) {
    const auto executor = co_await boost::asio::this_coro::executor;
    for (;;) {
      if (!MayTryOthers(context, *attempt)) {
        co_return AttemptStep::kInterrupted;
      }
      const auto other =
          OpenSuccessor(executor, exchange.request(), context, *attempt);
      if (!other) {
        if (context.last_denial == kNoChain) {
          state_.OnChainAwaited(context.service->name, clock_.Now());
        }
        LogSilence(context, *attempt, context.last_denial);
        co_return AttemptStep::kInterrupted;
      }
      AbandonGuard<Attempt> guard(*other);
      WakeSignal ended(executor);
      const auto is_wanted = std::make_shared<bool>(false);
      const BackgroundTask<AttemptStep> task(
          executor, FirstProgress(other, is_wanted), AttemptStep::kLost,
          [&ended, &current = *attempt] {
            ended.Notify();
            current.Interrupt();
          });
      AttemptStep step = AttemptStep::kInterrupted;
      while (step == AttemptStep::kInterrupted && !task.result()) {
        step = co_await attempt->Next();
        co_await ThrowIfCallerGone();
      }
      attempt->ClearInterrupt();
      if (IsGoingOn(*attempt, step)) {
        attempt->ResumeLoad();
        if (other->was_sent()) {
          context.tried_endpoints.insert(other->destination());
        } else {
          --context.sends;
        }
        LogSilence(context, *attempt, "went_on");
        co_return step;
      }
      if (step != AttemptStep::kInterrupted) {
        OnAttemptFailed(context, *attempt, step);
        // The caller of this function can leave the other one if it is silent.
        *is_wanted = true;
        other->Interrupt();
        while (!task.result()) {
          co_await ended.Wait(context.TimeLeft(clock_.Now()) +
                              relay::kMinTimeLeft);
          co_await ThrowIfCallerGone();
        }
        other->ClearInterrupt();
      } else if (IsGoingOn(*other, *task.result())) {
        LogSilence(context, *attempt, "replaced");
        RecordFailedSend(context, AttemptStep::kLost, attempt->destination());
      } else {
        OnAttemptFailed(context, *other, *task.result());
        continue;
      }
      guard.Keep();
      attempt = other;
      co_return *task.result();
    }
  }

  /// Whether an attempt is silent and its request may be sent elsewhere.
  bool MayTryOthers(RequestContext& context, const Attempt& attempt) const {
    if (attempt.HasReceivedSince(clock_.Now() - relay::kMinSilence)) {
      return false;
    }
    if (!context.MayRunAgain()) {
      LogSilence(context, attempt, "runs_at_most_once");
    }
    return context.MayRunAgain();
  }

  /// The first step of an attempt that decides whether it goes on;
  /// `kInterrupted` if it is interrupted when `is_wanted` is set.
  static boost::asio::awaitable<AttemptStep> FirstProgress(
      std::shared_ptr<Attempt> attempt,
      std::shared_ptr<bool> is_wanted) {
    AttemptStep step = AttemptStep::kInterrupted;
    while ((step == AttemptStep::kInterrupted && !*is_wanted) ||
           step == AttemptStep::kStreamBegun) {
      step = co_await attempt->Next();
    }
    co_return step;
  }

  /// Whether a step brings the caller's response forward.
  [[nodiscard]] static bool IsGoingOn(const Attempt& attempt,
                                      AttemptStep step) {
    switch (step) {
      case AttemptStep::kStreamBegun:
      case AttemptStep::kEvents:
      case AttemptStep::kStreamEnded:
        return true;
      case AttemptStep::kResponse:
        return attempt.head().IsTrusted() && !attempt.head().IsServerError();
      case AttemptStep::kNotRun:
      case AttemptStep::kNotSent:
      case AttemptStep::kLost:
      case AttemptStep::kInterrupted:
        return false;
    }
    return false;
  }

  /// Starts to send a request whose attempt is silent to another chain.
  ///
  /// \returns null if no chain can be tried.
  std::shared_ptr<Attempt> OpenSuccessor(
      const boost::asio::any_io_executor& executor,
      const HttpRequest& request,
      RequestContext& context,
      Attempt& attempt) {
    context.tried_endpoints.insert(attempt.destination());
    // One of the two ends soon; only the successor counts as load until then.
    attempt.SuspendLoad();
    auto successor =
        OpenAttempt(executor, request, context, attempt.position());
    if (!successor) {
      attempt.ResumeLoad();
    }
    return successor;
  }

  /// Forwards the events of the last step.
  boost::asio::awaitable<void> DeliverEvents(HttpExchange& exchange,
                                             const RequestContext& context,
                                             Attempt& attempt,
                                             StreamProgress& progress) {
    const TimePoint now = clock_.Now();
    if (progress.last_event != TimePoint{}) {
      attempt.OnPause(now - progress.last_event);
    } else {
      state_.metrics().OnFirstEvent(context.service->name,
                                    now - context.arrived_at);
    }
    progress.OnDelivered(now);
    co_await BeginStream(exchange, context, attempt, progress);
    co_await exchange.SendChunk(attempt.events());
  }

  /// Sends the head of the response unless one was sent before.
  boost::asio::awaitable<void> BeginStream(HttpExchange& exchange,
                                           const RequestContext& context,
                                           Attempt& attempt,
                                           StreamProgress& progress) {
    if (!progress.has_begun) {
      progress.has_begun = true;
      HttpResponse response = Codec::EncodeResponse(attempt.call().status(),
                                                    attempt.call().fields());
      MarkLeaving(context, attempt.head(), response);
      co_await exchange.BeginStream(std::move(response));
    }
  }

  boost::asio::awaitable<void> FinishStream(HttpExchange& exchange,
                                            const RequestContext& context,
                                            Attempt& attempt,
                                            StreamProgress& progress) {
    state_.directory().OnSuccess(attempt.destination());
    co_await BeginStream(exchange, context, attempt, progress);
    co_await exchange.EndStream();
    RecordOutcome(context, "answered");
    state_.metrics().OnLongestPause(context.service->name,
                                    progress.longest_pause);
    progress.position = attempt.position();
    LogAnswered(context, attempt.destination(), progress);
  }

  /// Forwards a response that is not a stream of events.
  ///
  /// \returns whether the caller has received it.
  boost::asio::awaitable<bool> ForwardResponse(HttpExchange& exchange,
                                               const RequestContext& context,
                                               Attempt& attempt,
                                               const StreamProgress& progress) {
    const bool is_failure = attempt.head().IsServerError();
    auto body = co_await attempt.call().ReadAll(relay::kMaxResponseBytes,
                                                context.TimeLeft(clock_.Now()));
    co_await ThrowIfCallerGone();
    if (!body.has_value() || !attempt.head().IsTrusted() ||
        progress.has_begun ||
        (is_failure && context.MayRunAgain() && context.sends <= 1)) {
      co_return false;
    }
    HttpResponse response =
        Codec::EncodeResponse(attempt.call().status(), attempt.call().fields());
    MarkLeaving(context, attempt.head(), response);
    response.body = std::move(*body);
    RecordOutcome(context, is_failure ? "endpoint_failed" : "answered");
    co_await exchange.Respond(std::move(response));
    co_return true;
  }

  void RecordFailure(RequestContext& context,
                     AttemptStep step,
                     const Attempt& attempt) {
    if (attempt.is_forwarded()) {
      RecordFailedForward(context, step, attempt.destination());
    } else {
      RecordFailedSend(context, step, attempt.destination());
    }
  }

  /// Called when an attempt has ended without a usable response.
  void OnAttemptFailed(RequestContext& context,
                       Attempt& attempt,
                       AttemptStep step) {
    RecordFailure(context, step, attempt);
    if (step == AttemptStep::kNotRun) {
      const KnownEndpoint* faulty_stage =
          state_.directory().FindByAddress(attempt.head().faulty_stage_address);
      LogNotRun(context,
                faulty_stage == nullptr ? attempt.destination()
                                        : faulty_stage->record.id,
                attempt.head());
    } else if (step == AttemptStep::kResponse) {
      LogResponseLost(
          context, attempt.destination(),
          {.code = Errc::kEndpointFailed,
           .where = "status " + std::to_string(attempt.head().status)},
          attempt.has_begun(), attempt.position().event_count());
    } else if (step != AttemptStep::kNotSent) {
      LogResponseLost(context, attempt.destination(), attempt.failure(),
                      attempt.has_begun(), attempt.position().event_count());
    }
    attempt.OnFailed(step);
  }

  /// Logs what became of a request whose chain is suspected to be silent. A
  /// repeated reason not to try another chain is not logged again.
  void LogSilence(RequestContext& context,
                  const Attempt& attempt,
                  std::string_view outcome) const {
    if (context.silence_outcome == outcome) {
      return;
    }
    context.silence_outcome = outcome;
    LogEvent(Severity::kInfo, "attempt_silent")
        .With("request", context.request.id)
        .With("endpoint", attempt.destination())
        .With("outcome", outcome)
        .With("events", attempt.position().event_count())
        .With("sends", context.sends)
        .With("after_ms", Elapsed(context));
  }

  /// Logs a completed stream. Only a sample of those that were sent once is
  /// logged, but all that were sent several times.
  void LogAnswered(const RequestContext& context,
                   const std::string& endpoint,
                   const StreamProgress& progress) {
    constexpr std::uint64_t kSampleInterval = 16;
    if (context.sends <= 1 && ++answered_streams_ % kSampleInterval != 0) {
      return;
    }
    LogEvent(Severity::kInfo, "answered")
        .With("request", context.request.id)
        .With("endpoint", endpoint)
        .With("events", progress.position.event_count())
        .With("shared_parts", ToString(context.request.shared_parts))
        .With("sends", context.sends)
        .With("revision", context.manifest->revision())
        .With("first_event_ms", progress.first_event - context.arrived_at)
        .With("longest_pause_ms", progress.longest_pause)
        .With("after_ms", Elapsed(context));
  }

  std::uint64_t answered_streams_ = 0;
};

}  // namespace sycamoreford
