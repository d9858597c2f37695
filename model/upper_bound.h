#pragma once

#include "scenario.h"

namespace sycamoreford::model {

/// Requests a second that no placement and no choice of chains can exceed.
///
/// Each request holds memory for its tokens in all layers for as long as its
/// answer takes, and that is at least the steps of its tokens on the cards that
/// run them. Cards may split layers at will here, one copy of the model is
/// enough, passes never wait, and reading takes no time.
[[nodiscard]] double UpperBound(const Scenario& scenario);

}  // namespace sycamoreford::model
