#pragma once

#include <array>
#include <cstddef>
#include <string_view>

#include "sycamoreford/core/outcome.h"

namespace sycamoreford {

/// How a request ended, as counted in metrics.
enum class RequestOutcome { kAnswered, kNotRun, kFailed, kUnknown };

/// All outcomes in ascending order.
inline constexpr std::array kRequestOutcomes = {
    RequestOutcome::kAnswered, RequestOutcome::kNotRun, RequestOutcome::kFailed,
    RequestOutcome::kUnknown};

/// Name of an outcome in metrics, for example `not_run`.
[[nodiscard]] constexpr std::string_view ToString(
    RequestOutcome outcome) noexcept {
  switch (outcome) {
    case RequestOutcome::kAnswered:
      return "answered";
    case RequestOutcome::kNotRun:
      return "not_run";
    case RequestOutcome::kFailed:
      return "failed";
    case RequestOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

/// Converts the outcome of a failure.
[[nodiscard]] constexpr RequestOutcome ToRequestOutcome(
    Outcome outcome) noexcept {
  switch (outcome) {
    case Outcome::kNotRun:
      return RequestOutcome::kNotRun;
    case Outcome::kFailed:
      return RequestOutcome::kFailed;
    case Outcome::kUnknown:
      return RequestOutcome::kUnknown;
  }
  return RequestOutcome::kUnknown;
}

}  // namespace sycamoreford
