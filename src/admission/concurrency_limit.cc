#include "sycamoreford/admission/concurrency_limit.h"

#include <algorithm>

namespace sycamoreford {
namespace {

constexpr double kFall = 0.9;
constexpr double kMostFall = 0.5;
/// Weight of the newest request in the smoothed time of a unit.
constexpr double kUnitWeight = 0.2;
/// Times of a unit, as multiples of that without load, below which the limit
/// rises and above which it falls.
constexpr double kRiseBelow = 3;
constexpr double kFallAbove = 4;
constexpr std::uint32_t kFloorPart = 4;

}  // namespace

void ConcurrencyLimit::Configure(std::uint32_t first,
                                 std::uint32_t places,
                                 std::uint32_t most,
                                 double unit_seconds) noexcept {
  declared_ = unit_seconds;
  if (places != places_ || most != most_) {
    places_ = places;
    most_ = most;
    limit_ = first;
    is_starting_ = true;
  }
}

double ConcurrencyLimit::UnloadedSeconds() const noexcept {
  return std::max(least_, declared_);
}

void ConcurrencyLimit::OnServed(bool has_waiting,
                                double unit_seconds,
                                Duration holding,
                                TimePoint now) noexcept {
  unit_ =
      unit_ == 0 ? unit_seconds : unit_ + kUnitWeight * (unit_seconds - unit_);
  least_ = least_ == 0 ? unit_ : std::min(least_, unit_);
  const double rise_below = kRiseBelow * UnloadedSeconds();
  is_starting_ = is_starting_ && unit_ < rise_below;
  if (unit_ > kFallAbove * UnloadedSeconds()) {
    // The time of a unit grows with the requests that share the stages.
    Fall(std::clamp(rise_below / unit_, kMostFall, kFall), holding, now);
  } else if (has_waiting && unit_ < rise_below) {
    const double step = is_starting_ ? 1 : 1 / limit_;
    limit_ = std::min(limit_ + step, static_cast<double>(most_));
  }
}

void ConcurrencyLimit::OnRefused(Duration holding, TimePoint now) noexcept {
  is_starting_ = false;
  Fall(kFall, holding, now);
}

void ConcurrencyLimit::Fall(double factor,
                            Duration holding,
                            TimePoint now) noexcept {
  if (now - fell_at_ < holding) {
    return;
  }
  const double floor = std::max(static_cast<double>(places_) / kFloorPart, 1.0);
  limit_ = std::max(limit_ * factor, floor);
  fell_at_ = now;
}

std::uint32_t ConcurrencyLimit::value() const noexcept {
  return static_cast<std::uint32_t>(limit_);
}

}  // namespace sycamoreford
