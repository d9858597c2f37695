#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Bound on repeated requests of a service over all daemons together.
struct RetryAllowance {
  /// Repeats for each request of callers.
  double ratio = 0.1;
  /// Repeats beyond that, over all daemons.
  double extra = 0;
  /// Span over which both count.
  std::chrono::milliseconds window{10'000};
};

/// One daemon's part of the allowance of one service.
///
/// Each daemon knows only its own traffic: the ratio is applied to it, and the
/// extra is divided by the number of daemons. Load answered: many endpoints
/// fail at once, and repeats must not add up beyond the bound.
///
/// Thread safety: none.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(RetryAllowance allowance) : allowance_(allowance) {}

  /// A caller's request for the service.
  void OnRequest(TimePoint now);

  /// Takes one repeat.
  ///
  /// \param daemons daemons that share the allowance; at least 1.
  /// \returns whether it may be sent.
  [[nodiscard]] bool TryTake(TimePoint now, std::uint32_t daemons);

  /// Gives back a repeat that was taken and not sent.
  void GiveBack(TimePoint now);

 private:
  /// Slices of a window, and one more: the oldest is in it in part only.
  static constexpr std::size_t kWindowSlices = 20;
  static constexpr std::size_t kSlices = kWindowSlices + 1;

  struct Slice {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };

  Slice& At(TimePoint now);

  RetryAllowance allowance_;
  std::array<Slice, kSlices> slices_{};
};

}  // namespace sycamoreford
