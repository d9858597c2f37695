#pragma once

#include <cstdint>
#include <string>

#include "sycamoreford/core/layer_range.h"
#include "sycamoreford/relay/engine_profile.h"

namespace sycamoreford {

/// An accelerator as placement and chain building see it.
struct Accelerator {
  std::string id;
  std::string address;
  std::string data_centre;
  AcceleratorKind kind;
  /// Layers that it holds or is ordered to hold.
  LayerRange layers;
  /// How much slower than its kind it is at present; `kind` includes it.
  double slowness = 1;
  /// Whether the weights of `layers` are still being loaded.
  bool is_loading = false;

  /// Tokens of requests that fit beside `held_layers` layers when requests use
  /// `used_layers` of them. Precondition: `used_layers` is not 0.
  [[nodiscard]] double TokenCapacity(const EngineProfile& profile,
                                     std::uint32_t held_layers,
                                     std::uint32_t used_layers) const noexcept {
    const double free_mb = kind.memory_mb - held_layers * profile.layer_mb;
    return free_mb <= 0 ? 0
                        : free_mb / (used_layers * profile.token_layer_mb());
  }
};

}  // namespace sycamoreford
