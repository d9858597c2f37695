#pragma once

#include <array>
#include <cstddef>
#include <string_view>

#include "sycamoreford/core/outcome.h"

namespace sycamoreford {

/// How a request ended, as metrics count it.
enum class RequestOutcome { kAnswered, kNotRun, kFailed, kUnknown };

/// All outcomes, in the order of their values.
inline constexpr std::array kRequestOutcomes = {
    RequestOutcome::kAnswered, RequestOutcome::kNotRun, RequestOutcome::kFailed,
    RequestOutcome::kUnknown};

/// Name of an outcome, for example `not_run`.
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

/// The outcome that a failure counts as.
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
