#include "sycamoreford/admission/local_share.h"

#include <algorithm>
#include <cmath>

namespace sycamoreford {
namespace {

constexpr double kEvenPart = 0.2;

}  // namespace

double LocalShare(double limit,
                  const FleetPosition& fleet,
                  std::optional<double> demand) noexcept {
  const double even = 1.0 / std::max(fleet.count, 1U);
  if (!demand) {
    return limit * even;
  }
  return limit *
         (kEvenPart * even + (1 - kEvenPart) * std::clamp(*demand, 0.0, 1.0));
}

std::uint32_t LocalCount(std::uint32_t limit,
                         const FleetPosition& fleet,
                         std::optional<double> demand) noexcept {
  if (limit == 0) {
    return 0;
  }
  if (!demand) {
    // The first daemons take what does not divide evenly.
    const std::uint32_t count = std::max(fleet.count, 1U);
    const std::uint32_t extra = fleet.index < limit % count ? 1 : 0;
    return std::max(limit / count + extra, 1U);
  }
  // The margin keeps a part that is a whole number from falling below it.
  constexpr double kMargin = 1e-9;
  return std::max(
      static_cast<std::uint32_t>(LocalShare(limit, fleet, demand) + kMargin),
      1U);
}

}  // namespace sycamoreford
