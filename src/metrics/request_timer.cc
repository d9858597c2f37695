#include "sycamoreford/metrics/request_timer.h"

namespace sycamoreford {

void RequestTimer::OnDispatched(TimePoint now) {
  if (!sample_.queueing) {
    sample_.queueing = now - received_at_;
  }
}

void RequestTimer::OnToken(TimePoint now) {
  if (sample_.first_token) {
    sample_.between_tokens.Record(now - last_token_at_);
  } else {
    sample_.first_token = now - received_at_;
  }
  last_token_at_ = now;
}

RequestSample RequestTimer::Answered(TimePoint now) {
  sample_.duration = now - received_at_;
  return sample_;
}

RequestSample RequestTimer::Failed(const Failure& failure, TimePoint now) {
  sample_.duration = now - received_at_;
  sample_.outcome = ToRequestOutcome(failure.outcome);
  sample_.error = failure.code;
  return sample_;
}

}  // namespace sycamoreford
