#include "sycamoreford/endpoints/probe_schedule.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace sycamoreford {

void ProbeSchedule::SetEndpoints(
    const std::vector<WatchedEndpoint>& endpoints) {
  std::map<EndpointId, Turn> turns;
  for (const WatchedEndpoint& endpoint : endpoints) {
    Turn& turn = turns[endpoint.id];
    const auto known = turns_.find(endpoint.id);
    if (known != turns_.end() &&
        known->second.endpoint.address == endpoint.address) {
      turn.probed_at = known->second.probed_at;
    }
    turn.endpoint = endpoint;
  }
  turns_ = std::move(turns);
}

std::optional<WatchedEndpoint> ProbeSchedule::Next(TimePoint now) {
  const auto next = std::min_element(
      turns_.begin(), turns_.end(), [](const auto& a, const auto& b) {
        return a.second.probed_at < b.second.probed_at;
      });
  if (next == turns_.end()) {
    return std::nullopt;
  }
  Turn& turn = next->second;
  if (turn.probed_at && now - *turn.probed_at < least_interval_) {
    return std::nullopt;
  }
  turn.probed_at = now;
  return turn.endpoint;
}

std::vector<WatchedEndpoint> ProbedSubset(
    std::vector<WatchedEndpoint> endpoints,
    const std::string& daemon,
    std::size_t most) {
  if (endpoints.size() <= most) {
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
  endpoints.resize(most);
  return endpoints;
}

}  // namespace sycamoreford
