#pragma once

#include <string>
#include <vector>

#include "sycamoreford/placement/accelerator.h"

namespace sycamoreford {

/// An accelerator and the layers that it should hold.
struct PlacementChange {
  std::string accelerator_id;
  LayerRange layers;

  friend bool operator==(const PlacementChange&,
                         const PlacementChange&) = default;
};

/// Number of request tokens that each accelerator of a data centre should have
/// memory for: enough for most of an endpoint's slots, or less when the layers
/// would not fit otherwise.
///
/// This target decides how many accelerators one copy of the model is spread
/// over. A lower one gives chains of fewer and faster accelerators and leaves
/// more of them on standby.
[[nodiscard]] double TargetTokenCapacity(
    const EngineProfile& profile,
    const std::vector<Accelerator>& accelerators);

/// Whether an accelerator with this slowdown counts as degraded. Degraded
/// accelerators are given layers only when no others can take them.
///
/// \param slowness slowdown relative to the accelerator's kind; 1 is normal.
[[nodiscard]] bool IsDegraded(double slowness) noexcept;

/// Plans the next changes to the layers held by the accelerators of one data
/// centre, after accelerators start, restart empty, join, leave or fail.
///
/// Empty accelerators take the layers with the fewest holders, fastest
/// accelerator first. The first accelerators thus form complete copies of the
/// model, and the rest are standbys for some of the layers.
///
/// A gap, i.e. layers that no accelerator holds after a loss, is divided among
/// holders of the adjacent layers and accelerators that no chain uses, so that
/// its parts load in parallel. No accelerator is given more layers than fit in
/// its memory, including those that it keeps.
///
/// \param accelerators usable accelerators of one data centre.
/// \param in_use ids of accelerators that a chain currently uses.
/// \param max_loads maximum number of additional loads to start now. It does
///     not limit the filling of gaps or the initial placement, and replacing a
///     degraded accelerator may exceed it.
/// \returns changes that can be ordered immediately; empty when none is needed.
[[nodiscard]] std::vector<PlacementChange> PlanPlacement(
    const EngineProfile& profile,
    const std::vector<Accelerator>& accelerators,
    const std::vector<std::string>& in_use,
    std::uint32_t max_loads);

}  // namespace sycamoreford
