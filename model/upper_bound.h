#pragma once

#include "scenario.h"

namespace sycamoreford::model {

/// Returns the requests per second that no placement and no choice of chains
/// can exceed.
///
/// Each request holds memory for its tokens in all layers while its output is
/// generated, which takes at least the decode steps of its tokens on the
/// accelerators that run them. The bound assumes that layers can be split
/// freely over accelerators, that one copy of the model is enough, that passes
/// never wait, and that prefill takes no time.
[[nodiscard]] double UpperBound(const Scenario& scenario);

}  // namespace sycamoreford::model
