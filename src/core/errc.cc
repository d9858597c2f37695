#include "sycamoreford/core/errc.h"

#include <string>

#include "sycamoreford/core/failure.h"

namespace sycamoreford {

std::string_view ToString(Errc code) noexcept {
  switch (code) {
    case Errc::kMalformed:
      return "malformed";
    case Errc::kTooLarge:
      return "too_large";
    case Errc::kUnauthorized:
      return "unauthorized";
    case Errc::kNotFound:
      return "not_found";
    case Errc::kMethodNotAllowed:
      return "method_not_allowed";
    case Errc::kDeadlineExceeded:
      return "deadline_exceeded";
    case Errc::kLimitExceeded:
      return "limit_exceeded";
    case Errc::kOverloaded:
      return "overloaded";
    case Errc::kNoEndpoint:
      return "no_endpoint";
    case Errc::kConnectionRefused:
      return "connection_refused";
    case Errc::kConnectionLost:
      return "connection_lost";
    case Errc::kStalled:
      return "stalled";
    case Errc::kBadEndpointAnswer:
      return "bad_endpoint_answer";
    case Errc::kEndpointRefused:
      return "endpoint_refused";
    case Errc::kEndpointLeaving:
      return "endpoint_leaving";
    case Errc::kEndpointFailed:
      return "endpoint_failed";
    case Errc::kLayerRangeChanged:
      return "layer_range_changed";
    case Errc::kTableUnavailable:
      return "table_unavailable";
    case Errc::kTableAnswerLost:
      return "table_answer_lost";
    case Errc::kConflict:
      return "conflict";
    case Errc::kInvalidChange:
      return "invalid_change";
    case Errc::kAlreadyExists:
      return "already_exists";
    case Errc::kIdempotencyKeyReused:
      return "idempotency_key_reused";
    case Errc::kInProgress:
      return "in_progress";
    case Errc::kOutcomeUnknown:
      return "outcome_unknown";
    case Errc::kDraining:
      return "draining";
    case Errc::kConfigUnconfirmed:
      return "config_unconfirmed";
    case Errc::kCallerGone:
      return "caller_gone";
    case Errc::kUnexpectedEvent:
      return "unexpected_event";
    case Errc::kStaleFencing:
      return "stale_fencing";
    case Errc::kLeaseHeld:
      return "lease_held";
    case Errc::kInternal:
      return "internal";
  }
  return "internal";
}

namespace {

class Category final : public std::error_category {
 public:
  [[nodiscard]] const char* name() const noexcept override {
    return "sycamoreford";
  }
  [[nodiscard]] std::string message(int value) const override {
    return std::string(ToString(static_cast<Errc>(value)));
  }
};

}  // namespace

const std::error_category& ErrorCategory() noexcept {
  static const Category category;
  return category;
}

std::error_code make_error_code(Errc code) noexcept {
  return {static_cast<int>(code), ErrorCategory()};
}

void throw_exception_from_error(const Failure& failure,
                                const boost::source_location& /*location*/) {
  throw std::system_error(failure.error_code(), failure.where);
}

}  // namespace sycamoreford
