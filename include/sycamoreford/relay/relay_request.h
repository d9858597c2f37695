#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "sycamoreford/relay/reported_load.h"
#include "sycamoreford/route/chain.h"

namespace sycamoreford {

/// What the router needs to know of a caller's request.
struct RelayRequest {
  /// Identity of the request; unique over all callers.
  std::string id;
  std::string host;
  /// Path without the query.
  std::string path;
  /// Empty when the request carries none.
  std::string api_key;
  /// How long the caller will wait; nothing when it didn't say.
  std::optional<std::chrono::milliseconds> caller_timeout;
  std::uint32_t prompt_tokens = 0;
  /// The last event that the caller has of this stream; empty for a new one.
  std::string last_event_id;
};

/// How a request is to be sent to an endpoint.
struct ForwardOptions {
  /// Only this run of an endpoint may take it.
  std::string endpoint_id;
  std::chrono::milliseconds time_left{0};
  /// Name of the customer; empty for anonymous requests.
  std::string customer;
  /// 0 is the most urgent; nothing leaves the choice to the endpoint.
  std::optional<std::uint32_t> urgency;
  /// Event after which the stream goes on; empty to begin.
  std::string last_event_id;
  /// Stages to pass; empty for plain services.
  Chain stages;
};

/// What the head of an endpoint's answer says.
struct ResponseHead {
  unsigned status = 0;
  /// The endpoint states that it did not run the request.
  bool is_not_run = false;
  /// Carries the endpoint's proof that the answer is its own.
  bool is_sealed = false;
  /// Belongs to the request that was sent.
  bool matches_request = false;
  /// Address of the stage at fault; empty when it isn't named.
  std::string faulty_stage_address;
  std::optional<ReportedLoad> load;

  /// Whether the body may be handed to the caller as it is.
  [[nodiscard]] bool IsTrusted() const noexcept {
    return matches_request && (is_sealed || status >= 300);
  }
};

/// Why the router ends a request by itself.
enum class Refusal {
  /// The request is not well-formed.
  kMalformed,
  /// No route takes the request.
  kNoRoute,
  /// The API key is unknown.
  kUnknownKey,
  /// No configuration is known yet; it has not run.
  kNoConfiguration,
  /// No endpoint can take it at present; it has not run.
  kNoEndpoint,
  /// The daemon is stopping; it has not run.
  kStopping,
  /// The time limit passed and it has not run.
  kTooLate,
  /// It may have run, and its answer is lost.
  kAnswerLost,
  /// It may have run, and the time limit has passed.
  kTimedOut,
};

/// Name of a refusal in logs and metrics, for example `no_endpoint`.
[[nodiscard]] std::string_view ToString(Refusal refusal) noexcept;

}  // namespace sycamoreford
