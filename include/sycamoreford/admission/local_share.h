#pragma once

#include <cstdint>
#include <optional>

#include "sycamoreford/route/fleet_position.h"

namespace sycamoreford {

/// This daemon's share of a limit that applies to all daemons together.
///
/// A fifth of the limit is divided equally, so that every daemon has a share;
/// the rest is divided in proportion to the customer's traffic. If the traffic
/// is unknown, the whole limit is divided equally. The shares add up to the
/// limit.
///
/// \param demand fraction of the customer's traffic that reaches this daemon,
///     in [0, 1]; empty if unknown.
[[nodiscard]] double LocalShare(double limit,
                                const FleetPosition& fleet,
                                std::optional<double> demand) noexcept;

/// Like `LocalShare`, for an integer limit. Shares are rounded so that they add
/// up to at most the limit, but each is at least 1, since a request must be
/// able to run on any daemon. A limit of 0 (unlimited) stays 0.
[[nodiscard]] std::uint32_t LocalCount(std::uint32_t limit,
                                       const FleetPosition& fleet,
                                       std::optional<double> demand) noexcept;

}  // namespace sycamoreford
