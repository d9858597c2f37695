#include "sycamoreford/admission/local_share.h"

#include <algorithm>
#include <cmath>

namespace sycamoreford {
namespace {

/// Fraction of a limit that is divided equally among the daemons.
constexpr double kEvenFraction = 0.2;

}  // namespace

double LocalShare(double limit,
                  const FleetPosition& fleet,
                  std::optional<double> demand) noexcept {
  const double even_share = 1.0 / std::max(fleet.count, 1U);
  if (!demand) {
    return limit * even_share;
  }
  return limit * (kEvenFraction * even_share +
                  (1 - kEvenFraction) * std::clamp(*demand, 0.0, 1.0));
}

std::uint32_t LocalCount(std::uint32_t limit,
                         const FleetPosition& fleet,
                         std::optional<double> demand) noexcept {
  if (limit == 0) {
    return 0;
  }
  if (!demand) {
    // The first daemons get one of the remainder each.
    const std::uint32_t count = std::max(fleet.count, 1U);
    const std::uint32_t extra = fleet.index < limit % count ? 1 : 0;
    return std::max(limit / count + extra, 1U);
  }
  // Keeps floating-point error from rounding an integral share down by one.
  constexpr double kRoundingMargin = 1e-9;
  return std::max(static_cast<std::uint32_t>(LocalShare(limit, fleet, demand) +
                                             kRoundingMargin),
                  1U);
}

}  // namespace sycamoreford
