#pragma once

#include <cstdint>
#include <optional>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Time from the last crash or trial of a quarantined trait to the next trial.
///
/// \param trials number of trials made.
/// \returns nothing if there is no further trial.
[[nodiscard]] std::optional<Duration> TrialDelay(bool is_whole_request,
                                                 std::uint32_t trials);

}  // namespace sycamoreford
