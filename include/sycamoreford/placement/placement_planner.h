#pragma once

#include <string>
#include <vector>

#include "sycamoreford/placement/accelerator.h"

namespace sycamoreford {

/// A accelerator and the layers that it is to hold.
struct PlacementChange {
  std::string accelerator_id;
  LayerRange layers;

  friend bool operator==(const PlacementChange&,
                         const PlacementChange&) = default;
};

/// Tokens of requests that each accelerator of a data centre should have room
/// for: what most of an endpoint's slots need, or less when the layers would
/// not fit.
///
/// Answers the question of how many accelerators a copy of the model is spread
/// over: less room means fewer and faster accelerators in a chain, and more of
/// the others left to stand by.
[[nodiscard]] double TargetTokenCapacity(
    const EngineProfile& profile,
    const std::vector<Accelerator>& accelerators);

/// Whether a accelerator that takes this many times as long as its kind is
/// given layers only when there is no other.
[[nodiscard]] bool IsDegraded(double slowness) noexcept;

/// The next changes of what the accelerators of one data centre hold.
///
/// Empty accelerators take the layers that fewest accelerators hold, fastest
/// accelerator first, so that the first accelerators make up whole copies and
/// the rest stand by for layers of those. Layers that no accelerator holds,
/// which is what the loss of a accelerator leaves, are divided among neighbours
/// that hold the layers beside them and accelerators that no chain uses: the
/// parts load at the same time. A accelerator is never given more than its
/// memory holds, also while it still has its old layers.
///
/// Loads answered: accelerators that start, return empty, join, leave or are
/// lost.
///
/// \param accelerators usable accelerators of one data centre.
/// \param in_use ids of accelerators that a chain uses at present.
/// \param loads further loads that may run now; layers without a holder are
///     loaded whatever it is, and so is a first placement.
/// \returns changes that can be ordered at once; empty when all is well.
[[nodiscard]] std::vector<PlacementChange> PlanPlacement(
    const EngineProfile& profile,
    const std::vector<Accelerator>& accelerators,
    const std::vector<std::string>& in_use,
    std::uint32_t loads);

}  // namespace sycamoreford
