#include "sycamoreford/metrics/request_timer.h"

namespace sycamoreford {

void RequestTimer::OnDispatched(TimePoint now) {
  if (!sample_.queueing) {
    sample_.queueing = now - received_;
  }
}

void RequestTimer::OnToken(TimePoint now) {
  if (sample_.first_token) {
    sample_.between_tokens.Record(now - last_token_);
  } else {
    sample_.first_token = now - received_;
  }
  last_token_ = now;
}

RequestSample RequestTimer::Answered(TimePoint now) {
  sample_.duration = now - received_;
  return sample_;
}

RequestSample RequestTimer::Failed(const Failure& failure, TimePoint now) {
  sample_.duration = now - received_;
  sample_.outcome = ToRequestOutcome(failure.outcome);
  sample_.error = failure.code;
  return sample_;
}

}  // namespace sycamoreford
