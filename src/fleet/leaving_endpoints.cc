#include "sycamoreford/fleet/leaving_endpoints.h"

#include <algorithm>

namespace sycamoreford {

bool LeavingEndpoints::Add(const LeavingRun& leaving) {
  const auto& [run, said_until_ms] = leaving;
  const std::uint64_t until_ms = std::max(run.started_at_ms, said_until_ms);
  const bool is_known = Contains({run.id, until_ms});
  const auto [found, is_new] =
      entries_.try_emplace(run.id, Entry{.number = last_number_ + 1});
  Entry& entry = found->second;
  entry.started_at_ms = std::max(entry.started_at_ms, run.started_at_ms);
  if (is_known) {
    return false;
  }
  entry.until_ms = until_ms;
  entry.concluded_at.reset();
  if (!is_new) {
    return true;
  }
  ++last_number_;
  if (entries_.size() > kMaxEndpoints) {
    entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                    [](const auto& a, const auto& b) {
                                      return a.second.number < b.second.number;
                                    }));
  }
  return true;
}

bool LeavingEndpoints::Contains(const EndpointRunId& run) const {
  const auto found = entries_.find(run.id);
  return found != entries_.end() && run.started_at_ms <= found->second.until_ms;
}

bool LeavingEndpoints::Expire(
    TimePoint now,
    const std::function<bool(const std::string&)>& is_listed) {
  if (now < next_sweep_) {
    return false;
  }
  next_sweep_ = now + kSweepInterval;
  bool has_ended = false;
  for (auto& [id, entry] : entries_) {
    if (entry.until_ms > entry.started_at_ms) {
      entry.concluded_at = entry.concluded_at.value_or(now);
      if (now - *entry.concluded_at >= kMaxStop) {
        entry.until_ms = entry.started_at_ms;
        entry.concluded_at.reset();
        has_ended = true;
      }
    }
    if (is_listed(id)) {
      entry.unlisted_since.reset();
    } else {
      entry.unlisted_since = entry.unlisted_since.value_or(now);
    }
  }
  std::erase_if(entries_, [&](const auto& it) {
    return it.second.unlisted_since &&
           now - *it.second.unlisted_since >= kMemory;
  });
  return has_ended;
}

std::vector<LeavingRun> LeavingEndpoints::Latest(std::size_t max_count) const {
  std::vector<std::pair<std::uint64_t, LeavingRun>> numbered;
  for (const auto& [id, entry] : entries_) {
    numbered.emplace_back(
        entry.number, LeavingRun{{id, entry.started_at_ms}, entry.until_ms});
  }
  std::sort(numbered.begin(), numbered.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  numbered.resize(std::min(numbered.size(), max_count));
  std::vector<LeavingRun> runs;
  runs.reserve(numbered.size());
  for (auto& [number, run] : numbered) {
    runs.push_back(std::move(run));
  }
  return runs;
}

}  // namespace sycamoreford
