#pragma once

#include <cstdint>
#include <vector>

#include "sycamoreford/core/layer_range.h"

namespace sycamoreford {

/// An arc across a range of layers and its share of the maximum flow.
struct FlowArc {
  LayerRange layers;
  /// Maximum flow through the arc, for example in tokens per second; not
  /// negative.
  double capacity = 0;
  /// Filled in by `SolveMaxFlow`.
  double flow = 0;
};

/// Computes the maximum flow from layer 0 to layer `layers` and sets `flow` of
/// each arc.
///
/// \returns the value of the maximum flow.
double SolveMaxFlow(std::vector<FlowArc>& arcs, std::uint32_t layers);

}  // namespace sycamoreford
