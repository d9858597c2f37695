#include "sycamoreford/metrics/request_series.h"

#include <algorithm>

namespace sycamoreford {

void RequestSeries::Record(const RequestSample& sample) {
  if (sample.queueing) {
    queueing.Record(*sample.queueing);
  }
  if (sample.first_token) {
    first_token.Record(*sample.first_token);
  }
  between_tokens.Add(sample.between_tokens);
  duration.Record(sample.duration);
  ++attempts[std::min<std::size_t>(sample.attempts, kAttemptBins - 1)];
  ++outcomes[static_cast<std::size_t>(sample.outcome)];
}

void RequestSeries::Add(const RequestSeries& other) {
  queueing.Add(other.queueing);
  first_token.Add(other.first_token);
  between_tokens.Add(other.between_tokens);
  duration.Add(other.duration);
  for (std::size_t i = 0; i < attempts.size(); ++i) {
    attempts[i] += other.attempts[i];
  }
  for (std::size_t i = 0; i < outcomes.size(); ++i) {
    outcomes[i] += other.outcomes[i];
  }
}

}  // namespace sycamoreford
