#include "sycamoreford/admission/concurrency_limit.h"

#include <algorithm>

namespace sycamoreford {
namespace {

constexpr double kFall = 0.9;

}  // namespace

void ConcurrencyLimit::SetPlaces(std::uint32_t places,
                                 std::uint32_t most) noexcept {
  if (places != places_ || most != most_) {
    places_ = places;
    most_ = most;
    limit_ = places;
  }
}

void ConcurrencyLimit::OnServed(bool has_waiting) noexcept {
  if (has_waiting && limit_ > 0) {
    limit_ = std::min(limit_ + 1 / limit_, static_cast<double>(most_));
  }
}

void ConcurrencyLimit::OnRefused(TimePoint now, Duration holding) noexcept {
  if (now - fell_at_ >= holding) {
    limit_ = std::max(limit_ * kFall, static_cast<double>(places_));
    fell_at_ = now;
  }
}

std::uint32_t ConcurrencyLimit::value() const noexcept {
  return static_cast<std::uint32_t>(limit_);
}

}  // namespace sycamoreford
