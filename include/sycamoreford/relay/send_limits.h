#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

namespace sycamoreford::relay {

/// Maximum number of times that one request is sent, whatever its route allows.
inline constexpr int kMaxSends = 4;
/// Maximum number of times that a request is forwarded to another daemon.
inline constexpr std::size_t kMaxForwards = 3;
/// Range of the retry-after time of a rejected request: about the time in which
/// chains are repaired, with jitter so that callers do not retry all at once.
inline constexpr std::chrono::milliseconds kMinRetryAfter{300};
inline constexpr std::chrono::milliseconds kMaxRetryAfter{1'500};
/// Retry-after time of a request that crashes endpoints and is not tried again
/// while it comes.
inline constexpr std::chrono::milliseconds kQuarantineRetryAfter{60'000};
/// Returns a random retry-after time for a rejected request.
///
/// \param earliest time before which a retry would be rejected as well.
template <class Random>
[[nodiscard]] std::chrono::milliseconds DrawRetryAfter(
    Random& random,
    std::chrono::milliseconds earliest = kMinRetryAfter) {
  std::uniform_int_distribution<std::int64_t> distribution(
      0, (kMaxRetryAfter - kMinRetryAfter).count());
  return std::max(earliest, kMinRetryAfter) +
         std::chrono::milliseconds(distribution(random));
}

/// A request with less time left is not sent: no endpoint could respond in
/// time.
inline constexpr std::chrono::milliseconds kMinTimeLeft{20};
/// Added to the urgency value, where 0 is the most urgent, of a stream that is
/// resumed at another endpoint. It is late already, so new requests, which are
/// not late yet, go first.
inline constexpr std::uint32_t kResumeUrgencyOffset = 6;
/// Maximum urgency value, i.e. the least urgent.
inline constexpr std::uint32_t kLowestUrgency = 9;

}  // namespace sycamoreford::relay
