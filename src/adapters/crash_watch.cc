#include "sycamoreford/adapters/crash_watch.h"

namespace sycamoreford {

void CrashWatch::OnEvents(TimePoint now) {
  first_event_at_ = first_event_at_.value_or(now);
  if (now - *first_event_at_ >= RequestQuarantine::kBeginning) {
    ReportSound(now);
  }
}

void CrashWatch::OnComplete(TimePoint now) {
  first_event_at_ = first_event_at_.value_or(now);
  ReportSound(now);
}

void CrashWatch::OnConnectionLost(TimePoint now) const {
  const bool has_only_begun =
      !first_event_at_ ||
      now - *first_event_at_ < RequestQuarantine::kBeginning;
  if (!is_sound_ && has_only_begun && !traits_.empty()) {
    guard_.OnCrash(traits_, endpoint_, run_, now);
  }
}

void CrashWatch::ReportSound(TimePoint now) {
  if (!is_sound_) {
    is_sound_ = true;
    guard_.OnSound(traits_, *first_event_at_, now);
  }
}

}  // namespace sycamoreford
