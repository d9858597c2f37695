#pragma once

#include <string_view>

namespace sycamoreford {

/// What is known of a request that was not answered.
enum class Outcome {
  /// It was proved that no endpoint ran any part of it.
  kNotRun,
  /// It ran, wholly or in part, and the failure is known.
  kFailed,
  /// It may or may not have run.
  kUnknown,
};

/// Name of an outcome as callers see it: `not_run`, `failed` or `unknown`.
[[nodiscard]] constexpr std::string_view ToString(Outcome outcome) noexcept {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace sycamoreford
