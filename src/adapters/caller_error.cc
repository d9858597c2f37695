#include "sycamoreford/adapters/caller_error.h"

#include <boost/json.hpp>

namespace sycamoreford {

unsigned HttpStatusOf(Errc code) noexcept {
  switch (code) {
    case Errc::kMalformed:
    case Errc::kInvalidChange:
    case Errc::kAlreadyExists:
      return 400;
    case Errc::kTooLarge:
      return 413;
    case Errc::kUnauthorized:
      return 401;
    case Errc::kNotFound:
      return 404;
    case Errc::kMethodNotAllowed:
      return 405;
    case Errc::kIdempotencyKeyReused:
      return 422;
    case Errc::kInProgress:
    case Errc::kConflict:
    case Errc::kOutcomeUnknown:
    case Errc::kStaleFencing:
    case Errc::kLeaseHeld:
      return 409;
    case Errc::kLimitExceeded:
      return 429;
    case Errc::kOverloaded:
    case Errc::kNoEndpoint:
    case Errc::kConnectionRefused:
    case Errc::kEndpointRefused:
    case Errc::kEndpointLeaving:
    case Errc::kLayerRangeChanged:
    case Errc::kTableUnavailable:
    case Errc::kTableAnswerLost:
    case Errc::kDraining:
    case Errc::kConfigUnconfirmed:
      return 503;
    case Errc::kConnectionLost:
    case Errc::kBadEndpointAnswer:
    case Errc::kEndpointFailed:
      return 502;
    case Errc::kDeadlineExceeded:
    case Errc::kStalled:
      return 504;
    case Errc::kCallerGone:
    case Errc::kUnexpectedEvent:
    case Errc::kInternal:
      return 500;
  }
  return 500;
}

std::string CallerErrorBody(const Failure& failure,
                            const std::string& request_id) {
  boost::json::object error{{"type", ToString(failure.code)},
                            {"outcome", ToString(failure.outcome)},
                            {"request_id", request_id}};
  if (failure.retry_after) {
    error["retry_after_ms"] = failure.retry_after->count();
  }
  return boost::json::serialize(boost::json::object{{"error", error}});
}

HttpResponse CallerError(const Failure& failure,
                         const std::string& request_id) {
  HttpResponse response;
  response.status = HttpStatusOf(failure.code);
  response.fields.Add("x-request-id", request_id);
  if (failure.retry_after) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*failure.retry_after);
    response.fields.Add("retry-after", std::to_string(seconds.count()));
  }
  response.body = CallerErrorBody(failure, request_id);
  return response;
}

}  // namespace sycamoreford
