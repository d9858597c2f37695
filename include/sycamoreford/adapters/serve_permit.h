#pragma once

#include <atomic>
#include <optional>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Until when a daemon may take new requests. A daemon that was paused past
/// that time finds it closed when it wakes, before anything else has run.
///
/// Thread safe, without locks.
class ServePermit {
 public:
  /// Sets the end; empty closes it.
  void Set(std::optional<TimePoint> until) noexcept {
    until_ = until ? until->time_since_epoch().count() : kExpired;
  }

  /// Whether new requests may be taken at `now`.
  [[nodiscard]] bool IsValidAt(TimePoint now) const noexcept {
    return now.time_since_epoch().count() < until_;
  }

 private:
  static constexpr Duration::rep kExpired = Duration::min().count();

  std::atomic<Duration::rep> until_{kExpired};
};

}  // namespace sycamoreford
