#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace sycamoreford::relay {

/// Sends of one request at most, whatever its route allows.
inline constexpr int kMaxSends = 4;
/// When callers may come back after a refusal. About the time in which chains
/// are repaired; spread, so that they do not return together.
inline constexpr std::chrono::milliseconds kMinRetryAfter{300};
inline constexpr std::chrono::milliseconds kMaxRetryAfter{1'500};
/// Draws when a refused caller may come back.
template <class Random>
[[nodiscard]] std::chrono::milliseconds DrawRetryAfter(Random& random) {
  std::uniform_int_distribution<std::int64_t> distribution(
      kMinRetryAfter.count(), kMaxRetryAfter.count());
  return std::chrono::milliseconds(distribution(random));
}

/// With less time left a request is not sent any more: no endpoint could answer
/// it.
inline constexpr std::chrono::milliseconds kMinTimeLeft{20};
/// Urgency of a first send by priority, and of a stream that goes on elsewhere:
/// that one is late already, and new ones are not yet.
inline constexpr std::uint32_t kMinResumeUrgency = 6;
inline constexpr std::uint32_t kMaxUrgency = 9;

}  // namespace sycamoreford::relay
