#include "sycamoreford/fleet/leaving_endpoints.h"

#include <algorithm>

namespace sycamoreford {

bool LeavingEndpoints::Add(const EndpointRunId& run) {
  const auto [entry, is_new] =
      runs_.try_emplace(run, Entry{.number = last_number_ + 1});
  if (!is_new) {
    return false;
  }
  ++last_number_;
  if (runs_.size() > kMaxRuns) {
    runs_.erase(std::min_element(runs_.begin(), runs_.end(),
                                 [](const auto& a, const auto& b) {
                                   return a.second.number < b.second.number;
                                 }));
  }
  return true;
}

void LeavingEndpoints::Expire(
    TimePoint now,
    const std::function<bool(const EndpointRunId&)>& is_listed) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepInterval;
  for (auto& [run, entry] : runs_) {
    if (is_listed(run)) {
      entry.unlisted_since.reset();
    } else {
      entry.unlisted_since = entry.unlisted_since.value_or(now);
    }
  }
  std::erase_if(runs_, [&](const auto& it) {
    return it.second.unlisted_since &&
           now - *it.second.unlisted_since >= kMemory;
  });
}

std::vector<EndpointRunId> LeavingEndpoints::Latest(
    std::size_t max_count) const {
  std::vector<std::pair<std::uint64_t, EndpointRunId>> numbered;
  for (const auto& [run, entry] : runs_) {
    numbered.emplace_back(entry.number, run);
  }
  std::sort(numbered.rbegin(), numbered.rend());
  numbered.resize(std::min(numbered.size(), max_count));
  std::vector<EndpointRunId> runs;
  runs.reserve(numbered.size());
  for (auto& [number, run] : numbered) {
    runs.push_back(std::move(run));
  }
  return runs;
}

}  // namespace sycamoreford
