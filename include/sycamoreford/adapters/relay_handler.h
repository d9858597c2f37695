#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <xxhash.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/system/system_error.hpp>

#include "sycamoreford/adapters/chain_forwarder.h"
#include "sycamoreford/adapters/endpoint_forwarder.h"
#include "sycamoreford/adapters/request_processor.h"
#include "sycamoreford/relay/request_fingerprint.h"

namespace sycamoreford {

/// Forwards requests of callers to endpoints and their responses to the
/// callers.
///
/// A request that may run at most once is sent again only if the endpoint
/// reported that it did not run it, or if nothing was sent. A resumable stream
/// that breaks is resumed at another chain after its last complete event.
///
/// A request that crashes endpoints, by a part of its prompt or as a whole, is
/// refused, and not sent again.
///
/// Silence alone ends no attempt: a request that may run again is sent
/// elsewhere as well, and the attempt that goes on first is kept.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <RelayCodec Codec, Clock TheClock>
class RelayHandler : private RequestProcessor<Codec, TheClock> {
  using Processor = RequestProcessor<Codec, TheClock>;
  using typename Processor::RequestContext;

 public:
  /// Precondition: `state` and `clock` outlive this object.
  RelayHandler(RelayState& state, const TheClock& clock)
      : Processor(state, clock),
        endpoints_(state, clock),
        chains_(state, clock) {}

  /// Processes one request of a caller and responds to it.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange) {
    RequestContext context = ContextOf(exchange);
    const auto refusal = Admit(exchange.request(), context);
    if (refusal) {
      co_await Refuse(exchange, context, *refusal);
      co_return;
    }
    context.tried_endpoints = TriedEndpoints(context.route->max_attempts);
    state_.RetryBudgetFor(context.service->name).OnRequest(clock_.Now());
    co_await Serve(exchange, context);
  }

  /// Processes a request that another daemon has forwarded. That daemon has
  /// counted it, and it is not forwarded again.
  ///
  /// Precondition: the request comes from a known daemon.
  boost::asio::awaitable<void> HandleFromPeer(HttpExchange& exchange) {
    RequestContext context = ContextOf(exchange);
    context.is_from_peer = true;
    const auto forward = Codec::DecodeFromPeer(exchange.request());
    if (!forward) {
      co_await Refuse(exchange, context, Refusal::kMalformed);
      co_return;
    }
    context.sends = forward->sends;
    const auto refusal = AdmitFromPeer(exchange.request(), *forward, context);
    if (refusal) {
      co_await Refuse(exchange, context, *refusal);
      co_return;
    }
    context.tried_endpoints =
        TriedEndpoints(context.route->max_attempts, forward->tried_endpoints);
    state_.metrics().OnReceivedFromPeer(context.service->name);
    LogReceivedFromPeer(context, *forward);
    ++peer_requests_;
    const std::shared_ptr<void> decrement_on_exit(
        nullptr, [this](void*) { --peer_requests_; });
    co_await Serve(exchange, context);
  }

  /// Number of requests of other daemons that are processed.
  [[nodiscard]] std::size_t peer_requests() const noexcept {
    return peer_requests_;
  }

  /// Refuses further requests of other daemons, since this one is stopping.
  void RefusePeers() noexcept { refuses_peers_ = true; }

 private:
  using Processor::clock_;
  using Processor::Elapsed;
  using Processor::QuarantineRefusal;
  using Processor::RecordOutcome;
  using Processor::Refuse;
  using Processor::state_;

  /// What is known of a request before it is decoded. Its time begins when it
  /// came, which may be long before this daemon has read it.
  [[nodiscard]] RequestContext ContextOf(const HttpExchange& exchange) const {
    RequestContext context;
    context.unread_time = exchange.unread_time();
    context.arrived_at = clock_.Now() - context.unread_time;
    context.caller = exchange.client();
    return context;
  }

  boost::asio::awaitable<void> Serve(HttpExchange& exchange,
                                     RequestContext& context) {
    state_.metrics().OnRead(context.service->name, context.unread_time);
    bool is_ended = false;
    try {
      if (context.service->engine || context.route->streams) {
        co_await chains_.Serve(exchange, context);
      } else {
        co_await endpoints_.Serve(exchange, context);
      }
    } catch (const boost::system::system_error& error) {
      // The server has ended the request, since this daemon stops.
      is_ended = error.code() == boost::asio::error::operation_aborted &&
                 !context.HasCallerLeft() && !exchange.response_started();
      if (!is_ended) {
        if (MeansCallerLeft(error.code())) {
          RecordCallerLeft(context);
        }
        throw;
      }
    }
    if (is_ended) {
      co_await boost::asio::this_coro::reset_cancellation_state();
      co_await Refuse(exchange, context,
                      context.sends > 0 || context.may_have_run
                          ? Refusal::kAnswerLost
                          : Refusal::kStopping);
    }
  }

  /// Whether an error of the exchange, or the cancellation of its handler,
  /// means that the caller has left. Errors of endpoints are not thrown.
  [[nodiscard]] static bool MeansCallerLeft(
      const boost::system::error_code& error) noexcept {
    return error == boost::asio::error::operation_aborted ||
           error == boost::asio::error::broken_pipe ||
           error == boost::asio::error::connection_reset;
  }

  /// Logs and counts a request whose caller has left, by whether it was sent.
  void RecordCallerLeft(const RequestContext& context) {
    RecordOutcome(context, context.sends > 0 || context.may_have_run
                               ? "caller_left"
                               : "caller_left_unsent");
    LogEvent(Severity::kInfo, "caller_left")
        .With("request", context.request.id)
        .With("sends", context.sends)
        .With("unread_ms", context.unread_time)
        .With("after_ms", Elapsed(context));
  }

  static void LogReceivedFromPeer(const RequestContext& context,
                                  const PeerForward& forward) {
    std::string tried;
    for (const std::string& endpoint : forward.tried_endpoints) {
      tried += (tried.empty() ? "" : ",") + endpoint;
    }
    LogEvent(Severity::kInfo, "received_from_peer")
        .With("request", context.request.id)
        .With("sends", forward.sends)
        .With("tried", tried);
  }

  /// As `Admit`; also refuses what this daemon cannot take at present, or would
  /// decide by an older configuration than the other one.
  std::optional<Refusal> AdmitFromPeer(const HttpRequest& request,
                                       const PeerForward& forward,
                                       RequestContext& context) {
    if (refuses_peers_) {
      return Refusal::kStopping;
    }
    if (peer_requests_ >= relay::kMaxPeerRequests) {
      return Refusal::kNoEndpoint;
    }
    if (!state_.manifest() ||
        state_.manifest()->revision() < forward.revision) {
      return Refusal::kNoConfiguration;
    }
    return Admit(request, context);
  }

  /// Decodes the request and finds its route, customer and service.
  ///
  /// \returns the reason if the request is refused.
  std::optional<Refusal> Admit(const HttpRequest& request,
                               RequestContext& context) {
    auto decoded = Codec::Decode(request);
    if (!decoded) {
      return Refusal::kMalformed;
    }
    context.request = std::move(*decoded);
    context.manifest = state_.manifest();
    if (!context.manifest) {
      context.allowed_after =
          state_.configuration_wait().RetryAfter(clock_.Now());
      return Refusal::kNoConfiguration;
    }
    context.route =
        context.manifest->FindRoute(context.request.host, context.request.path);
    if (context.route == nullptr) {
      return Refusal::kNoRoute;
    }
    context.priority = context.route->priority;
    const RelayCustomer* customer = nullptr;
    if (context.manifest->has_customers() && !context.route->allows_anonymous) {
      customer = context.manifest->FindCustomer(context.request.api_key);
      if (customer == nullptr) {
        return Refusal::kUnknownKey;
      }
      context.customer = customer->name;
      context.priority = customer->priority.value_or(context.priority);
    }
    context.fingerprint = FingerprintOf(context.request, context.customer);
    context.traits.assign(context.request.shared_parts.begin(),
                          context.request.shared_parts.end());
    context.traits.emplace_back(context.fingerprint);
    std::sort(context.traits.begin(), context.traits.end());
    context.traits.erase(
        std::unique(context.traits.begin(), context.traits.end()),
        context.traits.end());
    const auto caller_timeout =
        context.request.caller_timeout.value_or(context.route->time_limit);
    context.deadline = context.arrived_at +
                       std::min(caller_timeout, context.route->time_limit);
    context.service = ChooseService(context);
    if (context.service == nullptr) {
      return Refusal::kNoEndpoint;
    }
    if (context.service->engine &&
        context.manifest->HasSeveralRanks(context.service->name)) {
      context.rank = context.manifest->RankOf(*context.route, customer);
    }
    const QuarantineVerdict verdict = state_.quarantine().OnRequest(
        context.traits, clock_.Now(), state_.rank(), state_.daemon_count());
    context.is_trial = verdict == QuarantineVerdict::kTrial;
    return verdict == QuarantineVerdict::kRefuse
               ? std::optional(QuarantineRefusal(context))
               : std::nullopt;
  }

  /// Selects a service of the route by weight. Depends only on the request id,
  /// so that the caller's retries of a request get the same service.
  const RelayService* ChooseService(const RequestContext& context) const {
    double total = 0;
    for (const WeightedService& share : context.route->services) {
      total += share.weight;
    }
    constexpr double kHashRange = 18446744073709551616.0;
    const std::string& id = context.request.id;
    double remaining = static_cast<double>(XXH64(id.data(), id.size(), 0)) /
                       kHashRange * total;
    for (const WeightedService& share : context.route->services) {
      remaining -= share.weight;
      if (remaining < 0) {
        return context.manifest->FindService(share.service);
      }
    }
    return nullptr;
  }

  std::size_t peer_requests_ = 0;
  bool refuses_peers_ = false;
  EndpointForwarder<Codec, TheClock> endpoints_;
  ChainForwarder<Codec, TheClock> chains_;
};

}  // namespace sycamoreford
