#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "sycamoreford/metrics/metrics_snapshot.h"
#include "sycamoreford/metrics/time_histogram.h"

namespace sycamoreford {

/// Escapes backslashes, double quotes and line feeds in a label value, as the
/// Prometheus text format requires.
[[nodiscard]] std::string EscapeLabel(std::string_view value);

/// Appends the `# TYPE` line of a metric.
void AppendType(std::string& text,
                std::string_view name,
                std::string_view type);

/// Appends one sample.
///
/// \param labels comma-separated `name="value"` pairs, values escaped.
void AppendSample(std::string& text,
                  const std::string& name,
                  const std::string& labels,
                  const std::string& value);

/// Appends the buckets, sum and count of a histogram; times are in seconds.
void AppendHistogram(std::string& text,
                     const std::string& name,
                     const std::string& labels,
                     const TimeHistogram& histogram);

/// Formats a metric without labels, with its `# TYPE` line.
///
/// \param type `counter` or `gauge`.
[[nodiscard]] std::string FormatMetric(std::string_view name,
                                       std::string_view type,
                                       std::uint64_t value);

/// Formats all series in the Prometheus text format.
[[nodiscard]] std::string ToPrometheus(const MetricsSnapshot& snapshot);

}  // namespace sycamoreford
