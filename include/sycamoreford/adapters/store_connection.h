#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/failure.h"
#include "sycamoreford/core/log.h"

namespace sycamoreford {

/// What a loop that follows the store knows of its calls: whether they succeed,
/// and how long to wait after one that did not.
///
/// Thread safety: none.
class StoreConnection {
 public:
  /// \param name what is followed, for the log.
  explicit StoreConnection(std::string_view name) : name_(name) {}

  /// Waits after a failed call.
  boost::asio::awaitable<void> OnFailed(const Failure& failure, TimePoint now) {
    if (!is_lost_) {
      LogEvent(Severity::kWarning, "store_lost")
          .With("for", name_)
          .With("reason", failure.where);
    }
    is_lost_ = true;
    last_gap_at_ = now;
    const auto backoff = std::min(
        kMinBackoff * (1U << std::min(failed_calls_, 3U)), kMaxBackoff);
    ++failed_calls_;
    // Only a store that responds sets a retry-after time.
    co_await Pause(failure.retry_after ? backoff : kUnreachableRetryDelay);
  }

  void OnSucceeded() {
    if (is_lost_) {
      LogEvent(Severity::kInfo, "store_regained")
          .With("for", name_)
          .With("failed_calls", failed_calls_);
    }
    is_lost_ = false;
    failed_calls_ = 0;
  }

  /// The store came back from an older copy: some entries are missing until
  /// they are written again, as after an outage.
  void OnNewEra(TimePoint now) { last_gap_at_ = now; }

  /// Whether the last call has failed.
  [[nodiscard]] bool is_lost() const noexcept { return is_lost_; }

  /// Whether a call has failed or a new era has begun within `time`.
  [[nodiscard]] bool HadGapWithin(std::chrono::milliseconds time,
                                  TimePoint now) const {
    return last_gap_at_ != TimePoint{} && now < last_gap_at_ + time;
  }

  /// Time that a poll waits for changes after one that has failed: a response
  /// that is lost again must not be waited for.
  static constexpr std::chrono::milliseconds kProbeWait{0};

  /// Delay after a call that did not reach the store.
  static constexpr std::chrono::milliseconds kUnreachableRetryDelay{150};

 private:
  /// Range of the exponential backoff after a refused call, which is paid for.
  static constexpr std::chrono::milliseconds kMinBackoff{100};
  static constexpr std::chrono::milliseconds kMaxBackoff{800};

  std::string_view name_;
  bool is_lost_ = false;
  TimePoint last_gap_at_{};
  std::uint32_t failed_calls_ = 0;
};

}  // namespace sycamoreford
