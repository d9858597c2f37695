#pragma once

#include <cstdint>
#include <vector>

#include "sycamoreford/route/fleet_position.h"

namespace sycamoreford {

/// Number of `endpoints` that each of `daemons` daemons uses. A small pool is
/// used completely. In a large one the subset shrinks as the number of daemons
/// grows, so that every endpoint serves several daemons and no daemon holds too
/// many connections.
[[nodiscard]] std::uint32_t SubsetSize(std::uint32_t daemons,
                                       std::uint32_t endpoints) noexcept;

/// Returns the indices in `[0, endpoints)` of the subset that one daemon uses,
/// in ascending order (deterministic subsetting).
///
/// Daemons are divided into rounds. The subsets of a round are disjoint slices
/// of one permutation of the endpoints. A complete round uses each endpoint
/// once, so that the numbers of daemons that use any two endpoints differ by at
/// most one.
///
/// Precondition: `daemon.index < daemon.count`.
///
/// \param size minimum size of the subset; 0, `endpoints` or more returns all.
/// \param seed distinguishes groups of endpoints; equal on all daemons.
[[nodiscard]] std::vector<std::uint32_t> SubsetOf(const FleetPosition& daemon,
                                                  std::uint32_t endpoints,
                                                  std::uint32_t size,
                                                  std::uint64_t seed);

}  // namespace sycamoreford
