#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/failure.h"
#include "sycamoreford/drain/drain_action.h"
#include "sycamoreford/drain/drain_state.h"

namespace sycamoreford {

/// Bounds of a planned stop.
struct DrainLimits {
  /// Time for the balancer to notice; requests are accepted meanwhile.
  std::chrono::milliseconds notice_period{2'000};
  /// Longest time for the requests in flight after that.
  std::chrono::milliseconds finish_timeout{130'000};
  /// Longest time for the hand-over.
  std::chrono::milliseconds hand_over_timeout{5'000};
};

/// Decides the steps of a planned stop.
///
/// A second request to stop changes nothing: neither does it cut off what is
/// in flight nor does it lengthen a bound. Thread safety: none.
class DrainMachine {
 public:
  explicit DrainMachine(DrainLimits limits) : limits_(limits) {}

  /// Replaces the limits of the steps that have not begun.
  void SetLimits(DrainLimits limits) noexcept { limits_ = limits; }

  /// A signal or the operator asks for a stop.
  ///
  /// \returns `kFailReadiness` the first time, `kNone` each further time.
  DrainAction OnStopRequested(TimePoint now);

  /// Time has passed.
  ///
  /// \param in_flight requests that are received or answered at present.
  DrainAction OnTick(TimePoint now, std::size_t in_flight);

  /// The hand-over has ended.
  ///
  /// \returns `kExit`, or `kUnexpectedEvent` outside of `kHandingOver`.
  Result<DrainAction> OnHandedOver();

  [[nodiscard]] DrainState state() const noexcept { return state_; }
  /// When the present state ends at the latest; the far future for `kServing`.
  [[nodiscard]] TimePoint deadline() const noexcept { return deadline_; }
  /// Requests that were cut off at the bound.
  [[nodiscard]] std::size_t cut_off() const noexcept { return cut_off_; }
  /// Requests to stop after the first.
  [[nodiscard]] std::uint32_t repeated_stop_requests() const noexcept {
    return repeated_stop_requests_;
  }

 private:
  DrainAction Enter(DrainState state, TimePoint deadline, DrainAction action);

  DrainLimits limits_;
  DrainState state_ = DrainState::kServing;
  TimePoint deadline_ = TimePoint::max();
  std::size_t cut_off_ = 0;
  std::uint32_t repeated_stop_requests_ = 0;
};

}  // namespace sycamoreford
