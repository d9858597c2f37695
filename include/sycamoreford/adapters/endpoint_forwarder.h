#pragma once

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/this_coro.hpp>

#include "sycamoreford/adapters/background_task.h"
#include "sycamoreford/adapters/crash_watch.h"
#include "sycamoreford/adapters/endpoint_attempt.h"
#include "sycamoreford/adapters/endpoint_selection.h"
#include "sycamoreford/adapters/peer_forwarding.h"
#include "sycamoreford/adapters/pending_attempts.h"

namespace sycamoreford {

/// Forwards requests to endpoints of plain services, which have no engine.
/// Their streams are forwarded by `ChainForwarder`.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <RelayCodec Codec, Clock TheClock>
class EndpointForwarder : private EndpointSelection<Codec, TheClock> {
  using Selection = EndpointSelection<Codec, TheClock>;
  using Processor = PeerForwarding<Codec, TheClock>;
  using typename Processor::RequestContext;

 public:
  /// Precondition: `state` and `clock` outlive this object.
  EndpointForwarder(RelayState& state, const TheClock& clock)
      : Selection(state, clock) {}

  /// A request that may run again is sent to a further endpoint when the first
  /// one does not respond in time, but that one may still respond first.
  boost::asio::awaitable<void> Serve(HttpExchange& exchange,
                                     RequestContext& context) {
    const auto executor = co_await boost::asio::this_coro::executor;
    PendingAttempts pending(executor);
    std::optional<HttpResponse> error_response;
    for (;;) {
      if (AreAllOverdue(pending)) {
        OpenAttempt(executor, exchange.request(), context, pending);
      }
      if (pending.attempts.empty()) {
        break;
      }
      co_await pending.ended.Wait(TimeUntilOverdue(context, pending));
      co_await ThrowIfCancelled();
      auto response = TakeResponse(context, pending, error_response);
      if (response) {
        co_await Respond(exchange, context, std::move(*response));
        co_return;
      }
      ReportOverdue(context, pending);
    }
    if (error_response) {
      RecordOutcome(context, "endpoint_failed");
      co_await Respond(exchange, context, std::move(*error_response));
      co_return;
    }
    co_await Refuse(exchange, context, FinalRefusal(context));
  }

 private:
  using ToEndpoint = EndpointAttempt<Codec, TheClock>;
  using PendingAttempts = sycamoreford::PendingAttempts<ToEndpoint>;
  using PendingAttempt = typename PendingAttempts::Entry;
  using Processor::AcquirePeer;
  using Processor::clock_;
  using Processor::EncodeForPeer;
  using Processor::FinalRefusal;
  using Processor::LogNotRun;
  using Processor::LogResponseLost;
  using Processor::MarkLeaving;
  using Processor::MayBeSent;
  using Processor::MayForward;
  using Processor::MaySendTo;
  using Processor::OnRefusedByPeer;
  using Processor::OnSentFor;
  using Processor::RecordFailure;
  using Processor::RecordOutcome;
  using Processor::Refuse;
  using Processor::Respond;
  using Processor::state_;
  using Processor::ThrowIfCancelled;
  using Selection::AcquireEndpoint;
  using Selection::EncodeForEndpoint;

  /// Whether the request may be sent to a further endpoint while others run it.
  [[nodiscard]] static bool MayTryFurtherEndpoint(
      const RequestContext& context) {
    return context.MayRunAgain() && context.tried_endpoints.AllowsFurther();
  }

  /// Whether no attempt is expected to respond in time.
  [[nodiscard]] static bool AreAllOverdue(const PendingAttempts& pending) {
    return std::all_of(
        pending.attempts.begin(), pending.attempts.end(),
        [](const PendingAttempt& it) { return it.attempt->is_overdue(); });
  }

  /// Whether an attempt that is late is reported. A request that was forwarded
  /// is sent to a further endpoint by the daemon that has forwarded it.
  [[nodiscard]] static bool ReportsOverdue(const RequestContext& context) {
    return MayTryFurtherEndpoint(context) ||
           (context.is_from_peer && context.MayRunAgain());
  }

  /// Time until the newest attempt is overdue; the time left if that is not
  /// reported, or if the attempt is overdue already.
  [[nodiscard]] std::chrono::milliseconds TimeUntilOverdue(
      const RequestContext& context,
      const PendingAttempts& pending) const {
    const TimePoint now = clock_.Now();
    const ToEndpoint& newest = *pending.attempts.back().attempt;
    if (!ReportsOverdue(context) || newest.is_overdue()) {
      return std::max(context.TimeLeft(now), relay::kMinTimeLeft);
    }
    return std::max(
        std::chrono::ceil<std::chrono::milliseconds>(
            newest.started_at() + context.route->target_latency - now),
        std::chrono::milliseconds(0));
  }

  /// Reports endpoints that have not responded within the target latency.
  void ReportOverdue(const RequestContext& context,
                     const PendingAttempts& pending) const {
    const TimePoint now = clock_.Now();
    for (const PendingAttempt& it : pending.attempts) {
      if (ReportsOverdue(context) &&
          now - it.attempt->started_at() >= context.route->target_latency) {
        it.attempt->OnOverdue();
      }
    }
  }

  /// Sends the request to a further endpoint if that is possible, or through
  /// another daemon if this one has no endpoint.
  void OpenAttempt(const boost::asio::any_io_executor& executor,
                   const HttpRequest& request,
                   RequestContext& context,
                   PendingAttempts& pending) {
    if (!MayBeSent(context) || !context.tried_endpoints.AllowsFurther()) {
      return;
    }
    const bool is_isolated = state_.is_isolated();
    auto options =
        is_isolated ? std::nullopt : ChooseEndpoint(request, context);
    if (!options && (is_isolated || LacksEndpoints(context))) {
      options = ChoosePeer(request, context);
    }
    if (!options && is_isolated) {
      options = ChooseEndpoint(request, context);
    }
    if (!options) {
      return;
    }
    options->request_id = context.request.id;
    options->deadline = context.deadline;
    options->connect_timeout = relay::kConnectTimeout;
    options->max_response_bytes = relay::kMaxResponseBytes;
    options->on_head = [this, sender = options->endpoint, run = options->run,
                        id = options->request_id](const ResponseHead& head) {
      OnHead(sender, run, id, head);
    };
    if (!options->is_forwarded) {
      context.tried_endpoints.Add(options->endpoint);
    }
    auto attempt = std::make_shared<ToEndpoint>(
        state_.service_selector(), clock_, executor, std::move(*options));
    auto task = std::make_unique<BackgroundTask<AttemptStep>>(
        executor, RunAttempt(attempt), AttemptStep::kLost,
        [&pending] { pending.ended.Notify(); });
    pending.attempts.push_back({std::move(attempt), std::move(task)});
  }

  /// Called when the head of a response has arrived.
  ///
  /// \param sender id of the endpoint, or address of the other daemon.
  /// \param run empty if it came through another daemon.
  void OnHead(const std::string& sender,
              const std::optional<EndpointRunId>& run,
              const std::string& request_id,
              const ResponseHead& head) const {
    state_.leaving().OnHead(
        head, sender, request_id,
        run ? LeavingSource::kResponse : LeavingSource::kForwardedResponse);
    if (run && head.retry_after) {
      state_.OnRetryAfter(*run, *head.retry_after, BackoffSource::kRequest,
                          clock_.Now());
    }
  }

  /// Whether this daemon has no endpoint that it can connect to.
  [[nodiscard]] bool LacksEndpoints(const RequestContext& context) const {
    return context.connect_failures >= relay::kMaxConnectFailures ||
           !state_.HasEndpointsFor(*context.service, clock_.Now());
  }

  /// Chooses a further endpoint and counts the send.
  std::optional<EndpointAttemptOptions> ChooseEndpoint(
      const HttpRequest& request,
      RequestContext& context) {
    const auto record = AcquireEndpoint(context);
    if (!record) {
      return std::nullopt;
    }
    return EndpointAttemptOptions{
        .endpoint = record->id,
        .run = RunOf(*record),
        .address = record->address,
        .request = EncodeForEndpoint(request, context, record->id),
        .may_send = MaySendTo(context, record->id),
        .on_sent = OnSentFor(context)};
  }

  /// Chooses another daemon and counts the send.
  std::optional<EndpointAttemptOptions> ChoosePeer(const HttpRequest& request,
                                                   RequestContext& context) {
    auto peer = AcquirePeer(context);
    if (!peer) {
      return std::nullopt;
    }
    const auto place = context.tried_endpoints.Reserve();
    return EndpointAttemptOptions{
        .endpoint = *peer,
        .is_forwarded = true,
        .place = place,
        .address = *peer,
        .request = EncodeForPeer(request, context, place, ""),
        .may_send = MayForward(context)};
  }

  static boost::asio::awaitable<AttemptStep> RunAttempt(
      std::shared_ptr<ToEndpoint> attempt) {
    co_return co_await attempt->Run();
  }

  /// The whole response of an attempt, for the caller or another daemon.
  static HttpResponse ResponseOf(const RequestContext& context,
                                 ToEndpoint& attempt) {
    HttpResponse response = attempt.TakeResponse();
    MarkLeaving(context, attempt.head(), response);
    return response;
  }

  /// Removes the attempts that have ended.
  ///
  /// \param error_response set to a response that is returned only if no other
  ///     endpoint responds.
  /// \returns a response for the caller, if there is one.
  std::optional<HttpResponse> TakeResponse(
      RequestContext& context,
      PendingAttempts& pending,
      std::optional<HttpResponse>& error_response) {
    auto& attempts = pending.attempts;
    for (auto it = attempts.begin(); it != attempts.end();) {
      const std::optional<AttemptStep> step = it->task->result();
      if (!step) {
        ++it;
        continue;
      }
      const auto attempt = std::move(it->attempt);
      it = attempts.erase(it);
      ReportContact(*attempt);
      if (*step != AttemptStep::kResponse) {
        OnAttemptFailed(context, *attempt, *step);
        continue;
      }
      state_.directory().OnSuccess(attempt->destination());
      if (!attempt->head().IsServerError()) {
        CrashWatchFor(context, *attempt).OnComplete(clock_.Now());
      }
      if (!attempt->head().IsServerError() || !context.MayRunAgain()) {
        RecordOutcome(context, attempt->head().IsServerError()
                                   ? "endpoint_failed"
                                   : "answered");
        return ResponseOf(context, *attempt);
      }
      error_response = ResponseOf(context, *attempt);
      RecordFailure(context, AttemptStep::kLost, *attempt);
    }
    return std::nullopt;
  }

  /// Reports that an endpoint was reached, and the limit that it stated with
  /// its response, if any.
  void ReportContact(const ToEndpoint& attempt) const {
    if (attempt.is_forwarded()) {
      return;
    }
    if (attempt.was_sent()) {
      state_.OnConnected(attempt.started_at());
    }
    if (attempt.has_begun() &&
        (attempt.head().IsTrusted() || attempt.head().is_not_run)) {
      state_.OnStatedLimit(attempt.destination(), attempt.head().request_limit,
                           attempt.started_at(), clock_.Now());
    }
  }

  /// Of an attempt through another daemon, only a sound response is reported.
  [[nodiscard]] CrashWatch CrashWatchFor(const RequestContext& context,
                                         const ToEndpoint& attempt) {
    return {
        state_.quarantine(), context.traits, attempt.destination(),
        attempt.run() ? QuarantineGuard::RunOf(*attempt.run()) : EndpointRun()};
  }

  /// Called when a request was sent through another daemon in vain.
  void OnForwardFailed(RequestContext& context,
                       const ToEndpoint& attempt,
                       AttemptStep step) {
    if (step == AttemptStep::kNotRun) {
      OnRefusedByPeer(context, attempt.head());
      LogNotRun(context, attempt.destination(), attempt.head());
    } else if (step != AttemptStep::kNotSent &&
               step != AttemptStep::kWithheld) {
      LogResponseLost(context, attempt.destination(), attempt.failure(),
                      attempt.has_begun());
    }
  }

  void OnAttemptFailed(RequestContext& context,
                       const ToEndpoint& attempt,
                       AttemptStep step) {
    RecordFailure(context, step, attempt);
    if (attempt.is_forwarded()) {
      OnForwardFailed(context, attempt, step);
      return;
    }
    if (step == AttemptStep::kWithheld) {
      context.tried_endpoints.Remove(attempt.destination());
    } else if (step == AttemptStep::kNotSent) {
      context.tried_endpoints.Remove(attempt.destination());
      state_.OnUnreachable(attempt.destination(), clock_.Now());
      state_.OnEndpointSuspected(attempt.destination(), "no_connection",
                                 clock_.Now());
    } else if (step == AttemptStep::kNotRun) {
      LogNotRun(context, attempt.destination(), attempt.head());
    } else {
      LogResponseLost(context, attempt.destination(), attempt.failure(),
                      attempt.has_begun());
      // An endpoint that is leaving ends anyway.
      if (attempt.failure().code == Errc::kConnectionLost &&
          !state_.directory().leaving().Contains(*attempt.run())) {
        CrashWatchFor(context, attempt).OnConnectionLost(clock_.Now());
      }
    }
  }
};

}  // namespace sycamoreford
