#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/fleet/endpoint_run_id.h"

namespace sycamoreford {

/// Endpoints that want nothing from this daemon for a while.
///
/// A pause belongs to a run of an endpoint. It ends by time, or when a later
/// run is listed; a shorter pause that is asked for meanwhile does not end it,
/// nor does a response to an earlier request, nor does the endpoint's absence
/// from the list.
///
/// Thread safety: none.
class EndpointBackoffs {
 public:
  /// Maximum number of endpoints, more than the largest installation has.
  /// Beyond it, the pause that ends first is dropped.
  static constexpr std::size_t kMaxEndpoints = 1'024;
  /// Longer pauses are cut: an endpoint that means more has a fault.
  static constexpr std::chrono::hours kMaxTime{24};

  /// Called when a run of an endpoint has asked for a pause.
  ///
  /// \returns whether it had none.
  bool Add(const EndpointRunId& run, Duration time, TimePoint now);

  /// Time until anything may be sent to a run; 0 if it has no pause.
  [[nodiscard]] Duration TimeLeft(const EndpointRunId& run,
                                  TimePoint now) const;

  /// Ids of the endpoints with a run that has a pause.
  [[nodiscard]] std::set<std::string> Ids(TimePoint now) const;

  /// Removes the pauses that have ended.
  ///
  /// \returns the runs that had them.
  std::vector<EndpointRunId> Expire(TimePoint now);

  /// Number of pauses that have not been removed.
  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
  /// Incremented when a pause begins or is removed.
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

 private:
  struct Entry {
    std::uint64_t started_at_ms = 0;
    TimePoint until{};
  };

  std::map<std::string, Entry> entries_;
  std::uint64_t version_ = 0;
};

}  // namespace sycamoreford
