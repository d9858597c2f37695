#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace sycamoreford {

/// Delay after a read of the list of endpoints until the next one.
///
/// Endpoints renew their announcements about every second, so with many of them
/// each poll returns at once, and the delay is the time between two paid calls.
/// It grows with the square of the interval factor, so that the calls of all
/// daemons together do not grow with their number, up to a second: an endpoint
/// that leaves must be known within two.
///
/// \param interval_factor 1 for few daemons, growing with their number.
[[nodiscard]] constexpr std::chrono::milliseconds EndpointPollDelay(
    std::uint32_t interval_factor) noexcept {
  constexpr std::chrono::milliseconds kFewDaemonsDelay{150};
  constexpr std::chrono::milliseconds kMaxDelay{1'000};
  constexpr std::uint32_t kMaxFactor = 8;
  const std::uint32_t factor = std::min(interval_factor, kMaxFactor);
  return std::min(kFewDaemonsDelay * factor * factor, kMaxDelay);
}

}  // namespace sycamoreford
