#pragma once

#include "sycamoreford/core/failure.h"
#include "sycamoreford/metrics/request_sample.h"

namespace sycamoreford {

/// Measures one request on its way.
///
/// Thread safety: belongs to the coroutine that handles the request.
class RequestTimer {
 public:
  explicit RequestTimer(TimePoint received) : received_(received) {}

  /// The request is sent to an endpoint; only the first time counts.
  void OnDispatched(TimePoint now);
  /// A token was delivered.
  void OnToken(TimePoint now);
  /// Number of attempts so far.
  void SetAttempts(std::uint32_t attempts) { sample_.attempts = attempts; }
  [[nodiscard]] std::uint32_t attempts() const { return sample_.attempts; }

  /// The request was answered.
  [[nodiscard]] RequestSample Answered(TimePoint now);
  /// The request failed.
  [[nodiscard]] RequestSample Failed(const Failure& failure, TimePoint now);

 private:
  TimePoint received_;
  TimePoint last_token_{};
  RequestSample sample_;
};

}  // namespace sycamoreford
