#pragma once

#include <cstdint>
#include <string_view>

namespace sycamoreford {

/// What an endpoint turned away when it asked for a pause.
enum class BackoffSource : std::uint8_t {
  kRequest,
  /// The fetch of a report.
  kReport,
  kOrder,
};

/// Name of a source in logs and metrics.
[[nodiscard]] constexpr std::string_view ToString(
    BackoffSource source) noexcept {
  switch (source) {
    case BackoffSource::kRequest:
      return "request";
    case BackoffSource::kReport:
      return "report";
    case BackoffSource::kOrder:
      return "order";
  }
  return "unknown";
}

}  // namespace sycamoreford
