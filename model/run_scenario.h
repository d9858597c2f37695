#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "run_result.h"
#include "scenario.h"

namespace sycamoreford::model {

/// Names of the placement policies that can be compared. The first is
/// sycamoreford's own.
[[nodiscard]] std::vector<std::string> PolicyNames();

/// Runs a scenario with a placement policy. Equal arguments give equal results.
/// Thread safe.
///
/// \returns nothing when there is no policy of this name.
[[nodiscard]] std::optional<RunResult> RunScenario(std::string_view policy,
                                                   const Scenario& scenario,
                                                   std::uint64_t seed);

}  // namespace sycamoreford::model
