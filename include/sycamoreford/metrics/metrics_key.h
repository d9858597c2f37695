#pragma once

#include <compare>
#include <string>

namespace sycamoreford {

/// Identifies a series of metrics: the requests of one customer in one priority
/// class.
struct MetricsKey {
  std::string customer;
  /// Name of the priority class.
  std::string priority;

  friend auto operator<=>(const MetricsKey&, const MetricsKey&) = default;
};

}  // namespace sycamoreford
