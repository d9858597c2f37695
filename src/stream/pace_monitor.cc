#include "sycamoreford/stream/pace_monitor.h"

#include <algorithm>
#include <vector>

namespace sycamoreford {
namespace {

constexpr std::size_t kHistory = 64;
/// Gaps that make a pace known.
constexpr std::size_t kEnough = 4;
/// Gaps in a row that make slowness.
constexpr std::size_t kSlowRun = 4;
constexpr std::uint32_t kSlowRest = 8;
constexpr std::uint32_t kMostMoves = 6;
constexpr std::uint32_t kMostPatience = 16;
constexpr int kSlowFactor = 5;
constexpr Duration kLeastSlowGap = std::chrono::milliseconds(20);
constexpr Duration kLeastAllowed = std::chrono::milliseconds(250);
constexpr Duration kPrefillPerByte = std::chrono::microseconds(20);

}  // namespace

PaceMonitor::PaceMonitor(PaceBounds bounds) noexcept : bounds_(bounds) {}

void PaceMonitor::OnFirstToken(Duration time, std::size_t bytes) {
  first_time_ = time;
  first_bytes_ = std::max<std::size_t>(bytes, 1);
  in_attempt_ = 1;
}

void PaceMonitor::OnToken(Duration gap) {
  gaps_.push_back(gap);
  if (gaps_.size() > kHistory) {
    gaps_.pop_front();
  }
  ++since_slow_;
  if (++in_attempt_ > kEnough) {
    patience_ = 1;
  }
}

void PaceMonitor::OnStall() noexcept {
  patience_ = std::min(patience_ * 2, kMostPatience);
}

void PaceMonitor::OnSlowSeen(bool moves) noexcept {
  since_slow_ = 0;
  moves_ = std::min(moves_ + (moves ? 1 : 0), kMostMoves);
}

Duration PaceMonitor::Quantile(std::size_t percent) const {
  std::vector<Duration> sorted(gaps_.begin(), gaps_.end());
  const auto at = sorted.begin() + static_cast<std::ptrdiff_t>(
                                       (sorted.size() - 1) * percent / 100);
  std::nth_element(sorted.begin(), at, sorted.end());
  return *at;
}

Duration PaceMonitor::AllowedGap() const {
  if (gaps_.size() < kEnough) {
    return bounds_.between_tokens * patience_;
  }
  const Duration usual = 8 * Quantile(50);
  const Duration burst = std::min(4 * Quantile(95), bounds_.between_tokens);
  return std::max({kLeastAllowed, usual, burst}) * patience_;
}

Duration PaceMonitor::FirstTokenTimeout(std::size_t bytes) const noexcept {
  const Duration most = bounds_.first_token + bytes * kPrefillPerByte;
  if (!first_time_) {
    return most * patience_;
  }
  const std::size_t growth = 1 + bytes / first_bytes_;
  const Duration learned =
      std::max<Duration>(4 * *first_time_ * growth, bounds_.between_tokens);
  return std::min(learned, most) * patience_;
}

bool PaceMonitor::IsSlow() const {
  if (since_slow_ < kSlowRest << moves_ || in_attempt_ <= kSlowRun ||
      gaps_.size() < 2 * kSlowRun) {
    return false;
  }
  const Duration least = std::max(kLeastSlowGap, kSlowFactor * Quantile(50));
  return std::all_of(gaps_.end() - kSlowRun, gaps_.end(),
                     [&](Duration gap) { return gap >= least; });
}

}  // namespace sycamoreford
