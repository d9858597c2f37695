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
  /// \param least_interval least time between two probes of one endpoint.
  explicit ProbeSchedule(Duration least_interval)
      : least_interval_(least_interval) {}

  /// Takes over the endpoints to probe; those that stay keep their turn.
  void SetEndpoints(const std::vector<WatchedEndpoint>& endpoints);

  /// The endpoint whose turn it is and counts it as probed now; nothing when
  /// all were probed within the least interval.
  [[nodiscard]] std::optional<WatchedEndpoint> Next(TimePoint now);

 private:
  struct Turn {
    WatchedEndpoint endpoint;
    std::optional<TimePoint> probed_at;
  };

  Duration least_interval_;
  std::map<EndpointId, Turn> turns_;
};

/// The part of `endpoints` that the daemon of this name probes, at most `most`
/// of them: the same part in each call, another part for another daemon, and
/// little of it changes when endpoints come and go (rendezvous hashing).
[[nodiscard]] std::vector<WatchedEndpoint> ProbedSubset(
    std::vector<WatchedEndpoint> endpoints,
    const std::string& daemon,
    std::size_t most);

}  // namespace sycamoreford
