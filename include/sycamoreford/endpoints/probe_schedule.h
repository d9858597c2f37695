#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/endpoints/watched_endpoint.h"

namespace sycamoreford {

/// Selects the endpoint to probe next: the one whose last probe is oldest.
///
/// The caller limits the rate of probes by how often it calls `Next`. Thread
/// safety: none.
class ProbeSchedule {
 public:
  /// \param min_interval minimum time between two probes of the same endpoint.
  explicit ProbeSchedule(Duration min_interval) : min_interval_(min_interval) {}

  /// Replaces the endpoints to probe. An endpoint whose address is unchanged
  /// keeps the time of its last probe.
  void SetEndpoints(const std::vector<WatchedEndpoint>& endpoints);

  /// Returns the endpoint to probe and records that it is probed at `now`;
  /// `nullopt` if all were probed within the minimum interval.
  [[nodiscard]] std::optional<WatchedEndpoint> Next(TimePoint now);

 private:
  struct Entry {
    WatchedEndpoint endpoint;
    std::optional<TimePoint> probed_at;
  };

  Duration min_interval_;
  std::map<EndpointId, Entry> entries_;
};

/// Selects at most `max_count` of `endpoints` for the named daemon to probe, by
/// rendezvous hashing: the selection is stable across calls, differs between
/// daemons, and changes little when endpoints are added or removed.
[[nodiscard]] std::vector<WatchedEndpoint> ProbedSubset(
    std::vector<WatchedEndpoint> endpoints,
    const std::string& daemon,
    std::size_t max_count);

}  // namespace sycamoreford
