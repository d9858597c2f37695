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
    if (entries_.size() >= most_series_) {
      Fold();
    }
    found = entries_.try_emplace(key).first;
    found->second.use = uses_.insert(uses_.end(), key);
  }
  Entry& entry = found->second;
  uses_.splice(uses_.end(), uses_, entry.use);
  entry.series.Record(sample);
  if (sample.error) {
    ++errors_[*sample.error];
  }
}

void RequestMetrics::Fold() {
  const auto oldest = entries_.find(uses_.front());
  folded_.Add(oldest->second.series);
  has_folded_ = true;
  entries_.erase(oldest);
  uses_.pop_front();
}

MetricsSnapshot RequestMetrics::Snapshot() const {
  const std::lock_guard lock(mutex_);
  MetricsSnapshot snapshot;
  for (const auto& [key, entry] : entries_) {
    snapshot.series[key] = entry.series;
  }
  if (has_folded_) {
    snapshot.series[{kFolded, kFolded}].Add(folded_);
  }
  snapshot.errors = errors_;
  return snapshot;
}

}  // namespace sycamoreford
