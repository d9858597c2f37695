#pragma once

#include "sycamoreford/core/failure.h"
#include "sycamoreford/metrics/request_sample.h"

namespace sycamoreford {

/// Collects the measurements of one request while it is handled.
///
/// Thread safety: none; used only by the coroutine that handles the request.
class RequestTimer {
 public:
  /// \param received_at when the request arrived.
  explicit RequestTimer(TimePoint received_at) : received_at_(received_at) {}

  /// Records that the request is sent to an endpoint; only the first call has
  /// an effect.
  void OnDispatched(TimePoint now);
  /// Records that a token was delivered.
  void OnToken(TimePoint now);
  /// Sets the number of attempts so far.
  void SetAttempts(std::uint32_t attempts) { sample_.attempts = attempts; }
  [[nodiscard]] std::uint32_t attempts() const { return sample_.attempts; }

  /// Returns the measurements of a request that was answered at `now`.
  [[nodiscard]] RequestSample Answered(TimePoint now);
  /// Returns the measurements of a request that failed at `now`.
  [[nodiscard]] RequestSample Failed(const Failure& failure, TimePoint now);

 private:
  TimePoint received_at_;
  TimePoint last_token_at_{};
  RequestSample sample_;
};

}  // namespace sycamoreford
