#pragma once

#include <cstdint>
#include <string>

#include "sycamoreford/core/layer_range.h"
#include "sycamoreford/relay/engine_profile.h"

namespace sycamoreford {

/// The accelerator of one endpoint, as input to placement planning and chain
/// building. `id` and `address` are those of the endpoint.
struct Accelerator {
  std::string id;
  std::string address;
  std::string data_centre;
  AcceleratorKind kind;
  /// Layers whose weights it holds or has been ordered to load.
  LayerRange layers;
  /// Current slowdown relative to its declared kind; 1 is the declared speed.
  /// The factors in `kind` already include it.
  double slowness = 1;
  /// Whether the weights of `layers` are still loading.
  bool is_loading = false;

  /// Number of request tokens whose KV cache fits beside the weights of
  /// `held_layers` layers when requests run through `used_layers` of them.
  ///
  /// Precondition: `used_layers` is not 0.
  [[nodiscard]] double TokenCapacity(const EngineProfile& profile,
                                     std::uint32_t held_layers,
                                     std::uint32_t used_layers) const noexcept {
    const double free_mb = kind.memory_mb - held_layers * profile.layer_mb;
    return free_mb <= 0
               ? 0
               : free_mb / (used_layers * profile.kv_mb_per_token_layer());
  }
};

}  // namespace sycamoreford
