#pragma once

#include <cstdint>
#include <vector>

#include "sycamoreford/route/fleet_position.h"

namespace sycamoreford {

/// Size of the part of `endpoints` that each of `daemons` daemons uses: all of
/// them while they are few, fewer as daemons get many, so that every endpoint
/// keeps several daemons and no daemon holds too many connections.
[[nodiscard]] std::uint32_t SubsetSize(std::uint32_t daemons,
                                       std::uint32_t endpoints) noexcept;

/// Indices in `[0, endpoints)` of the part that one daemon uses, ascending.
///
/// Daemons are dealt out in rounds. Within a round the parts are disjoint
/// slices of one permutation of the endpoints, so that the numbers of daemons
/// at any two endpoints differ by at most one for each round.
///
/// Precondition: `daemon.index < daemon.count`.
///
/// \param size wanted size; `endpoints` or more gives all.
/// \param seed parts classes of endpoints; equal on all daemons.
[[nodiscard]] std::vector<std::uint32_t> SubsetOf(const FleetPosition& daemon,
                                                  std::uint32_t endpoints,
                                                  std::uint32_t size,
                                                  std::uint64_t seed);

}  // namespace sycamoreford
