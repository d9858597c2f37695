#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>

namespace sycamoreford {

/// Time on the monotonic clock. Decisions use no other clock, except those
/// about times that are stored or sent to other daemons: these are wall-clock
/// times.
using TimePoint = std::chrono::steady_clock::time_point;
/// Time span on the monotonic clock.
using Duration = std::chrono::steady_clock::duration;

/// Converts a time of day to ms since 1970, as it is stored and sent.
[[nodiscard]] inline std::uint64_t ToWallClockMs(
    std::chrono::system_clock::time_point time) noexcept {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          time.time_since_epoch())
          .count());
}

/// A source of monotonic time.
template <class T>
concept Clock = requires(const T& clock) {
  { clock.Now() } -> std::same_as<TimePoint>;
};

/// The system's monotonic clock. Thread safe.
struct SteadyClock {
  [[nodiscard]] TimePoint Now() const noexcept {
    return std::chrono::steady_clock::now();
  }
};

}  // namespace sycamoreford
