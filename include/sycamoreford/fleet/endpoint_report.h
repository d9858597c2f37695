#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sycamoreford/core/layer_range.h"

namespace sycamoreford {

/// A request that waits for a stage that does not answer.
struct StalledRequest {
  std::string request_id;
  /// Address of the stage.
  std::string address;
};

/// What an endpoint says of itself when it is asked.
struct EndpointReport {
  LayerRange layers;
  std::uint64_t order_sequence = 0;
  /// Whether an order is being carried out.
  bool is_busy = false;
  std::uint64_t started_at_ms = 0;
  std::uint32_t queued = 0;
  std::uint32_t in_flight = 0;
  /// Times as long as its kind usually takes.
  double slowness = 1;
  std::vector<StalledRequest> stalled;
};

}  // namespace sycamoreford
