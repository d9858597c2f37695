#pragma once

#include <optional>
#include <set>
#include <string>
#include <utility>

#include "sycamoreford/adapters/peer_forwarding.h"

namespace sycamoreford {

/// Chooses endpoints of plain services, and encodes requests for them.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <RelayCodec Codec, Clock TheClock>
class EndpointSelection : protected PeerForwarding<Codec, TheClock> {
  using Processor = PeerForwarding<Codec, TheClock>;

 protected:
  using Processor::clock_;
  using Processor::state_;
  using typename Processor::RequestContext;

  /// Precondition: `state` and `clock` outlive this object.
  EndpointSelection(RelayState& state, const TheClock& clock)
      : Processor(state, clock) {}

  /// Chooses a further endpoint and counts the send.
  ///
  /// \returns nothing if the request may not be sent or no endpoint can take
  ///     it.
  std::optional<EndpointRecord> AcquireEndpoint(RequestContext& context) {
    const TimePoint now = clock_.Now();
    const auto pick = [&](const std::set<std::string>& excluded) {
      return state_.service_selector().Pick(state_.directory(),
                                            context.service->name, now,
                                            excluded, !context.MayRunAgain());
    };
    auto excluded = state_.gate().Closed(now);
    const std::set<std::string>& tried = context.tried_endpoints.all();
    excluded.insert(tried.begin(), tried.end());
    const KnownEndpoint* endpoint =
        Processor::MayConnect(context)
            ? Processor::PickUnlikeOthers(
                  context, std::move(excluded), pick,
                  [](const KnownEndpoint& it) { return it.record.id; })
            : nullptr;
    if (endpoint == nullptr) {
      if (context.last_denial.empty() && pick(tried) != nullptr) {
        Processor::OnClosed(context);
      }
      return std::nullopt;
    }
    if (!Processor::TryAcquireSend(context)) {
      return std::nullopt;
    }
    state_.OnSent(endpoint->record.id, now);
    return endpoint->record;
  }

  /// Encodes a request for an endpoint.
  ///
  /// \param last_event_id event after which a stream goes on; empty for the one
  ///     that the caller named, if any.
  [[nodiscard]] HttpRequest EncodeForEndpoint(
      const HttpRequest& request,
      const RequestContext& context,
      const std::string& endpoint,
      const std::string& last_event_id = {}) const {
    ForwardOptions forward;
    forward.endpoint_id = endpoint;
    forward.time_left = context.TimeLeft(clock_.Now());
    forward.customer = context.customer;
    forward.last_event_id =
        last_event_id.empty() ? context.request.last_event_id : last_event_id;
    return Codec::Encode(request, forward);
  }
};

}  // namespace sycamoreford
