#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/endpoints/watched_endpoint.h"

namespace sycamoreford {

/// Which endpoint to ask for its state next: the one that waits longest.
///
/// The caller bounds the probes per second by how often it asks. Thread
/// safety: none.
class ProbeSchedule {
 public:
  /// \param min_interval least time between two probes of one endpoint.
  explicit ProbeSchedule(Duration min_interval) : min_interval_(min_interval) {}

  /// Takes over the endpoints to probe; those that stay keep their entry.
  void SetEndpoints(const std::vector<WatchedEndpoint>& endpoints);

  /// The endpoint whose entry it is and counts it as probed now; nothing when
  /// all were probed within the least interval.
  [[nodiscard]] std::optional<WatchedEndpoint> Next(TimePoint now);

 private:
  struct Entry {
    WatchedEndpoint endpoint;
    std::optional<TimePoint> probed_at;
  };

  Duration min_interval_;
  std::map<EndpointId, Entry> entries_;
};

/// The part of `endpoints` that the daemon of this name probes, at max_count
/// `max_count` of them: the same part in each call, another part for another
/// daemon, and little of it changes when endpoints come and go (rendezvous
/// hashing).
[[nodiscard]] std::vector<WatchedEndpoint> ProbedSubset(
    std::vector<WatchedEndpoint> endpoints,
    const std::string& daemon,
    std::size_t max_count);

}  // namespace sycamoreford
