#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/this_coro.hpp>

#include "sycamoreford/adapters/abandon_guard.h"
#include "sycamoreford/adapters/background_task.h"
#include "sycamoreford/adapters/chain_attempt_opener.h"
#include "sycamoreford/adapters/peer_forwarding.h"
#include "sycamoreford/adapters/wake_signal.h"

namespace sycamoreford {

/// Moves a request to another chain when its attempt has failed or is silent.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <RelayCodec Codec, Clock TheClock>
class ChainFailover : protected ChainAttemptOpener<Codec, TheClock> {
  using Opener = ChainAttemptOpener<Codec, TheClock>;
  using Processor = PeerForwarding<Codec, TheClock>;

 protected:
  using Opener::AreChainsFull;
  using Opener::clock_;
  using Opener::MayBeSent;
  using Opener::OpenAttempt;
  using Opener::state_;
  using Opener::ToChainRequest;
  using Processor::Elapsed;
  using Processor::ThrowIfCancelled;
  using typename Opener::Attempt;
  using typename Opener::RequestContext;

  /// Precondition: `state` and `clock` outlive this object.
  ChainFailover(RelayState& state, const TheClock& clock)
      : Opener(state, clock) {}

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
        co_await ThrowIfCancelled();
      }
      attempt->ClearInterrupt();
      if (IsGoingOn(*attempt, step)) {
        attempt->ResumeLoad();
        Drop(context, *other);
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
          co_await ThrowIfCancelled();
        }
        other->ClearInterrupt();
      } else if (IsGoingOn(*other, *task.result())) {
        LogSilence(context, *attempt, "replaced");
        RecordFailure(context, AttemptStep::kLost, *attempt);
      } else {
        OnAttemptFailed(context, *other, *task.result());
        continue;
      }
      guard.Keep();
      attempt = other;
      co_return *task.result();
    }
  }

  /// Records the endpoint that an attempt has sent the request to, or what is
  /// known of those that another daemon has.
  static void NoteSent(RequestContext& context, const Attempt& attempt) {
    if (attempt.is_forwarded()) {
      NoteForwardedHead(context, attempt);
    } else {
      context.tried_endpoints.Add(attempt.destination());
    }
  }

  /// Called when an attempt has ended without a usable response.
  void OnAttemptFailed(RequestContext& context,
                       Attempt& attempt,
                       AttemptStep step) {
    RecordFailure(context, step, attempt);
    if (step == AttemptStep::kNotRun) {
      if (attempt.is_forwarded()) {
        OnRefusedByPeer(context, attempt.head());
      }
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
    } else if (step == AttemptStep::kLost) {
      LogResponseLost(context, attempt.destination(), attempt.failure(),
                      attempt.has_begun(), attempt.position().event_count());
    }
    attempt.OnFailed(step);
  }

 private:
  using Processor::kNoChain;
  using Processor::LogNotRun;
  using Processor::LogResponseLost;
  using Processor::NoteForwardedHead;
  using Processor::OnRefusedByPeer;
  using Processor::RecordFailure;

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
      case AttemptStep::kWithheld:
      case AttemptStep::kLost:
      case AttemptStep::kInterrupted:
        return false;
    }
    return false;
  }

  /// Records a successor that is no longer needed.
  static void Drop(RequestContext& context, const Attempt& successor) {
    if (successor.was_sent()) {
      NoteSent(context, successor);
    } else {
      --context.sends;
      context.tried_endpoints.Resolve(successor.place(), {});
    }
  }

  /// Starts to send a request whose attempt is silent to another chain.
  ///
  /// \returns null if no chain can be tried.
  std::shared_ptr<Attempt> OpenSuccessor(
      const boost::asio::any_io_executor& executor,
      const HttpRequest& request,
      RequestContext& context,
      Attempt& attempt) {
    NoteSent(context, attempt);
    // One of the two ends soon; only the successor counts as load until then.
    attempt.SuspendLoad();
    auto successor =
        OpenAttempt(executor, request, context, attempt.position());
    if (!successor) {
      attempt.ResumeLoad();
    }
    return successor;
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
};

}  // namespace sycamoreford
