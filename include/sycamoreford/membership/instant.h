#pragma once

#include <chrono>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Wall-clock time; used to measure how long a message was in transit.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

/// The time at one moment, by the monotonic clock and by the wall clock.
struct Instant {
  TimePoint steady{};
  WallTime wall{};
};

}  // namespace sycamoreford
