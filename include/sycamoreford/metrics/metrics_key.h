#pragma once

#include <compare>
#include <string>

namespace sycamoreford {

/// Whose requests a series of metrics counts.
struct MetricsKey {
  std::string customer;
  /// Name of the priority class.
  std::string priority;

  friend auto operator<=>(const MetricsKey&, const MetricsKey&) = default;
};

}  // namespace sycamoreford
