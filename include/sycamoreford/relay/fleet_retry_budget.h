#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Bound on repeated requests of a service over all daemons together.
struct RetryLimits {
  /// Repeats for each request of callers.
  double ratio = 0.1;
  /// Repeats beyond that, over all daemons.
  double extra = 0;
  /// Span over which both count.
  std::chrono::milliseconds window{10'000};
};

/// What a daemon has sent for a service within the window.
struct RetryUsage {
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
};

/// The allowance of one service as one daemon uses it.
///
/// Daemons tell each other what they have used. Between two tellings each takes
/// the others to repeat as much as itself, since a lost endpoint hits all of
/// them at once. As long as some daemon has not told, this one keeps to its own
/// part: the ratio of its own requests, and the extra divided by the number of
/// daemons. Load answered: many endpoints fail at once, also where callers
/// reach few daemons, and repeats must not add up beyond the bound.
///
/// Thread safety: none.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(RetryLimits limits) : limits_(limits) {}

  /// Replaces the allowance. Precondition: the window stays as it is, or what
  /// was counted may be forgotten.
  void SetLimits(RetryLimits limits) { limits_ = limits; }

  /// A caller's request for the service.
  void OnRequest(TimePoint now);

  /// Takes one repeat.
  ///
  /// \param daemons daemons that share the allowance; at least 1.
  /// \returns whether it may be sent.
  [[nodiscard]] bool TryAcquire(TimePoint now, std::uint32_t daemons);

  /// What this daemon has used, to be told to the others.
  ///
  /// Repeats after this call count as not told.
  [[nodiscard]] RetryUsage ReportUsage(TimePoint now);

  /// Another daemon told what it has used.
  void OnUsageReport(const std::string& daemon,
                     RetryUsage usage,
                     TimePoint now);

 private:
  /// Slices of a window, and one more: the oldest is in it in part only.
  static constexpr std::size_t kWindowSlices = 20;
  static constexpr std::size_t kSlices = kWindowSlices + 1;

  struct Slice {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  struct PeerUsage {
    RetryUsage usage;
    TimePoint received_at{};
  };

  Slice& CurrentSlice(TimePoint now);
  [[nodiscard]] RetryUsage OwnUsage(TimePoint now);

  RetryLimits limits_;
  std::array<Slice, kSlices> slices_{};
  std::map<std::string, PeerUsage> peer_usage_;
  /// Repeats since the last telling.
  std::uint32_t unreported_retries_ = 0;
};

}  // namespace sycamoreford
