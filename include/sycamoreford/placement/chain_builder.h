#pragma once

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "sycamoreford/placement/accelerator.h"
#include "sycamoreford/route/chain.h"

namespace sycamoreford {

/// A chain that requests can be sent through, and its capacity.
struct ServingChain {
  Chain stages;
  std::string data_centre;
  /// Number of tokens of concurrent requests that fit in memory: the minimum
  /// over all stages.
  double token_capacity = 0;
  /// Time of one decode step through all stages, without other requests.
  std::chrono::duration<double, std::milli> decode_step_time{0};

  [[nodiscard]] const std::string& first_endpoint() const {
    return stages.front().endpoint.value();
  }
  [[nodiscard]] bool Uses(const std::string& endpoint) const noexcept;
  /// Whether the chains have a stage in common.
  [[nodiscard]] bool Overlaps(const ServingChain& other) const noexcept;
};

/// Ids of the accelerators used by any of the chains.
[[nodiscard]] std::vector<std::string> AcceleratorsInUse(
    const std::vector<ServingChain>& chains);

/// Layers that no accelerator has loaded, as ranges in ascending order.
[[nodiscard]] std::vector<LayerRange> MissingLayers(
    const EngineProfile& profile,
    const std::vector<Accelerator>& accelerators);

/// Builds further chains of one data centre for the case that only a few
/// requests may be sent to some endpoints. The chains avoid these endpoints and
/// may share other stages with `chains`.
///
/// \param chains result of `BuildChains` for the same accelerators.
/// \param limited endpoints to avoid.
/// \returns chains whose first endpoint is not the first one of any of
/// `chains`.
[[nodiscard]] std::vector<ServingChain> BuildBypassChains(
    const EngineProfile& profile,
    std::vector<Accelerator> accelerators,
    const std::vector<ServingChain>& chains,
    const std::set<std::string>& limited);

/// Builds the chains of one data centre from the layers that its accelerators
/// hold: as many as hold the layer with the fewest holders. The fastest chain
/// with enough token capacity is built first, then further ones from the
/// remaining accelerators; if these are too few, each chain leaves to the
/// others the holders that they need. An accelerator is in at most one chain,
/// and a chain may use only part of its layers.
///
/// Works for any assignment of layers that failures, repairs and restarts
/// leave behind. When a chain loses an accelerator, the next fastest chain
/// replaces it immediately.
///
/// \param accelerators usable accelerators of one data centre; those that are
///     still loading are skipped.
[[nodiscard]] std::vector<ServingChain> BuildChains(
    const EngineProfile& profile,
    const std::vector<Accelerator>& accelerators);

}  // namespace sycamoreford
