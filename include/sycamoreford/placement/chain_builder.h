#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "sycamoreford/placement/accelerator.h"
#include "sycamoreford/route/chain.h"

namespace sycamoreford {

/// A chain that requests can take, with what it can carry.
struct ServingChain {
  Chain stages;
  std::string data_centre;
  /// Tokens of requests that fit at once; the stage with the least decides.
  double token_capacity = 0;
  /// Time of one token through all stages, without other requests.
  std::chrono::duration<double, std::milli> decode_step_time{0};

  [[nodiscard]] bool Uses(const std::string& endpoint) const noexcept;
};

/// Ids of the accelerators that chains use.
[[nodiscard]] std::vector<std::string> AcceleratorsInUse(
    const std::vector<ServingChain>& chains);

/// Layers that no accelerator holds and has loaded, as ranges in order.
[[nodiscard]] std::vector<LayerRange> MissingLayers(
    const EngineProfile& profile,
    const std::vector<Accelerator>& accelerators);

/// Builds the chains of one data centre from what its accelerators hold: the
/// fastest with enough room first, then further ones from the accelerators that
/// are left. A accelerator is in one chain at most, and a chain may use part of
/// its layers.
///
/// Load answered: any state that losses, repairs and returns leave the
/// accelerators in; the next fastest chain replaces one that has lost a
/// accelerator at once.
///
/// \param accelerators usable accelerators of one data centre; those that load
/// are passed
///     over.
[[nodiscard]] std::vector<ServingChain> BuildChains(
    const EngineProfile& profile,
    const std::vector<Accelerator>& accelerators);

}  // namespace sycamoreford
