#pragma once

#include <cstdint>
#include <string>

#include "sycamoreford/core/layer_range.h"
#include "sycamoreford/relay/engine_profile.h"

namespace sycamoreford {

/// An accelerator as placement and chain building see it.
struct Card {
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

  /// Tokens of requests that fit beside `held` layers when requests use `used`
  /// of them. Precondition: `used` is not 0.
  [[nodiscard]] double RoomFor(const EngineProfile& profile,
                               std::uint32_t held,
                               std::uint32_t used) const noexcept {
    const double left = kind.memory_mb - held * profile.layer_mb;
    return left <= 0 ? 0 : left / (used * profile.token_layer_mb());
  }
};

}  // namespace sycamoreford
