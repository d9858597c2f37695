#pragma once

#include <cstddef>
#include <list>
#include <map>

#include "sycamoreford/core/ranked_mutex.h"
#include "sycamoreford/metrics/metrics_snapshot.h"

namespace sycamoreford {

/// The metrics of one daemon, bounded in number: when a new series finds no
/// place, the one that was used least recently is added to `kOther`.
///
/// Thread safe. Lock rank `kMetrics`; a leaf.
class RequestMetrics {
 public:
  /// Customer and priority of the requests whose own series was given up.
  static constexpr const char* kOther = "_other";

  /// \param max_series series kept beside `kOther`; at least 1.
  explicit RequestMetrics(std::size_t max_series) : max_series_(max_series) {}

  /// Counts one request.
  void Record(const MetricsKey& key, const RequestSample& sample);

  /// A consistent copy.
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
  /// Keys from the least to the most recently used.
  std::list<MetricsKey> lru_keys_;
  RequestSeries other_;
  bool has_other_ = false;
  std::map<Errc, std::uint64_t> errors_;
};

}  // namespace sycamoreford
