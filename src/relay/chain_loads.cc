#include "sycamoreford/relay/chain_loads.h"

#include <algorithm>

namespace sycamoreford {

void ChainLoads::OnReport(const std::string& first,
                          std::uint32_t requests,
                          TimePoint now) {
  Load& load = loads_[first];
  load.requests = requests;
  load.reported_at = now;
  load.changes.clear();
}

void ChainLoads::OnTold(const ChainLoadReport& report, TimePoint now) {
  const TimePoint reported_at = now - report.age;
  if (report.age < Duration::zero() || report.age >= kTtl ||
      report.requests > kMaxRequests ||
      (loads_.size() >= kMaxTold && !loads_.contains(report.first_endpoint))) {
    return;
  }
  Load& load = loads_[report.first_endpoint];
  load.told_at = std::max(load.told_at, reported_at);
  if (reported_at > load.reported_at) {
    load.requests = report.requests;
    load.reported_at = reported_at;
  }
}

void ChainLoads::Change(const std::string& first, int requests, TimePoint now) {
  std::deque<OwnChange>& changes = loads_[first].changes;
  while (!changes.empty() && now - changes.front().at > kTtl) {
    changes.pop_front();
  }
  changes.push_back({now, requests});
}

std::optional<double> ChainLoads::Requests(const std::string& first,
                                           TimePoint now) const {
  const auto found = loads_.find(first);
  if (found == loads_.end() || now - found->second.reported_at >= kTtl) {
    return std::nullopt;
  }
  const Load& load = found->second;
  double requests = load.requests;
  for (const OwnChange& change : load.changes) {
    requests += change.at >= load.reported_at ? change.requests : 0;
  }
  return std::max(0.0, requests);
}

Duration ChainLoads::Age(const std::string& first, TimePoint now) const {
  const auto found = loads_.find(first);
  return found == loads_.end()
             ? Duration(kTtl)
             : std::min(now - found->second.reported_at, Duration(kTtl));
}

std::optional<ChainLoadReport> ChainLoads::TakeUntold(const std::string& first,
                                                      TimePoint now) {
  const auto found = loads_.find(first);
  if (found == loads_.end() || now - found->second.reported_at >= kTtl ||
      found->second.reported_at - found->second.told_at < kTellInterval) {
    return std::nullopt;
  }
  Load& load = found->second;
  load.told_at = load.reported_at;
  return ChainLoadReport{.first_endpoint = first,
                         .requests = load.requests,
                         .age = now - load.reported_at};
}

void ChainLoads::Expire(TimePoint now) {
  std::erase_if(loads_, [&](const auto& it) {
    return now - it.second.reported_at >= kTtl &&
           (it.second.changes.empty() ||
            now - it.second.changes.back().at >= kTtl);
  });
}

}  // namespace sycamoreford
