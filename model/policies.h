#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "run_result.h"
#include "scenario.h"

namespace sycamoreford::model {

/// Names of the ways to place layers that can be compared; the product's is the
/// first.
[[nodiscard]] std::vector<std::string> PolicyNames();

/// Plays a scenario by a named way to place layers.
///
/// \returns nothing when there is no such name. Equal arguments give equal
///     results. Thread safe.
[[nodiscard]] std::optional<RunResult> RunScenario(std::string_view policy,
                                                   const Scenario& scenario,
                                                   std::uint64_t seed);

}  // namespace sycamoreford::model
