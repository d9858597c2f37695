#pragma once

#include <cstdint>
#include <map>

#include "sycamoreford/core/errc.h"
#include "sycamoreford/metrics/metrics_key.h"
#include "sycamoreford/metrics/request_series.h"

namespace sycamoreford {

/// Metrics of one daemon, or the sum of several daemons'.
struct MetricsSnapshot {
  /// Adds the metrics of `other` to these.
  void Add(const MetricsSnapshot& other);

  std::map<MetricsKey, RequestSeries> series;
  std::map<Errc, std::uint64_t> errors;
};

}  // namespace sycamoreford
