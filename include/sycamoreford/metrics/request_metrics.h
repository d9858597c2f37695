#pragma once

#include <cstddef>
#include <list>
#include <map>

#include "sycamoreford/core/ranked_mutex.h"
#include "sycamoreford/metrics/metrics_snapshot.h"

namespace sycamoreford {

/// The metrics of one daemon, bounded in number: when a new series finds no
/// place, the one that was used least recently is added to `kFolded`.
///
/// Thread safe. Lock rank `kMetrics`; a leaf.
class RequestMetrics {
 public:
  /// Customer and priority of the requests whose own series was given up.
  static constexpr const char* kFolded = "_other";

  /// \param most_series series kept beside `kFolded`; at least 1.
  explicit RequestMetrics(std::size_t most_series)
      : most_series_(most_series) {}

  /// Counts one request.
  void Record(const MetricsKey& key, const RequestSample& sample);

  /// A consistent copy.
  [[nodiscard]] MetricsSnapshot Snapshot() const;

 private:
  struct Entry {
    RequestSeries series;
    std::list<MetricsKey>::iterator use;
  };

  void Fold();

  std::size_t most_series_;
  mutable RankedMutex mutex_{LockRank::kMetrics};
  std::map<MetricsKey, Entry> entries_;
  /// Keys from the least to the most recently used.
  std::list<MetricsKey> uses_;
  RequestSeries folded_;
  bool has_folded_ = false;
  std::map<Errc, std::uint64_t> errors_;
};

}  // namespace sycamoreford
