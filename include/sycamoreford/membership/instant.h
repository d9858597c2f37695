#pragma once

#include <chrono>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Point of the wall clock; used to tell how long a message was on its way.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// One moment, by the monotonic clock and by the wall clock.
struct Instant {
  TimePoint steady{};
  WallTime wall{};
};

}  // namespace sycamoreford
