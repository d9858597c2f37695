#include "sycamoreford/metrics/request_metrics.h"

#include <mutex>

namespace sycamoreford {

void MetricsSnapshot::Add(const MetricsSnapshot& other) {
  for (const auto& [key, added] : other.series) {
    series[key].Add(added);
  }
  for (const auto& [code, count] : other.errors) {
    errors[code] += count;
  }
}

void RequestMetrics::Record(const MetricsKey& key,
                            const RequestSample& sample) {
  const std::lock_guard lock(mutex_);
  auto found = entries_.find(key);
  if (found == entries_.end()) {
    if (entries_.size() >= max_series_) {
      MergeLeastRecentlyUsed();
    }
    found = entries_.try_emplace(key).first;
    found->second.lru_position = lru_keys_.insert(lru_keys_.end(), key);
  }
  Entry& entry = found->second;
  lru_keys_.splice(lru_keys_.end(), lru_keys_, entry.lru_position);
  entry.series.Record(sample);
  if (sample.error) {
    ++errors_[*sample.error];
  }
}

void RequestMetrics::MergeLeastRecentlyUsed() {
  const auto oldest = entries_.find(lru_keys_.front());
  other_.Add(oldest->second.series);
  has_other_ = true;
  entries_.erase(oldest);
  lru_keys_.pop_front();
}

MetricsSnapshot RequestMetrics::Snapshot() const {
  const std::lock_guard lock(mutex_);
  MetricsSnapshot snapshot;
  for (const auto& [key, entry] : entries_) {
    snapshot.series[key] = entry.series;
  }
  if (has_other_) {
    snapshot.series[{kOther, kOther}].Add(other_);
  }
  snapshot.errors = errors_;
  return snapshot;
}

}  // namespace sycamoreford
