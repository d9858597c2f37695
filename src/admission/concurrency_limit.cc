#include "sycamoreford/admission/concurrency_limit.h"

#include <algorithm>

namespace sycamoreford {
namespace {

/// Factor of a decrease after a refusal, and of the smallest decrease when
/// units take too long.
constexpr double kDecreaseFactor = 0.9;
/// Factor of the largest decrease.
constexpr double kMinDecreaseFactor = 0.5;
/// Weight of the newest request in the smoothed time of a unit.
constexpr double kUnitTimeSmoothing = 0.2;
/// Times of a unit, as multiples of its time in an unloaded pool, below which
/// the limit increases and above which it decreases.
constexpr double kIncreaseBelow = 3;
constexpr double kDecreaseAbove = 4;
/// The limit is at least the share divided by this.
constexpr std::uint32_t kMinLimitDivisor = 4;

}  // namespace

void ConcurrencyLimit::Configure(std::uint32_t initial,
                                 std::uint32_t share,
                                 std::uint32_t max,
                                 double unit_seconds) noexcept {
  declared_unit_seconds_ = unit_seconds;
  if (share != share_ || max != max_) {
    share_ = share;
    max_ = max;
    limit_ = initial;
    is_slow_start_ = true;
  }
}

double ConcurrencyLimit::UnloadedUnitSeconds() const noexcept {
  return std::max(min_unit_seconds_, declared_unit_seconds_);
}

void ConcurrencyLimit::OnServed(bool has_waiting,
                                double unit_seconds,
                                Duration service_time,
                                TimePoint now) noexcept {
  smoothed_unit_seconds_ =
      smoothed_unit_seconds_ == 0
          ? unit_seconds
          : smoothed_unit_seconds_ +
                kUnitTimeSmoothing * (unit_seconds - smoothed_unit_seconds_);
  min_unit_seconds_ = min_unit_seconds_ == 0
                          ? smoothed_unit_seconds_
                          : std::min(min_unit_seconds_, smoothed_unit_seconds_);
  const double increase_below = kIncreaseBelow * UnloadedUnitSeconds();
  is_slow_start_ = is_slow_start_ && smoothed_unit_seconds_ < increase_below;
  if (smoothed_unit_seconds_ > kDecreaseAbove * UnloadedUnitSeconds()) {
    // The time of a unit grows with the number of requests on the stages, so
    // the limit is scaled by the same ratio.
    Decrease(std::clamp(increase_below / smoothed_unit_seconds_,
                        kMinDecreaseFactor, kDecreaseFactor),
             service_time, now);
  } else if (has_waiting && smoothed_unit_seconds_ < increase_below) {
    const double step = is_slow_start_ ? 1 : 1 / limit_;
    limit_ = std::min(limit_ + step, static_cast<double>(max_));
  }
}

void ConcurrencyLimit::OnRefused(Duration service_time,
                                 TimePoint now) noexcept {
  is_slow_start_ = false;
  Decrease(kDecreaseFactor, service_time, now);
}

void ConcurrencyLimit::Decrease(double factor,
                                Duration service_time,
                                TimePoint now) noexcept {
  if (now - decreased_at_ < service_time) {
    return;
  }
  const double min_limit =
      std::max(static_cast<double>(share_) / kMinLimitDivisor, 1.0);
  limit_ = std::max(limit_ * factor, min_limit);
  decreased_at_ = now;
}

std::uint32_t ConcurrencyLimit::value() const noexcept {
  return static_cast<std::uint32_t>(limit_);
}

}  // namespace sycamoreford
