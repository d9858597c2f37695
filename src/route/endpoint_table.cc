#include "sycamoreford/route/endpoint_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamoreford {
namespace {

constexpr std::chrono::milliseconds kInitialSuspicionTime{500};
constexpr std::uint32_t kMaxSuspicionDoublings = 5;
/// Weight of the newest ratio in the smoothed latency ratio.
constexpr double kSmoothingFactor = 0.3;
/// An endpoint is slow if its latency ratio exceeds this multiple of the
/// median.
constexpr double kSlowThreshold = 1.5;
constexpr double kMinSpeed = 0.05;
/// Half-life of the speed reduction of a slow endpoint.
constexpr std::chrono::duration<double> kSlowHalfLife{5};
constexpr std::chrono::duration<double> kWarmUpTime{10};
constexpr double kInitialWarmUpSpeed = 0.1;
constexpr std::chrono::duration<double> kLoadReportTtl{2};

using Seconds = std::chrono::duration<double>;

}  // namespace

EndpointLoad EndpointTable::View::LoadOf(const EndpointId& id) const {
  const auto found = loads_.find(id);
  return found == loads_.end() ? EndpointLoad{} : found->second;
}

double EndpointTable::MedianLatencyRatio() const {
  std::vector<double> latency_ratios;
  for (const auto& [id, entry] : entries_) {
    if (entry.latency_ratio > 0) {
      latency_ratios.push_back(entry.latency_ratio);
    }
  }
  if (latency_ratios.empty()) {
    return 0;
  }
  const auto middle =
      latency_ratios.begin() +
      static_cast<std::ptrdiff_t>((latency_ratios.size() - 1) / 2);
  std::nth_element(latency_ratios.begin(), middle, latency_ratios.end());
  return *middle;
}

double EndpointTable::SpeedOf(const Entry& entry,
                              double median,
                              TimePoint now) {
  double speed = 1;
  if (entry.latency_ratio > kSlowThreshold * median) {
    const double decay =
        std::exp2(-(now - entry.latency_ratio_at) / kSlowHalfLife);
    speed = 1 - (1 - median / entry.latency_ratio) * decay;
  }
  const Seconds warm_up = now - entry.warm_up_start;
  if (entry.warm_up_start != TimePoint{} && warm_up < kWarmUpTime) {
    speed *= kInitialWarmUpSpeed +
             (1 - kInitialWarmUpSpeed) * (warm_up / kWarmUpTime);
  }
  return std::max(speed, kMinSpeed);
}

double EndpointTable::ReportedRequestsOf(const Entry& entry, TimePoint now) {
  const Seconds age = now - entry.reported_at;
  return age < kLoadReportTtl
             ? entry.reported_requests * (1 - age / kLoadReportTtl)
             : 0;
}

EndpointTable::View EndpointTable::Snapshot(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  const double median = MedianLatencyRatio();
  View view;
  for (const auto& [id, entry] : entries_) {
    const bool is_suspected =
        entry.failures > 0 && (now < entry.suspected_until || entry.has_trial);
    view.loads_.emplace_hint(
        view.loads_.end(), id,
        EndpointLoad{.in_flight = entry.in_flight,
                     .reported_requests = ReportedRequestsOf(entry, now),
                     .speed = SpeedOf(entry, median, now),
                     .is_leaving = entry.is_leaving,
                     .is_suspected = is_suspected});
  }
  return view;
}

EndpointTable::Trials EndpointTable::Begin(const Chain& chain) {
  const std::lock_guard lock(mutex_);
  Trials trials;
  for (std::size_t i = 0; i < chain.size(); ++i) {
    Entry& entry = entries_[chain[i].endpoint];
    ++entry.in_flight;
    if (entry.failures > 0 && !entry.has_trial) {
      entry.has_trial = true;
      trials.push_back(i);
    }
  }
  return trials;
}

void EndpointTable::End(const Chain& chain, const Trials& trials) {
  const std::lock_guard lock(mutex_);
  for (const std::size_t index : trials) {
    entries_[chain[index].endpoint].has_trial = false;
  }
  for (const ChainStage& stage : chain) {
    const auto found = entries_.find(stage.endpoint);
    Entry& entry = found->second;
    --entry.in_flight;
  }
}

void EndpointTable::Report(const EndpointId& id,
                           AttemptResult result,
                           TimePoint now) {
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[id];
  switch (result) {
    case AttemptResult::kSuccess:
      if (entry.failures > 0) {
        entry.warm_up_start = now;
      }
      entry.failures = 0;
      entry.suspected_until = {};
      return;
    case AttemptResult::kFailure: {
      const std::uint32_t doublings =
          std::min(entry.failures, kMaxSuspicionDoublings);
      entry.suspected_until = now + kInitialSuspicionTime * (1U << doublings);
      ++entry.failures;
      return;
    }
    case AttemptResult::kSlow: {
      const double median = MedianLatencyRatio();
      const double expected_ratio = median > 0 ? median : 1;
      entry.latency_ratio =
          std::min(2 * std::max(entry.latency_ratio, expected_ratio),
                   expected_ratio / kMinSpeed);
      entry.latency_ratio_at = now;
      return;
    }
  }
}

void EndpointTable::ReportLatencyRatio(const EndpointId& id,
                                       double ratio,
                                       TimePoint now) {
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[id];
  entry.latency_ratio =
      entry.latency_ratio > 0
          ? entry.latency_ratio +
                kSmoothingFactor * (ratio - entry.latency_ratio)
          : ratio;
  entry.latency_ratio_at = now;
}

void EndpointTable::ReportLoad(const EndpointId& id,
                               double requests,
                               TimePoint now) {
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[id];
  entry.reported_requests = requests;
  entry.reported_at = now;
}

void EndpointTable::SetLeaving(const EndpointId& id, bool is_leaving) {
  const std::lock_guard lock(mutex_);
  entries_[id].is_leaving = is_leaving;
}

void EndpointTable::SetConfigured(const std::set<EndpointId>& configured,
                                  TimePoint now) {
  const std::lock_guard lock(mutex_);
  const bool was_empty = entries_.empty();
  std::erase_if(entries_, [&](const auto& item) {
    return !configured.contains(item.first) && item.second.in_flight == 0;
  });
  for (auto& [id, entry] : entries_) {
    entry.is_configured = entry.is_configured && configured.contains(id);
  }
  for (const EndpointId& id : configured) {
    Entry& entry = entries_[id];
    if (!entry.is_configured && !was_empty) {
      entry.warm_up_start = now;
    }
    entry.is_configured = true;
  }
}

std::uint32_t EndpointTable::InFlight(const EndpointId& id) const {
  const std::lock_guard lock(mutex_);
  const auto found = entries_.find(id);
  return found == entries_.end() ? 0 : found->second.in_flight;
}

std::size_t EndpointTable::size() const {
  const std::lock_guard lock(mutex_);
  return entries_.size();
}

ChainInFlightGuard::ChainInFlightGuard(EndpointTable& table, Chain chain)
    : table_(table), chain_(std::move(chain)), trials_(table_.Begin(chain_)) {}

ChainInFlightGuard::~ChainInFlightGuard() {
  table_.End(chain_, trials_);
}

}  // namespace sycamoreford
