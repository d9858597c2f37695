#pragma once

#include <cstdint>
#include <vector>

#include "sycamoreford/core/layer_range.h"

namespace sycamoreford {

/// A way through a range of layers, and how much of it the greatest flow uses.
struct FlowArc {
  LayerRange layers;
  /// Most units that pass each second; not negative.
  double capacity = 0;
  /// Filled in by `SolveMaxFlow`.
  double flow = 0;
};

/// Finds the greatest flow from layer 0 to layer `layers` and writes each
/// arc's part into `flow`.
///
/// \returns the value of the flow: the most that the arcs can carry.
double SolveMaxFlow(std::vector<FlowArc>& arcs, std::uint32_t layers);

}  // namespace sycamoreford
