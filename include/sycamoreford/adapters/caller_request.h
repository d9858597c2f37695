#pragma once

#include <memory>
#include <string>

#include "sycamoreford/config/configuration.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/metrics/request_timer.h"

namespace sycamoreford {

/// Context of a caller's request. Customer, priority and deadline are set when
/// the request is authenticated.
struct CallerRequest {
  RequestId id;
  CustomerId customer;
  /// Configuration snapshot that is used for the whole request.
  ConfigurationPtr config;
  /// Name of the customer's priority class.
  std::string priority;
  /// Measures the request; never null.
  std::shared_ptr<RequestTimer> timer =
      std::make_shared<RequestTimer>(TimePoint());
  TimePoint received_at{};
  TimePoint deadline{};
};

}  // namespace sycamoreford
