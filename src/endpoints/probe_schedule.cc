#include "sycamoreford/endpoints/probe_schedule.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace sycamoreford {

void ProbeSchedule::SetEndpoints(
    const std::vector<WatchedEndpoint>& endpoints) {
  std::map<EndpointId, Entry> entries;
  for (const WatchedEndpoint& endpoint : endpoints) {
    Entry& entry = entries[endpoint.id];
    const auto known = entries_.find(endpoint.id);
    if (known != entries_.end() &&
        known->second.endpoint.address == endpoint.address) {
      entry.probed_at = known->second.probed_at;
    }
    entry.endpoint = endpoint;
  }
  entries_ = std::move(entries);
}

std::optional<WatchedEndpoint> ProbeSchedule::Next(TimePoint now) {
  const auto next = std::min_element(
      entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
        return a.second.probed_at < b.second.probed_at;
      });
  if (next == entries_.end()) {
    return std::nullopt;
  }
  Entry& entry = next->second;
  if (entry.probed_at && now - *entry.probed_at < min_interval_) {
    return std::nullopt;
  }
  entry.probed_at = now;
  return entry.endpoint;
}

std::vector<WatchedEndpoint> ProbedSubset(
    std::vector<WatchedEndpoint> endpoints,
    const std::string& daemon,
    std::size_t max_count) {
  if (endpoints.size() <= max_count) {
    return endpoints;
  }
  const XXH64_hash_t seed = XXH64(daemon.data(), daemon.size(), 0);
  const auto weight = [seed](const WatchedEndpoint& endpoint) {
    const std::string& name = endpoint.id.value();
    return XXH64(name.data(), name.size(), seed);
  };
  std::sort(endpoints.begin(), endpoints.end(),
            [&](const WatchedEndpoint& a, const WatchedEndpoint& b) {
              return std::pair(weight(a), a.id) < std::pair(weight(b), b.id);
            });
  endpoints.resize(max_count);
  return endpoints;
}

}  // namespace sycamoreford
