#pragma once

#include <string_view>
#include <system_error>

namespace sycamoreford {

/// Errors reported to callers, operators and other daemons.
enum class Errc {
  /// The input does not have the expected format.
  kMalformed = 1,
  /// A message or a field is larger than its limit.
  kTooLarge,
  /// The credential is missing or wrong.
  kUnauthorized,
  /// No such resource, path, model or service.
  kNotFound,
  /// The HTTP method does not apply to the path.
  kMethodNotAllowed,
  /// The deadline has passed or cannot be met.
  kDeadlineExceeded,
  /// The customer has reached a limit.
  kLimitExceeded,
  /// The daemon has no capacity for the request at present.
  kOverloaded,
  /// No endpoint can serve the request at present.
  kNoEndpoint,
  /// No connection to the endpoint could be established.
  kConnectionRefused,
  /// The connection failed after request bytes were sent.
  kConnectionLost,
  /// The endpoint sent nothing for longer than allowed.
  kStalled,
  /// The endpoint's response violates its protocol.
  kBadEndpointAnswer,
  /// The endpoint reported that it did not run the request.
  kEndpointRefused,
  /// The endpoint did not run the request because it is leaving.
  kEndpointLeaving,
  /// The endpoint reported that the request failed.
  kEndpointFailed,
  /// The endpoint's layer range differs from the planned one.
  kLayerRangeChanged,
  /// The platform's table did not respond, or responded with an error.
  kTableUnavailable,
  /// A write to the table was sent but its response was lost.
  kTableAnswerLost,
  /// A condition of the write did not hold.
  kConflict,
  /// The configuration change is not valid.
  kInvalidChange,
  /// The resource exists already.
  kAlreadyExists,
  /// The idempotency key was used before with a different body.
  kIdempotencyKeyReused,
  /// A call with the same idempotency key is still running.
  kInProgress,
  /// A call with the same idempotency key was started; its outcome is unknown.
  kOutcomeUnknown,
  /// The daemon is stopping.
  kDraining,
  /// The daemon cannot confirm that its configuration is current.
  kConfigUnconfirmed,
  /// The caller closed the connection.
  kCallerGone,
  /// The state machine has no transition for the event in its current state.
  kUnexpectedEvent,
  /// The order carried an outdated fencing token.
  kStaleFencing,
  /// The lease is held by another daemon.
  kLeaseHeld,
  /// Internal error: a bug in this program.
  kInternal,
};

/// Name of an error as reported to callers, for example `no_endpoint`.
[[nodiscard]] std::string_view ToString(Errc code) noexcept;

/// The error category of `Errc`.
[[nodiscard]] const std::error_category& ErrorCategory() noexcept;

/// Converts to `std::error_code`; found by argument-dependent lookup.
[[nodiscard]] std::error_code make_error_code(Errc code) noexcept;

}  // namespace sycamoreford

template <>
struct std::is_error_code_enum<sycamoreford::Errc> : std::true_type {};
