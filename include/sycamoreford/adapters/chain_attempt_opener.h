#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/any_io_executor.hpp>

#include "sycamoreford/adapters/chain_attempt.h"
#include "sycamoreford/adapters/endpoint_selection.h"
#include "sycamoreford/adapters/endpoint_stream_attempt.h"
#include "sycamoreford/adapters/peer_attempt.h"
#include "sycamoreford/adapters/peer_forwarding.h"
#include "sycamoreford/adapters/stream_progress.h"
#include "sycamoreford/relay/chain_admission.h"
#include "sycamoreford/relay/event_splitter.h"

namespace sycamoreford {

/// Chooses where a request is sent that is served by attempts that may be
/// resumed: to a chain of a model service, to an endpoint of a plain one, or
/// through another daemon.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <RelayCodec Codec, Clock TheClock>
class ChainAttemptOpener : protected EndpointSelection<Codec, TheClock> {
  using Selection = EndpointSelection<Codec, TheClock>;
  using Processor = PeerForwarding<Codec, TheClock>;

 protected:
  using Attempt = StreamAttempt<Codec, TheClock>;
  using Processor::clock_;
  using Processor::kNoChain;
  using Processor::MayBeSent;
  using Processor::state_;
  using typename Processor::RequestContext;

  /// Precondition: `state` and `clock` outlive this object.
  ChainAttemptOpener(RelayState& state, const TheClock& clock)
      : Selection(state, clock) {}

  /// Starts to send the request to a chain or an endpoint, or through another
  /// daemon if this one has none.
  ///
  /// \param position position in the stream after which it goes on.
  /// \param reserved_share share of the chain's room to leave free.
  /// \returns null if the request may not be sent or nothing can take it.
  std::shared_ptr<Attempt> OpenAttempt(
      const boost::asio::any_io_executor& executor,
      const HttpRequest& request,
      RequestContext& context,
      const EventSplitter& position,
      double reserved_share = 0) {
    if (!MayBeSent(context)) {
      return nullptr;
    }
    std::shared_ptr<Attempt> attempt;
    const bool is_isolated = state_.is_isolated();
    if (!is_isolated) {
      attempt =
          OpenOwnAttempt(executor, request, context, position, reserved_share);
    }
    if (!attempt && (is_isolated || LacksChains(context))) {
      attempt = OpenPeerAttempt(executor, request, context, position);
    }
    if (!attempt && is_isolated) {
      attempt =
          OpenOwnAttempt(executor, request, context, position, reserved_share);
    }
    return attempt;
  }

  /// Whether the chains that may take the request have too little room for it.
  /// False if there are none, which waiting for room does not change.
  ///
  /// \param reserved_share share of a chain's room to leave free.
  [[nodiscard]] bool AreChainsFull(const RequestContext& context,
                                   double reserved_share) const {
    const TimePoint now = clock_.Now();
    const auto closed = state_.gate().Closed(now);
    const auto& chains =
        state_.ChainSelectorFor(*context.service, now).chains();
    const bool has_open_chain =
        std::any_of(chains.begin(), chains.end(), [&](const auto& chain) {
          const std::string& first = chain.first_endpoint();
          return !closed.contains(first) &&
                 (!MayOnlyBeRetried(context) ||
                  context.tried_endpoints.all().contains(first));
        });
    return has_open_chain &&
           PickChain(context, closed, reserved_share, now) == nullptr;
  }

  /// What admission needs to know of the request.
  ///
  /// Precondition: it has a rank.
  [[nodiscard]] static ChainRequest ToChainRequest(
      const RequestContext& context,
      const StreamProgress& progress) {
    return {.rank = *context.rank,
            .customer = CustomerId(context.customer),
            .tokens = ExpectedTokens(context),
            .target_latency = context.route->target_latency,
            .deadline = context.deadline,
            .was_sent = context.sends > 0,
            .last_event = progress.last_event == TimePoint{}
                              ? std::nullopt
                              : std::optional(progress.last_event)};
  }

 private:
  using ToChain = ChainAttempt<Codec, TheClock>;
  using Processor::AcquirePeer;
  using Processor::EncodeForPeer;
  using Processor::MayConnect;
  using Processor::MayForward;
  using Processor::MaySendTo;
  using Processor::OnClosed;
  using Processor::OnSentFor;
  using Processor::PickUnlikeOthers;
  using Processor::TryAcquireSend;
  using Selection::AcquireEndpoint;
  using Selection::EncodeForEndpoint;

  /// Whether the request may not be sent to further endpoints.
  [[nodiscard]] static bool MayOnlyBeRetried(const RequestContext& context) {
    return !context.tried_endpoints.AllowsFurther();
  }

  [[nodiscard]] static double ExpectedTokens(const RequestContext& context) {
    const EngineProfile& engine = *context.service->engine;
    const double prompt = context.request.prompt_tokens > 0
                              ? context.request.prompt_tokens
                              : engine.mean_prompt_tokens;
    return prompt + engine.mean_output_tokens;
  }

  /// The chain for a request that leaves a share of its room free; null if no
  /// chain can take it.
  [[nodiscard]] const ServingChain* PickChain(
      const RequestContext& context,
      const std::set<std::string>& excluded,
      double reserved_share,
      TimePoint now) const {
    return state_.ChainSelectorFor(*context.service, now)
        .Pick(ExpectedTokens(context), state_.daemon_count(),
              context.tried_endpoints.all(), MayOnlyBeRetried(context), now,
              excluded, reserved_share);
  }

  [[nodiscard]] ForwardOptions OptionsFor(const RequestContext& context,
                                          const Chain& stages,
                                          const EventSplitter& position) const {
    ForwardOptions options;
    options.endpoint_id = stages.front().endpoint.value();
    options.time_left = context.TimeLeft(clock_.Now());
    options.customer = context.customer;
    options.stages = stages;
    const bool resumes = position.event_count() > 0;
    options.urgency = std::min(context.rank.value_or(context.priority) +
                                   (resumes ? relay::kResumeUrgencyOffset : 0),
                               relay::kLowestUrgency);
    options.last_event_id =
        resumes ? position.last_id() : context.request.last_event_id;
    return options;
  }

  std::shared_ptr<Attempt> OpenOwnAttempt(
      const boost::asio::any_io_executor& executor,
      const HttpRequest& request,
      RequestContext& context,
      const EventSplitter& position,
      double reserved_share) {
    if (context.service->engine) {
      return OpenChainAttempt(executor, request, context, position,
                              reserved_share);
    }
    return OpenEndpointAttempt(executor, request, context, position);
  }

  /// Starts to send the request to an endpoint of a plain service.
  ///
  /// \param position position in the stream after which the endpoint goes on.
  /// \returns null if the request may not be sent or no endpoint can take it.
  std::shared_ptr<Attempt> OpenEndpointAttempt(
      const boost::asio::any_io_executor& executor,
      const HttpRequest& request,
      RequestContext& context,
      EventSplitter position) {
    if (MayOnlyBeRetried(context)) {
      context.last_denial = "max_attempts";
      return nullptr;
    }
    const auto record = AcquireEndpoint(context);
    if (!record) {
      return nullptr;
    }
    position.Restart();
    HttpRequest encoded = EncodeForEndpoint(
        request, context, record->id,
        position.event_count() > 0 ? position.last_id() : std::string());
    return std::make_shared<EndpointStreamAttempt<Codec, TheClock>>(
        state_, clock_, executor,
        EndpointStreamOptions{
            .stream = {.request_id = context.request.id,
                       .address = record->address,
                       .request = std::move(encoded),
                       .may_send = MaySendTo(context, record->id),
                       .on_sent = OnSentFor(context),
                       .deadline = context.deadline,
                       .connect_timeout = relay::kConnectTimeout,
                       .streams = context.route->streams,
                       .position = std::move(position)},
            .run = RunOf(*record),
            .silence = std::max(context.route->target_latency,
                                relay::kMaxForwardSilence),
            .max_silence = relay::kMaxSoundSilence,
            .traits = context.traits});
  }

  /// Whether this daemon has no chain or endpoint that it can connect to.
  [[nodiscard]] bool LacksChains(const RequestContext& context) const {
    return context.connect_failures >= relay::kMaxConnectFailures ||
           !state_.HasEndpointsFor(*context.service, clock_.Now());
  }

  /// Starts to send the request through another daemon.
  ///
  /// \returns null if none can take it.
  std::shared_ptr<Attempt> OpenPeerAttempt(
      const boost::asio::any_io_executor& executor,
      const HttpRequest& request,
      RequestContext& context,
      EventSplitter position) {
    if (MayOnlyBeRetried(context) && !context.tried_endpoints.HasNamed()) {
      context.last_denial = "max_attempts";
      return nullptr;
    }
    auto peer = AcquirePeer(context);
    if (!peer) {
      return nullptr;
    }
    position.Restart();
    const auto place = context.tried_endpoints.Reserve();
    HttpRequest encoded = EncodeForPeer(
        request, context, place,
        position.event_count() > 0 ? position.last_id() : std::string());
    return std::make_shared<PeerAttempt<Codec, TheClock>>(
        state_, clock_, executor,
        StreamAttemptOptions{.request_id = context.request.id,
                             .address = std::move(*peer),
                             .request = std::move(encoded),
                             .may_send = MayForward(context),
                             .deadline = context.deadline,
                             .connect_timeout = relay::kConnectTimeout,
                             .streams = context.route->streams,
                             .position = std::move(position),
                             .place = place},
        std::max(context.route->target_latency, relay::kMaxForwardSilence),
        relay::kMaxPeerSilence);
  }

  /// Starts to send the request to a chain.
  ///
  /// \param position position in the stream after which the chain goes on.
  /// \returns null if the request may not be sent or no chain can take it.
  std::shared_ptr<Attempt> OpenChainAttempt(
      const boost::asio::any_io_executor& executor,
      const HttpRequest& request,
      RequestContext& context,
      EventSplitter position,
      double reserved_share) {
    if (!MayConnect(context)) {
      return nullptr;
    }
    const double tokens = ExpectedTokens(context);
    const TimePoint now = clock_.Now();
    const ServingChain* chain = PickUnlikeOthers(
        context, state_.gate().Closed(now),
        [&](const std::set<std::string>& excluded) {
          return PickChain(context, excluded, reserved_share, now);
        },
        [](const ServingChain& it) { return it.first_endpoint(); });
    if (chain == nullptr) {
      if (PickChain(context, {}, reserved_share, now) != nullptr) {
        OnClosed(context);
      } else {
        context.last_denial = kNoChain;
      }
      return nullptr;
    }
    if (!TryAcquireSend(context)) {
      return nullptr;
    }
    state_.OnSent(chain->stages.front().endpoint.value(), now);
    position.Restart();
    const Chain stages = chain->stages;
    HttpRequest encoded =
        Codec::Encode(request, OptionsFor(context, stages, position));
    return std::make_shared<ToChain>(
        state_, clock_, executor, *context.service,
        ChainAttemptOptions{
            .stream = {.request_id = context.request.id,
                       .address = stages.front().address,
                       .request = std::move(encoded),
                       .may_send =
                           MaySendTo(context, stages.front().endpoint.value()),
                       .on_sent = OnSentFor(context),
                       .deadline = context.deadline,
                       .connect_timeout = relay::kConnectTimeout,
                       .streams = context.route->streams,
                       .position = std::move(position)},
            .stages = stages,
            .tokens = tokens,
            .max_silence = relay::kMaxSoundSilence,
            .target_pause = context.route->target_pause,
            .traits = context.traits});
  }
};

}  // namespace sycamoreford
