#include "sycamoreford/relay/endpoint_backoffs.h"

#include <algorithm>

namespace sycamoreford {

bool EndpointBackoffs::Add(const EndpointRunId& run,
                           Duration time,
                           TimePoint now) {
  const TimePoint until = now + std::min<Duration>(time, kMaxTime);
  const bool had_none = TimeLeft(run, now) <= Duration::zero();
  Entry& entry = entries_[run.id];
  if (run.started_at_ms < entry.started_at_ms) {
    return false;
  }
  if (run.started_at_ms > entry.started_at_ms) {
    entry = {.started_at_ms = run.started_at_ms};
  }
  entry.until = std::max(entry.until, until);
  version_ += had_none ? 1 : 0;
  if (entries_.size() > kMaxEndpoints) {
    entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.second.until < b.second.until;
                                    }));
  }
  return had_none;
}

Duration EndpointBackoffs::TimeLeft(const EndpointRunId& run,
                                    TimePoint now) const {
  const auto found = entries_.find(run.id);
  // An older run than the one that asked is an outdated entry of the list.
  if (found == entries_.end() ||
      run.started_at_ms > found->second.started_at_ms) {
    return Duration::zero();
  }
  return std::max<Duration>(found->second.until - now, Duration::zero());
}

std::set<std::string> EndpointBackoffs::Ids(TimePoint now) const {
  std::set<std::string> ids;
  for (const auto& [id, entry] : entries_) {
    if (now < entry.until) {
      ids.insert(id);
    }
  }
  return ids;
}

std::vector<EndpointRunId> EndpointBackoffs::Expire(TimePoint now) {
  std::vector<EndpointRunId> ended;
  std::erase_if(entries_, [&](const auto& it) {
    const auto& [id, entry] = it;
    if (now < entry.until) {
      return false;
    }
    ended.push_back({id, entry.started_at_ms});
    return true;
  });
  version_ += ended.empty() ? 0 : 1;
  return ended;
}

}  // namespace sycamoreford
