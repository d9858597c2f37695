#pragma once

#include <string_view>
#include <system_error>

namespace sycamoreford {

/// Errors that callers, operators and daemons can meet.
enum class Errc {
  /// The bytes are no valid message of the expected form.
  kMalformed = 1,
  /// A message or a field is larger than its limit.
  kTooLarge,
  /// No or a wrong credential.
  kUnauthorized,
  /// No such resource, path, model or service.
  kNotFound,
  /// The HTTP method does not apply to the path.
  kMethodNotAllowed,
  /// The deadline has passed or can not be met.
  kDeadlineExceeded,
  /// The customer's limit is reached.
  kLimitExceeded,
  /// There is no place for the request at present.
  kOverloaded,
  /// No endpoints can serve the request at present.
  kNoEndpoint,
  /// The endpoint refused the connection.
  kConnectionRefused,
  /// The exchange broke after bytes were sent.
  kConnectionLost,
  /// The endpoint sent nothing for longer than allowed.
  kStalled,
  /// The endpoint answered with bytes that break its protocol.
  kBadEndpointAnswer,
  /// The endpoint said that it did not run the request.
  kEndpointRefused,
  /// The endpoint said that it did not run the request because it is leaving.
  kEndpointLeaving,
  /// The endpoint said that the request failed.
  kEndpointFailed,
  /// The endpoint's layer range differs from the planned one.
  kLayerRangeChanged,
  /// The platform's table did not answer or answered with an error.
  kTableUnavailable,
  /// The write was sent and its answer was lost.
  kTableAnswerLost,
  /// A condition of the write did not hold.
  kConflict,
  /// The change is not valid.
  kInvalidChange,
  /// The resource is there already.
  kAlreadyExists,
  /// The idempotency key was used with another body.
  kIdempotencyKeyReused,
  /// The call with this idempotency key is still running.
  kInProgress,
  /// The call with this idempotency key began and its end is not known.
  kOutcomeUnknown,
  /// The daemon is stopping.
  kDraining,
  /// The daemon can not confirm that its configuration is in force.
  kConfigUnconfirmed,
  /// The caller went away.
  kCallerGone,
  /// An event that the state machine has no transition for.
  kUnexpectedEvent,
  /// The order carried an old fencing number.
  kStaleFencing,
  /// The lease is held by another daemon.
  kLeaseHeld,
  /// A fault of the program itself.
  kInternal,
};

/// Name of an error as callers see it, for example `no_endpoint`.
[[nodiscard]] std::string_view ToString(Errc code) noexcept;

/// The error category of `Errc`.
[[nodiscard]] const std::error_category& ErrorCategory() noexcept;

/// Makes an error code; found by argument-dependent lookup.
[[nodiscard]] std::error_code make_error_code(Errc code) noexcept;

}  // namespace sycamoreford

template <>
struct std::is_error_code_enum<sycamoreford::Errc> : std::true_type {};
