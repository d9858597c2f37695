#pragma once

#include <cstddef>
#include <list>
#include <map>

#include "sycamoreford/core/ranked_mutex.h"
#include "sycamoreford/metrics/metrics_snapshot.h"

namespace sycamoreford {

/// Metrics of one daemon, with a limited number of series: when a new series
/// exceeds the limit, the least recently used one is merged into `kOther`.
///
/// Thread safe. Lock rank `kMetrics`; no other lock is acquired while it is
/// held.
class RequestMetrics {
 public:
  /// Customer and priority of the series that holds the merged ones.
  static constexpr const char* kOther = "_other";

  /// \param max_series maximum number of series besides `kOther`; at least 1.
  explicit RequestMetrics(std::size_t max_series) : max_series_(max_series) {}

  /// Records a finished request.
  void Record(const MetricsKey& key, const RequestSample& sample);

  /// Returns a consistent copy of all metrics.
  [[nodiscard]] MetricsSnapshot Snapshot() const;

 private:
  struct Entry {
    RequestSeries series;
    std::list<MetricsKey>::iterator lru_position;
  };

  void MergeLeastRecentlyUsed();

  std::size_t max_series_;
  mutable RankedMutex mutex_{LockRank::kMetrics};
  std::map<MetricsKey, Entry> entries_;
  /// Keys ordered from least to most recently used.
  std::list<MetricsKey> lru_keys_;
  RequestSeries other_;
  bool has_other_ = false;
  std::map<Errc, std::uint64_t> errors_;
};

}  // namespace sycamoreford
