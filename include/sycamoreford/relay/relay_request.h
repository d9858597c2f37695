#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/fleet/endpoint_run_id.h"
#include "sycamoreford/fleet/leaving_run.h"
#include "sycamoreford/relay/reported_load.h"
#include "sycamoreford/route/chain.h"

namespace sycamoreford {

/// The parts of a caller's request that the router uses.
struct RelayRequest {
  /// Id of the request; unique over all callers.
  std::string id;
  std::string host;
  /// Path without the query.
  std::string path;
  /// Empty when the request carries none.
  std::string api_key;
  /// How long the caller will wait, if the request states it.
  std::optional<std::chrono::milliseconds> caller_timeout;
  std::uint32_t prompt_tokens = 0;
  /// The parts of the prompt that other requests may share, in order.
  std::vector<PromptPartId> shared_parts;
  /// Id of the last event that the caller received; empty for a new stream.
  std::string last_event_id;
  /// Hash of the method, path, query, model, prompt and body.
  std::uint64_t content_hash = 0;
};

/// Parameters for sending a request to an endpoint.
struct ForwardOptions {
  /// Id of the endpoint process that may accept the request. A restarted
  /// endpoint has a new id.
  std::string endpoint_id;
  std::chrono::milliseconds time_left{0};
  /// Customer name; empty for anonymous requests.
  std::string customer;
  /// 0 is the most urgent; if unset, the endpoint decides.
  std::optional<std::uint32_t> urgency;
  /// Id of the event after which the stream resumes; empty to start it.
  std::string last_event_id;
  /// Chain of a model service; empty for plain services.
  Chain stages;
};

/// What a daemon tells another one that it forwards a request to.
struct PeerForward {
  /// Number of times that the request was sent to an endpoint.
  int sends = 0;
  /// Endpoints that the request was sent to, and placeholders, so that one
  /// further endpoint is allowed at most.
  std::set<std::string> tried_endpoints;
  /// Revision of the configuration by which the request was admitted.
  std::uint64_t revision = 0;
  std::chrono::milliseconds time_left{0};
  /// Id of the event after which the stream resumes; empty to start it.
  std::string last_event_id;
};

/// Status and decoded fields of the head of an endpoint's response.
struct ResponseHead {
  unsigned status = 0;
  /// Whether the endpoint states that it did not run the request.
  bool is_not_run = false;
  /// Whether another daemon states that it did not run the request because all
  /// of its endpoints for it are in a pause.
  bool is_backoff = false;
  /// Whether the response carries the endpoint's seal, which shows that the
  /// endpoint itself produced it.
  bool is_sealed = false;
  /// Whether the response belongs to the request that was sent.
  bool matches_request = false;
  /// Address of the stage that caused a failure; empty when it isn't stated.
  std::string faulty_stage_address;
  std::optional<ReportedLoad> load;
  /// Requests per second that the endpoint accepts from all daemons together;
  /// empty if it states no limit.
  std::optional<double> request_limit;
  /// How long the sender of the response wants nothing more from this daemon;
  /// empty if it does not state it.
  std::optional<std::chrono::milliseconds> retry_after;
  /// Whether the response states that the endpoint will stop soon.
  /// `leaving_run` tells whether that is believed.
  bool is_leaving = false;
  /// The run of an endpoint that is leaving. As decoded, it is what another
  /// daemon states of the endpoint whose response it forwards.
  std::optional<EndpointRunId> leaving_run;
  /// As `LeavingRun::until_ms`; 0 if another daemon does not state it.
  std::uint64_t leaving_until_ms = 0;
  /// The endpoints that another daemon has sent the request to; nothing if it
  /// does not state them.
  std::optional<std::set<std::string>> tried_endpoints;

  /// Sets `leaving_run` for a response that comes from an endpoint itself.
  ///
  /// \param run the run that the request was sent to; empty if not known.
  /// \param sent_at when it was sent.
  void SetSender(const std::optional<EndpointRunId>& run,
                 std::chrono::system_clock::time_point sent_at) {
    leaving_run = is_leaving && IsTrusted() ? run : std::nullopt;
    leaving_until_ms = ToWallClockMs(sent_at - kMaxClockDifference);
  }

  /// Completes `leaving_until_ms` for a response that came through another
  /// daemon, which sent the request later than this one did.
  ///
  /// \param sent_at when this daemon sent the request to the other one.
  void SetForwarded(std::chrono::system_clock::time_point sent_at) {
    if (leaving_until_ms == 0) {
      leaving_until_ms = ToWallClockMs(sent_at - kMaxClockDifference);
    }
  }

  [[nodiscard]] bool IsServerError() const noexcept {
    constexpr unsigned kFirstServerError = 500;
    return status >= kFirstServerError;
  }

  /// Whether the body may be forwarded to the caller unchanged.
  [[nodiscard]] bool IsTrusted() const noexcept {
    return matches_request && (is_sealed || status >= 300);
  }
};

/// Why the router itself ends a request instead of forwarding a response.
enum class Refusal {
  /// The request is not well-formed.
  kMalformed,
  /// No route matches the request.
  kNoRoute,
  /// The API key is unknown.
  kUnknownKey,
  /// No configuration has been loaded yet; the request has not run.
  kNoConfiguration,
  /// No endpoint can accept it at present; the request has not run.
  kNoEndpoint,
  /// No chain has room for it within the time that it may wait; the request has
  /// not run.
  kNoRoom,
  /// The limits that endpoints state allow no further request at present; the
  /// request has not run.
  kEndpointLimit,
  /// All endpoints have asked for a pause; the request has not run.
  kEndpointBackoff,
  /// Endpoints crash under a part of the prompt; the request has not run.
  kPromptQuarantined,
  /// Endpoints crash under the request as a whole; the request has not run.
  kRequestQuarantined,
  /// The daemon is stopping; the request has not run.
  kStopping,
  /// The time limit has passed; the request has not run.
  kTooLate,
  /// The response was lost; the request may have run.
  kAnswerLost,
  /// The time limit has passed; the request may have run.
  kTimedOut,
};

/// Maximum number of prompt parts in one line of the log.
inline constexpr std::size_t kMaxPrintedParts = 16;

/// Formats the ids of prompt parts for logs: hexadecimal, separated by commas.
/// Beyond `kMaxPrintedParts`, `+N` tells how many more there are.
[[nodiscard]] std::string ToString(const std::vector<PromptPartId>& parts);

/// Formats a fingerprint for logs: hexadecimal.
[[nodiscard]] std::string ToString(RequestFingerprint fingerprint);

/// Whether a refusal proves that the request has not run.
[[nodiscard]] bool IsNotRun(Refusal refusal) noexcept;

/// Name of a refusal in logs and metrics, for example `no_endpoint`.
[[nodiscard]] std::string_view ToString(Refusal refusal) noexcept;

}  // namespace sycamoreford
