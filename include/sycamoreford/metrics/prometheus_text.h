#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "sycamoreford/metrics/metrics_snapshot.h"

namespace sycamoreford {

/// A label value with backslash, quote and line feed escaped as the Prometheus
/// text format demands.
[[nodiscard]] std::string EscapeLabel(std::string_view value);

/// One metric without labels, with its type line.
///
/// \param type `counter` or `gauge`.
[[nodiscard]] std::string PrometheusLine(std::string_view name,
                                         std::string_view type,
                                         std::uint64_t value);

/// All series in the Prometheus text format.
[[nodiscard]] std::string ToPrometheus(const MetricsSnapshot& snapshot);

}  // namespace sycamoreford
