#pragma once

#include <string>
#include <vector>

#include "sycamoreford/core/layer_range.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// One stage of a chain: an endpoint and the layers that it runs.
struct ChainStage {
  EndpointId endpoint;
  /// IP address and port.
  std::string address;
  LayerRange layers;
  /// Time per token expected when the chain was planned, in seconds; 0 if
  /// unknown.
  double token_seconds = 0;
};

/// Stages in ascending order of layers. A valid chain covers `[0, layers)`
/// without gaps or overlaps.
using Chain = std::vector<ChainStage>;

/// Whether `chain` covers exactly `[0, layers)`, in order.
[[nodiscard]] bool CoversAllLayers(const Chain& chain,
                                   std::uint32_t layers) noexcept;

}  // namespace sycamoreford
