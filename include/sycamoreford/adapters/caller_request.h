#pragma once

#include <memory>
#include <string>

#include "sycamoreford/config/configuration.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/metrics/request_timer.h"

namespace sycamoreford {

/// A caller's request after it was recognized.
struct CallerRequest {
  RequestId id;
  CustomerId customer;
  /// The configuration that serves this request from start to end.
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
