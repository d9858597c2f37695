#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "sycamoreford/metrics/metrics_snapshot.h"
#include "sycamoreford/metrics/time_histogram.h"

namespace sycamoreford {

/// A label value with backslash, quote and line feed escaped as the Prometheus
/// text format demands.
[[nodiscard]] std::string EscapeLabel(std::string_view value);

/// Appends the type line of a metric.
void AppendType(std::string& text,
                std::string_view name,
                std::string_view type);

/// Appends one sample.
///
/// \param labels pairs of name and quoted value, parted by commas.
void AppendSample(std::string& text,
                  const std::string& name,
                  const std::string& labels,
                  const std::string& value);

/// Appends a histogram's buckets, sum and count, in seconds.
void AppendHistogram(std::string& text,
                     const std::string& name,
                     const std::string& labels,
                     const TimeHistogram& histogram);

/// One metric without labels, with its type line.
///
/// \param type `counter` or `gauge`.
[[nodiscard]] std::string PrometheusLine(std::string_view name,
                                         std::string_view type,
                                         std::uint64_t value);

/// All series in the Prometheus text format.
[[nodiscard]] std::string ToPrometheus(const MetricsSnapshot& snapshot);

}  // namespace sycamoreford
