#pragma once

#include <cstdint>
#include <map>

#include "sycamoreford/core/errc.h"
#include "sycamoreford/metrics/metrics_key.h"
#include "sycamoreford/metrics/request_series.h"

namespace sycamoreford {

/// All metrics of one daemon, or of several added up.
struct MetricsSnapshot {
  /// Adds the metrics of another daemon.
  void Add(const MetricsSnapshot& other);

  std::map<MetricsKey, RequestSeries> series;
  std::map<Errc, std::uint64_t> errors;
};

}  // namespace sycamoreford
