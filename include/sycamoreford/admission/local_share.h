#pragma once

#include <cstdint>
#include <optional>

#include "sycamoreford/route/fleet_position.h"

namespace sycamoreford {

/// This daemon's part of a limit that holds over all daemons.
///
/// A fifth of the limit is shared out evenly, so that no daemon is without;
/// the rest follows the customer's traffic. Without knowledge of the traffic
/// all of it is shared out evenly. The parts sum up to the limit.
///
/// \param demand this daemon's part of the customer's traffic, in [0, 1].
[[nodiscard]] double LocalShare(double limit,
                                const FleetPosition& fleet,
                                std::optional<double> demand) noexcept;

/// The same for a count: rounded so that the parts sum up to at most the
/// limit, but for at least 1, since a request must be able to run anywhere.
/// 0, unlimited, stays 0.
[[nodiscard]] std::uint32_t LocalCount(std::uint32_t limit,
                                       const FleetPosition& fleet,
                                       std::optional<double> demand) noexcept;

}  // namespace sycamoreford
