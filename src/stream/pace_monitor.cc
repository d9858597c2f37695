#include "sycamoreford/stream/pace_monitor.h"

#include <algorithm>
#include <vector>

namespace sycamoreford {
namespace {

constexpr std::size_t kMaxGaps = 64;
/// Gaps after which the pace is known.
constexpr std::size_t kMinGaps = 4;
/// Consecutive long gaps after which a stream is slow.
constexpr std::size_t kSlowGapsInRow = 4;
/// Minimum number of tokens between two slowness checks; doubles with each
/// move.
constexpr std::uint32_t kMinTokensBetweenChecks = 8;
/// Moves after which the number of tokens between checks stays the same.
constexpr std::uint32_t kMaxCountedMoves = 6;
constexpr std::uint32_t kMaxTimeoutMultiplier = 16;
/// A gap is long if it is at least this multiple of the median gap.
constexpr int kSlowFactor = 5;
constexpr Duration kMinSlowGap = std::chrono::milliseconds(20);
constexpr Duration kMinNextTokenTimeout = std::chrono::milliseconds(250);
constexpr Duration kPrefillTimePerByte = std::chrono::microseconds(20);

}  // namespace

PaceMonitor::PaceMonitor(InitialTimeouts initial_timeouts) noexcept
    : initial_timeouts_(initial_timeouts) {}

void PaceMonitor::OnFirstToken(Duration time, std::size_t bytes) {
  first_token_time_ = time;
  first_token_bytes_ = std::max<std::size_t>(bytes, 1);
  tokens_in_attempt_ = 1;
}

void PaceMonitor::OnToken(Duration gap) {
  gaps_.push_back(gap);
  if (gaps_.size() > kMaxGaps) {
    gaps_.pop_front();
  }
  ++tokens_since_check_;
  if (++tokens_in_attempt_ > kMinGaps) {
    timeout_multiplier_ = 1;
  }
}

void PaceMonitor::OnStall() noexcept {
  timeout_multiplier_ =
      std::min(timeout_multiplier_ * 2, kMaxTimeoutMultiplier);
}

void PaceMonitor::OnSlownessChecked(bool will_move) noexcept {
  tokens_since_check_ = 0;
  moves_ = std::min(moves_ + (will_move ? 1 : 0), kMaxCountedMoves);
}

Duration PaceMonitor::GapPercentile(std::size_t percent) const {
  std::vector<Duration> sorted(gaps_.begin(), gaps_.end());
  const auto it = sorted.begin() + static_cast<std::ptrdiff_t>(
                                       (sorted.size() - 1) * percent / 100);
  std::nth_element(sorted.begin(), it, sorted.end());
  return *it;
}

Duration PaceMonitor::NextTokenTimeout() const {
  if (gaps_.size() < kMinGaps) {
    return initial_timeouts_.between_tokens * timeout_multiplier_;
  }
  const Duration typical = 8 * GapPercentile(50);
  // Covers the pauses of a stream that arrives in bursts.
  const Duration burst =
      std::min(4 * GapPercentile(95), initial_timeouts_.between_tokens);
  return std::max({kMinNextTokenTimeout, typical, burst}) * timeout_multiplier_;
}

Duration PaceMonitor::FirstTokenTimeout(std::size_t bytes) const noexcept {
  const Duration max_timeout =
      initial_timeouts_.first_token + bytes * kPrefillTimePerByte;
  if (!first_token_time_) {
    return max_timeout * timeout_multiplier_;
  }
  const std::size_t prompt_growth = 1 + bytes / first_token_bytes_;
  const Duration learned = std::max<Duration>(
      4 * *first_token_time_ * prompt_growth, initial_timeouts_.between_tokens);
  return std::min(learned, max_timeout) * timeout_multiplier_;
}

bool PaceMonitor::IsSlow() const {
  if (tokens_since_check_ < kMinTokensBetweenChecks << moves_ ||
      tokens_in_attempt_ <= kSlowGapsInRow ||
      gaps_.size() < 2 * kSlowGapsInRow) {
    return false;
  }
  const Duration min_slow_gap =
      std::max(kMinSlowGap, kSlowFactor * GapPercentile(50));
  return std::all_of(gaps_.end() - kSlowGapsInRow, gaps_.end(),
                     [&](Duration gap) { return gap >= min_slow_gap; });
}

}  // namespace sycamoreford
