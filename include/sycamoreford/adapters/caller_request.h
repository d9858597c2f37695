#pragma once

#include <string>

#include "sycamoreford/config/configuration.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// A caller's request after it was recognized.
struct CallerRequest {
  RequestId id;
  CustomerId customer;
  /// The configuration that serves this request from start to end.
  ConfigurationPtr config;
  TimePoint received{};
  TimePoint deadline{};
};

}  // namespace sycamoreford
