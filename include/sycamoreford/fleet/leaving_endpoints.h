#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/fleet/endpoint_run_id.h"
#include "sycamoreford/fleet/leaving_run.h"

namespace sycamoreford {

/// Remembers which runs of endpoints are leaving, also while they are missing
/// from every list.
///
/// A run that leaves implies that the earlier runs under its id are over: a
/// list that shows one of them is outdated.
///
/// Nothing but the end of a run ends its leaving, so an endpoint is forgotten
/// only when no such run has been listed for `kMemory`. Beyond `kMaxEndpoints`,
/// the one that was learned first is dropped. What was concluded from times of
/// clocks that may differ holds for `kMaxStop`, after which a run that leaves
/// has ended.
///
/// Thread safety: none.
class LeavingEndpoints {
 public:
  static constexpr std::size_t kMaxEndpoints = 4'096;
  static constexpr std::chrono::minutes kMemory{10};
  static constexpr std::chrono::seconds kMaxStop{60};

  /// \returns whether any of these runs was not known to be leaving.
  bool Add(const LeavingRun& leaving);

  [[nodiscard]] bool Contains(const EndpointRunId& run) const;

  /// Forgets endpoints that have not been listed for `kMemory`, and what was
  /// concluded from clocks `kMaxStop` ago. Does nothing if it was called less
  /// than `kSweepInterval` ago.
  ///
  /// \param is_listed whether a run of an endpoint that is leaving is in the
  ///     current list.
  /// \returns whether runs are no longer taken for leaving.
  bool Expire(TimePoint now,
              const std::function<bool(const std::string&)>& is_listed);

  /// What was learned last, newest first.
  [[nodiscard]] std::vector<LeavingRun> Latest(std::size_t max_count) const;

  /// Number of endpoints.
  [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

 private:
  static constexpr std::chrono::seconds kSweepInterval{1};

  struct Entry {
    /// Order in which the endpoints were learned.
    std::uint64_t number = 0;
    /// Start of the last run that is known by its start.
    std::uint64_t started_at_ms = 0;
    /// Runs that started later are not known to leave.
    std::uint64_t until_ms = 0;
    /// When `until_ms` was first seen to be later than `started_at_ms`.
    std::optional<TimePoint> concluded_at{};
    /// When such a run was first seen to be missing from the list.
    std::optional<TimePoint> unlisted_since{};
  };

  /// By id.
  std::map<std::string, Entry> entries_;
  std::uint64_t last_number_ = 0;
  TimePoint next_sweep_{};
};

}  // namespace sycamoreford
