#include "sycamoreford/route/endpoint_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sycamoreford {
namespace {

constexpr std::chrono::milliseconds kFirstSuspicion{500};
constexpr std::uint32_t kMostDoublings = 5;
/// Weight of the newest report in the smoothed pace.
constexpr double kPaceWeight = 0.3;
/// An endpoint is slow from this multiple of the median pace on.
constexpr double kSlowFrom = 1.5;
constexpr double kLeastSpeed = 0.05;
/// Time in which half of a slow endpoint's loss is forgotten.
constexpr std::chrono::duration<double> kSlowHalfLife{5};
constexpr std::chrono::duration<double> kWarmUp{10};
constexpr double kColdSpeed = 0.1;
constexpr std::chrono::duration<double> kReportLife{2};

using Seconds = std::chrono::duration<double>;

}  // namespace

EndpointLoad EndpointTable::View::LoadOf(const EndpointId& id) const {
  const auto found = loads_.find(id);
  return found == loads_.end() ? EndpointLoad{} : found->second;
}

double EndpointTable::MedianPace() const {
  std::vector<double> paces;
  for (const auto& [id, entry] : entries_) {
    if (entry.pace > 0) {
      paces.push_back(entry.pace);
    }
  }
  if (paces.empty()) {
    return 0;
  }
  const auto middle =
      paces.begin() + static_cast<std::ptrdiff_t>((paces.size() - 1) / 2);
  std::nth_element(paces.begin(), middle, paces.end());
  return *middle;
}

double EndpointTable::SpeedOf(const Entry& entry,
                              double median,
                              TimePoint now) {
  double speed = 1;
  if (entry.pace > kSlowFrom * median) {
    const double aged = std::exp2(-(now - entry.pace_at) / kSlowHalfLife);
    speed = 1 - (1 - median / entry.pace) * aged;
  }
  const Seconds warm = now - entry.warms_since;
  if (entry.warms_since != TimePoint{} && warm < kWarmUp) {
    speed *= kColdSpeed + (1 - kColdSpeed) * (warm / kWarmUp);
  }
  return std::max(speed, kLeastSpeed);
}

double EndpointTable::ReportedOf(const Entry& entry, TimePoint now) {
  const Seconds age = now - entry.reported_at;
  return age < kReportLife ? entry.reported * (1 - age / kReportLife) : 0;
}

EndpointTable::View EndpointTable::Snapshot(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  const double median = MedianPace();
  View view;
  for (const auto& [id, entry] : entries_) {
    const bool suspected =
        entry.failures > 0 && (now < entry.suspected_until || entry.has_trial);
    view.loads_.emplace_hint(view.loads_.end(), id,
                             EndpointLoad{.in_flight = entry.in_flight,
                                          .reported = ReportedOf(entry, now),
                                          .speed = SpeedOf(entry, median, now),
                                          .is_leaving = entry.is_leaving,
                                          .is_suspected = suspected});
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
                           EndpointVerdict verdict,
                           TimePoint now) {
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[id];
  switch (verdict) {
    case EndpointVerdict::kGood:
      if (entry.failures > 0) {
        entry.warms_since = now;
      }
      entry.failures = 0;
      entry.suspected_until = {};
      return;
    case EndpointVerdict::kBad: {
      const std::uint32_t doublings = std::min(entry.failures, kMostDoublings);
      entry.suspected_until = now + kFirstSuspicion * (1U << doublings);
      ++entry.failures;
      return;
    }
    case EndpointVerdict::kSlow: {
      const double median = MedianPace();
      const double usual = median > 0 ? median : 1;
      entry.pace =
          std::min(2 * std::max(entry.pace, usual), usual / kLeastSpeed);
      entry.pace_at = now;
      return;
    }
  }
}

void EndpointTable::ReportPace(const EndpointId& id,
                               double multiple,
                               TimePoint now) {
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[id];
  entry.pace = entry.pace > 0
                   ? entry.pace + kPaceWeight * (multiple - entry.pace)
                   : multiple;
  entry.pace_at = now;
}

void EndpointTable::ReportLoad(const EndpointId& id,
                               double requests,
                               TimePoint now) {
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[id];
  entry.reported = requests;
  entry.reported_at = now;
}

void EndpointTable::SetLeaving(const EndpointId& id, bool is_leaving) {
  const std::lock_guard lock(mutex_);
  entries_[id].is_leaving = is_leaving;
}

void EndpointTable::Keep(const std::set<EndpointId>& configured,
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
      entry.warms_since = now;
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

ChainHold::ChainHold(EndpointTable& table, Chain chain)
    : table_(table), chain_(std::move(chain)), trials_(table_.Begin(chain_)) {}

ChainHold::~ChainHold() {
  table_.End(chain_, trials_);
}

}  // namespace sycamoreford
