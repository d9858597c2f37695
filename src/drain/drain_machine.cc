#include "sycamoreford/drain/drain_machine.h"

namespace sycamoreford {

std::string_view ToString(DrainState state) noexcept {
  switch (state) {
    case DrainState::kServing:
      return "serving";
    case DrainState::kNotReady:
      return "noticed";
    case DrainState::kFinishing:
      return "finishing";
    case DrainState::kHandingOver:
      return "handing_over";
    case DrainState::kExited:
      return "exited";
  }
  return "exited";
}

DrainAction DrainMachine::OnStopRequested(TimePoint now) {
  if (state_ != DrainState::kServing) {
    ++repeated_stop_requests_;
    return DrainAction::kNone;
  }
  return Enter(DrainState::kNotReady, now + limits_.notice_period,
               DrainAction::kFailReadiness);
}

DrainAction DrainMachine::OnTick(TimePoint now, std::size_t in_flight) {
  switch (state_) {
    case DrainState::kServing:
    case DrainState::kExited:
      return DrainAction::kNone;
    case DrainState::kNotReady:
      if (now < deadline_) {
        return DrainAction::kNone;
      }
      // A tick that comes late must not extend the stop.
      return Enter(DrainState::kFinishing, deadline_ + limits_.finish_timeout,
                   DrainAction::kCloseListener);
    case DrainState::kFinishing:
      if (in_flight == 0) {
        return Enter(DrainState::kHandingOver, now + limits_.hand_over_timeout,
                     DrainAction::kHandOver);
      }
      if (now < deadline_) {
        return DrainAction::kNone;
      }
      cut_off_ = in_flight;
      return Enter(DrainState::kHandingOver, now + limits_.hand_over_timeout,
                   DrainAction::kCutOffAndHandOver);
    case DrainState::kHandingOver:
      if (now < deadline_) {
        return DrainAction::kNone;
      }
      return Enter(DrainState::kExited, now, DrainAction::kExit);
  }
  return DrainAction::kNone;
}

Result<DrainAction> DrainMachine::OnHandedOver() {
  if (state_ != DrainState::kHandingOver) {
    return Failure{.code = Errc::kUnexpectedEvent, .where = "drain"};
  }
  return Enter(DrainState::kExited, deadline_, DrainAction::kExit);
}

DrainAction DrainMachine::Enter(DrainState state,
                                TimePoint deadline,
                                DrainAction action) {
  state_ = state;
  deadline_ = deadline;
  return action;
}

}  // namespace sycamoreford
