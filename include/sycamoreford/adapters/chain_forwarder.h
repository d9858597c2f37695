#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/this_coro.hpp>

#include "sycamoreford/adapters/chain_failover.h"
#include "sycamoreford/adapters/chain_queue.h"
#include "sycamoreford/adapters/peer_forwarding.h"
#include "sycamoreford/adapters/stream_progress.h"

namespace sycamoreford {

/// Forwards requests to model services, whose engines run on chains of
/// endpoints, and streams of plain services.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <RelayCodec Codec, Clock TheClock>
class ChainForwarder : private ChainFailover<Codec, TheClock> {
  using Failover = ChainFailover<Codec, TheClock>;
  using Processor = PeerForwarding<Codec, TheClock>;
  using typename Failover::RequestContext;

 public:
  /// Precondition: `state` and `clock` outlive this object.
  ChainForwarder(RelayState& state, const TheClock& clock)
      : Failover(state, clock), queue_(state, clock) {}

  /// Sends a request along chains until its response is complete.
  boost::asio::awaitable<void> Serve(HttpExchange& exchange,
                                     RequestContext& context) {
    const auto executor = co_await boost::asio::this_coro::executor;
    StreamProgress progress;
    std::optional<Ticket> ticket;
    auto attempt = co_await Open(executor, exchange, context, progress, ticket);
    while (attempt) {
      AttemptStep step = co_await attempt->Next();
      co_await ThrowIfCancelled();
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
          if (ticket && progress.last_event == TimePoint{}) {
            ticket->OnFirstEvent(clock_.Now());
          }
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
        case AttemptStep::kWithheld:
        case AttemptStep::kLost:
          break;
      }
      OnAttemptFailed(context, *attempt, step);
      progress.position = attempt->position();
      // The failed attempt must not count as load when the next chain is
      // selected.
      attempt.reset();
      attempt = co_await Open(executor, exchange, context, progress, ticket);
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
  using Ticket = typename ChainQueue<TheClock>::Ticket;
  using Failover::AreChainsFull;
  using Failover::clock_;
  using Failover::Elapsed;
  using Failover::MayBeSent;
  using Failover::NoteSent;
  using Failover::OnAttemptFailed;
  using Failover::OpenAttempt;
  using Failover::state_;
  using Failover::ThrowIfCancelled;
  using Failover::ToChainRequest;
  using Failover::TryOthers;
  using Processor::FinalRefusal;
  using Processor::kNoRoom;
  using Processor::MarkLeaving;
  using Processor::MarkTried;
  using Processor::RecordOutcome;
  using Processor::Refuse;
  using Processor::Respond;
  using typename Failover::Attempt;

  /// Starts to send a request. Where requests of several ranks compete, it
  /// waits for room first.
  ///
  /// \param ticket receives its place among these requests.
  /// \returns null if the request may not be sent or nothing can take it.
  boost::asio::awaitable<std::shared_ptr<Attempt>> Open(
      const boost::asio::any_io_executor& executor,
      HttpExchange& exchange,
      RequestContext& context,
      const StreamProgress& progress,
      std::optional<Ticket>& ticket) {
    ticket.reset();
    if (context.rank && !state_.is_isolated() && MayBeSent(context)) {
      const ChainRequest needs = ToChainRequest(context, progress);
      const typename ChainQueue<TheClock>::HasRoom has_room =
          [this, &context](double reserved_share) {
            return !AreChainsFull(context, reserved_share);
          };
      auto entered =
          co_await queue_.Enter(context.service->name, needs, has_room);
      co_await ThrowIfCancelled();
      if (!entered) {
        context.last_denial = kNoRoom;
        context.allowed_after =
            queue_.RetryAfter(context.service->name, *context.rank);
        co_return nullptr;
      }
      ticket.emplace(std::move(*entered));
    }
    co_return OpenAttempt(executor, exchange.request(), context,
                          progress.position,
                          ticket ? ticket->reserved_share() : 0);
  }

  /// Forwards the events of the last step.
  boost::asio::awaitable<void> DeliverEvents(HttpExchange& exchange,
                                             RequestContext& context,
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
                                           RequestContext& context,
                                           Attempt& attempt,
                                           StreamProgress& progress) {
    if (!progress.has_begun) {
      progress.has_begun = true;
      HttpResponse response = Codec::EncodeResponse(attempt.call().status(),
                                                    attempt.call().fields());
      MarkLeaving(context, attempt.head(), response);
      NoteSent(context, attempt);
      MarkTried(context, response);
      context.has_named_endpoints = context.is_from_peer;
      co_await exchange.BeginStream(std::move(response));
    }
  }

  boost::asio::awaitable<void> FinishStream(HttpExchange& exchange,
                                            RequestContext& context,
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
                                               RequestContext& context,
                                               Attempt& attempt,
                                               const StreamProgress& progress) {
    const bool is_failure = attempt.head().IsServerError();
    auto body = co_await attempt.call().ReadAll(relay::kMaxResponseBytes,
                                                context.TimeLeft(clock_.Now()));
    co_await ThrowIfCancelled();
    if (!body.has_value() || !attempt.head().IsTrusted() ||
        progress.has_begun ||
        (is_failure && context.MayRunAgain() && context.sends <= 1)) {
      co_return false;
    }
    HttpResponse response =
        Codec::EncodeResponse(attempt.call().status(), attempt.call().fields());
    MarkLeaving(context, attempt.head(), response);
    NoteSent(context, attempt);
    response.body = std::move(*body);
    RecordOutcome(context, is_failure ? "endpoint_failed" : "answered");
    co_await Respond(exchange, context, std::move(response));
    co_return true;
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

  ChainQueue<TheClock> queue_;
  std::uint64_t answered_streams_ = 0;
};

}  // namespace sycamoreford
