#pragma once

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "sycamoreford/adapters/request_processor.h"

namespace sycamoreford {

/// What all requests have in common that are sent through another daemon, since
/// this one cannot reach endpoints: which daemon, what it is told, and what
/// comes back of the endpoints that it has used.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <RelayCodec Codec, Clock TheClock>
class PeerForwarding : protected RequestProcessor<Codec, TheClock> {
  using Processor = RequestProcessor<Codec, TheClock>;

 protected:
  using Processor::clock_;
  using Processor::Elapsed;
  using Processor::RecordFailedSend;
  using Processor::state_;
  using typename Processor::RequestContext;

  /// Precondition: `state` and `clock` outlive this object.
  PeerForwarding(RelayState& state, const TheClock& clock)
      : Processor(state, clock) {}

  /// Called when another daemon has refused a request.
  void OnRefusedByPeer(const RequestContext& context,
                       const ResponseHead& head) const {
    if (head.is_backoff && head.retry_after) {
      state_.peers().OnBackoff(context.service->name, *head.retry_after,
                               clock_.Now());
    }
  }

  /// Chooses another daemon for a request that this one cannot serve, and
  /// counts the send.
  ///
  /// \returns its address, or nothing if the request may not be forwarded or no
  ///     daemon is known to serve it.
  std::optional<std::string> AcquirePeer(RequestContext& context) {
    if (context.is_from_peer || context.forwards >= relay::kMaxForwards) {
      return std::nullopt;
    }
    const auto pick = [&](const std::set<std::string>& excluded) {
      return state_.peers().Pick(context.service->name, excluded, clock_.Now());
    };
    auto peer = pick(context.tried_peers);
    if (!peer) {
      peer = pick(context.failed_peers);
    }
    if (peer) {
      ++context.forwards;
      context.tried_peers.insert(*peer);
      LogEvent(Severity::kInfo, "forwarded")
          .With("request", context.request.id)
          .With("peer", *peer)
          .With("sends", context.sends)
          .With("after_ms", Elapsed(context));
      state_.metrics().OnForwarded(context.service->name);
      ++context.sends;
    }
    return peer;
  }

  /// Encodes a request for another daemon.
  ///
  /// \param place place of the endpoint that the other daemon chooses.
  /// \param last_event_id event after which a stream is resumed; empty for
  ///     the one that the caller named, if any.
  /// Precondition: `AcquirePeer` has returned that daemon.
  [[nodiscard]] HttpRequest EncodeForPeer(const HttpRequest& request,
                                          const RequestContext& context,
                                          const TriedEndpoints::Place& place,
                                          std::string last_event_id) const {
    PeerForward forward;
    // The other daemon counts its own sends, and only those before this one
    // make them retries.
    forward.sends = context.sends - 1;
    forward.tried_endpoints = context.tried_endpoints.ForPeer(place);
    forward.revision = context.manifest->revision();
    forward.time_left =
        std::max(context.TimeLeft(clock_.Now()) - relay::kForwardTime,
                 std::chrono::milliseconds(0));
    forward.last_event_id = std::move(last_event_id);
    return Codec::EncodeForPeer(request, forward);
  }

  /// Records which endpoints another daemon has sent a request to, if the head
  /// of its response has arrived and names them.
  template <class Attempt>
  static void NoteForwardedHead(RequestContext& context,
                                const Attempt& attempt) {
    if (attempt.is_forwarded() && attempt.has_begun() &&
        attempt.head().tried_endpoints) {
      context.tried_endpoints.Resolve(attempt.place(),
                                      *attempt.head().tried_endpoints);
    }
  }

  /// Records a send through another daemon after which the caller has no
  /// complete response. If that daemon has named no endpoint, its place stays
  /// reserved: one may run the request.
  template <class Attempt>
  void RecordFailedForward(RequestContext& context,
                           AttemptStep step,
                           const Attempt& attempt) {
    if (step == AttemptStep::kWithheld) {
      --context.sends;
      context.tried_endpoints.Resolve(attempt.place(), {});
      return;
    }
    NoteForwardedHead(context, attempt);
    const bool names_endpoint =
        attempt.has_begun() && attempt.head().tried_endpoints;
    // Daemons of the version before name no endpoint.
    const bool passes_on = attempt.has_begun() && attempt.head().IsTrusted() &&
                           !attempt.head().is_not_run;
    if (!names_endpoint && !passes_on) {
      context.failed_peers.insert(attempt.destination());
      state_.peers().OnRefused(attempt.destination(), clock_.Now());
    }
    if (step != AttemptStep::kNotSent && step != AttemptStep::kNotRun) {
      context.may_have_run = true;
      return;
    }
    if (!names_endpoint) {
      --context.sends;
      context.tried_endpoints.Resolve(attempt.place(), {});
    }
  }

  /// Records a send, by whatever way, after which the caller has no complete
  /// response.
  template <class Attempt>
  void RecordFailure(RequestContext& context,
                     AttemptStep step,
                     const Attempt& attempt) {
    if (attempt.is_forwarded()) {
      RecordFailedForward(context, step, attempt);
    } else {
      RecordFailedSend(context, step, attempt.destination());
    }
  }
};

}  // namespace sycamoreford
