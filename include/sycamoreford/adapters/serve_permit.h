#pragma once

#include <atomic>
#include <optional>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Time until which a daemon may accept new requests. Because it is checked
/// against the clock for each request, a daemon that was suspended past the
/// expiry refuses requests as soon as it resumes, before any loop has run.
///
/// Thread safe and lock free.
class ServePermit {
 public:
  /// Sets the expiry; empty revokes the permit.
  void Set(std::optional<TimePoint> until) noexcept {
    until_ = until ? until->time_since_epoch().count() : kExpired;
  }

  /// Whether new requests may be accepted at `now`.
  [[nodiscard]] bool IsValidAt(TimePoint now) const noexcept {
    return now.time_since_epoch().count() < until_;
  }

 private:
  static constexpr Duration::rep kExpired = Duration::min().count();

  std::atomic<Duration::rep> until_{kExpired};
};

}  // namespace sycamoreford
