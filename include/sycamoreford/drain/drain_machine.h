#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/failure.h"
#include "sycamoreford/drain/drain_action.h"
#include "sycamoreford/drain/drain_state.h"

namespace sycamoreford {

/// Time limits of a planned stop.
struct DrainLimits {
  /// Time for the load balancer to see the failing readiness check; requests
  /// are accepted meanwhile.
  std::chrono::milliseconds notice_period{2'000};
  /// Maximum time for requests in flight, after the notice period; the time by
  /// which the listener was closed too late is part of it.
  std::chrono::milliseconds finish_timeout{130'000};
  /// Maximum time for the hand-over.
  std::chrono::milliseconds hand_over_timeout{5'000};
};

/// State machine of a planned stop.
///
/// Further stop requests have no effect: they neither cut off requests in
/// flight nor extend a deadline. Thread safety: none.
class DrainMachine {
 public:
  explicit DrainMachine(DrainLimits limits) : limits_(limits) {}

  /// Replaces the limits; applies to states that are entered later.
  void SetLimits(DrainLimits limits) noexcept { limits_ = limits; }

  /// Handles a stop request from a signal or an operator.
  ///
  /// \returns `kFailReadiness` for the first request, `kNone` for all others.
  DrainAction OnStopRequested(TimePoint now);

  /// Checks for a due transition; to be called regularly.
  ///
  /// \param in_flight number of requests being received or answered, or of
  ///     connections that may still carry one; zero once all work has finished.
  DrainAction OnTick(TimePoint now, std::size_t in_flight);

  /// Handles the end of the hand-over.
  ///
  /// \returns `kExit`. Errors: `kUnexpectedEvent` in states other than
  ///     `kHandingOver`.
  Result<DrainAction> OnHandedOver();

  [[nodiscard]] DrainState state() const noexcept { return state_; }
  /// Latest end of the current state; `TimePoint::max()` in `kServing`.
  [[nodiscard]] TimePoint deadline() const noexcept { return deadline_; }
  /// Value of `in_flight` when the remaining requests were cut off; zero if
  /// none were.
  [[nodiscard]] std::size_t cut_off() const noexcept { return cut_off_; }
  /// Number of stop requests after the first.
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
