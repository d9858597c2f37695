#include "sycamoreford/drain/drain_machine.h"

namespace sycamoreford {

std::string_view ToString(DrainState state) noexcept {
  switch (state) {
    case DrainState::kServing:
      return "serving";
    case DrainState::kNoticed:
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
    ++repeated_;
    return DrainAction::kNone;
  }
  return Enter(DrainState::kNoticed, now + limits_.notice,
               DrainAction::kAnnounce);
}

DrainAction DrainMachine::OnTick(TimePoint now, std::size_t in_flight) {
  switch (state_) {
    case DrainState::kServing:
    case DrainState::kExited:
      return DrainAction::kNone;
    case DrainState::kNoticed:
      if (now < bound_) {
        return DrainAction::kNone;
      }
      return Enter(DrainState::kFinishing, now + limits_.finish,
                   DrainAction::kCloseListener);
    case DrainState::kFinishing:
      if (in_flight == 0) {
        return Enter(DrainState::kHandingOver, now + limits_.hand_over,
                     DrainAction::kHandOver);
      }
      if (now < bound_) {
        return DrainAction::kNone;
      }
      cut_off_ = in_flight;
      return Enter(DrainState::kHandingOver, now + limits_.hand_over,
                   DrainAction::kCutOffAndHandOver);
    case DrainState::kHandingOver:
      if (now < bound_) {
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
  return Enter(DrainState::kExited, bound_, DrainAction::kExit);
}

DrainAction DrainMachine::Enter(DrainState state,
                                TimePoint bound,
                                DrainAction action) {
  state_ = state;
  bound_ = bound;
  return action;
}

}  // namespace sycamoreford
