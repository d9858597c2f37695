#pragma once

#include <chrono>
#include <optional>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Tells callers of a daemon without a configuration when to come back.
///
/// Answers the load after all daemons have lost power: a caller that is refused
/// may come back once, and is late in any case. While the store answers, the
/// configuration is there in a moment; while it does not, a caller that comes
/// back within a second is refused for good.
///
/// Thread safety: none.
class ConfigurationWait {
 public:
  /// Called when the store is asked for the configuration.
  void OnAsked(TimePoint now) { asked_at_ = asked_at_.value_or(now); }
  /// Called when the store has not answered.
  void OnFailed() { has_failed_ = true; }
  /// Called when the store has answered.
  void OnAnswered() {
    has_failed_ = false;
    asked_at_.reset();
  }

  /// Time after which a caller can expect a configuration; 0 if it is expected
  /// at any moment.
  [[nodiscard]] std::chrono::milliseconds RetryAfter(TimePoint now) const {
    const bool is_unanswered =
        asked_at_ && now - *asked_at_ >= kUsualAnswerTime;
    return has_failed_ || is_unanswered ? kOutageRetryAfter
                                        : std::chrono::milliseconds(0);
  }

 private:
  /// The store answers within milliseconds.
  static constexpr std::chrono::milliseconds kUsualAnswerTime{500};
  /// Outages last for seconds. Callers that have little time left come back
  /// earlier.
  static constexpr std::chrono::milliseconds kOutageRetryAfter{3'000};

  std::optional<TimePoint> asked_at_;
  bool has_failed_ = false;
};

}  // namespace sycamoreford
