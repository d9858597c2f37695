#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "sycamoreford/adapters/client_presence.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/relay/manifest.h"
#include "sycamoreford/relay/relay_request.h"
#include "sycamoreford/relay/request_trait.h"
#include "sycamoreford/relay/tried_endpoints.h"

namespace sycamoreford {

namespace relay {

/// Maximum time to establish a connection to an endpoint. A lost SYN packet is
/// retransmitted only after a second, and a dead VM never responds.
inline constexpr std::chrono::milliseconds kConnectTimeout{400};
/// Maximum number of failed attempts to connect, in which nothing was sent,
/// before a request is refused.
inline constexpr int kMaxConnectFailures = 3;
/// A chain from which something has arrived within this time is not silent; of
/// the order of the longest pause between the events of a chain at work.
inline constexpr std::chrono::milliseconds kMinSilence{100};
/// A sound endpoint is silent for about a second. The endpoints themselves end
/// work that depends on a dead one after this time.
inline constexpr std::chrono::milliseconds kMaxSoundSilence{2'000};
/// Silence of another daemon after which a request that was forwarded to it is
/// given up if nothing else was heard of it either.
inline constexpr std::chrono::milliseconds kMaxPeerSilence{1'000};
/// Silence of a response that comes through another daemon after which further
/// ones are tried. A sound endpoint is silent for about a second.
inline constexpr std::chrono::milliseconds kMaxForwardSilence{1'000};
/// Part of the time left that is reserved for the way through another daemon.
inline constexpr std::chrono::milliseconds kForwardTime{5};
/// Maximum number of requests of other daemons at the same time; leaves most of
/// the descriptors to callers.
inline constexpr std::size_t kMaxPeerRequests = 512;
/// Maximum size of a response that is buffered before it is forwarded.
inline constexpr std::size_t kMaxResponseBytes = 4UL * 1024 * 1024;

/// State of one request while it is processed.
struct RequestContext {
  RelayRequest request;
  std::shared_ptr<const Manifest> manifest;
  const RelayRoute* route = nullptr;
  const RelayService* service = nullptr;
  std::string customer;
  RequestFingerprint fingerprint;
  /// What the request may have in common with others that crash endpoints.
  std::vector<RequestTrait> traits;
  std::uint32_t priority = 0;
  /// Position in the order of urgency, where requests compete for chains.
  std::optional<std::uint32_t> rank;
  TimePoint arrived_at{};
  /// Whether the caller, or the daemon that forwarded the request, still waits.
  std::shared_ptr<const ClientPresence> caller;
  /// How long the request lay unread before.
  std::chrono::milliseconds unread_time{0};
  /// End of the time limit of the caller or the route, whichever is earlier.
  TimePoint deadline{};
  /// Number of times that it was sent to an endpoint.
  int sends = 0;
  int connect_failures = 0;
  /// Whether another daemon forwarded the request to this one.
  bool is_from_peer = false;
  /// Whether that daemon has got the head of a stream, which names the
  /// endpoints that were tried, so that no further ones may be.
  bool has_named_endpoints = false;
  /// Number of times that the request was forwarded to another daemon.
  std::size_t forwards = 0;
  /// Daemons that the request was forwarded to, and those of them that did not
  /// name an endpoint.
  std::set<std::string> tried_peers;
  std::set<std::string> failed_peers;
  /// Whether an endpoint may have run the request.
  bool may_have_run = false;
  /// Whether the request is sent once although it is quarantined.
  bool is_trial = false;
  /// Why the request was not sent, or not sent again.
  std::string_view last_denial;
  /// Time after which the limits and pauses of endpoints may allow the request.
  std::chrono::milliseconds allowed_after{0};
  /// What was last logged of an attempt that was silent.
  std::string_view silence_outcome;
  TriedEndpoints tried_endpoints;

  [[nodiscard]] bool HasCallerLeft() const noexcept {
    return caller != nullptr && caller->HasLeft();
  }
  [[nodiscard]] std::chrono::milliseconds TimeLeft(TimePoint now) const {
    return std::max(
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now),
        std::chrono::milliseconds(0));
  }
  /// Whether the request may be sent again after an endpoint may have run it.
  [[nodiscard]] bool MayRunAgain() const noexcept {
    return route->retry_policy != RetryPolicy::kAtMostOnce;
  }
};

}  // namespace relay

}  // namespace sycamoreford
