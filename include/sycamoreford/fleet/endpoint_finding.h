#pragma once

#include "sycamoreford/core/layer_range.h"
#include "sycamoreford/fleet/endpoint_run_id.h"

namespace sycamoreford {

/// What an inspection of an endpoint has shown.
struct EndpointFinding {
  /// The run that was inspected.
  EndpointRunId run;
  /// Whether it did not respond, or another run has its address.
  bool is_lost = false;
  /// Layers that it holds, if it is not lost.
  LayerRange layers{};
};

}  // namespace sycamoreford
