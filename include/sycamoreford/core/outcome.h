#pragma once

#include <string_view>

namespace sycamoreford {

/// Whether a request that did not complete was executed.
enum class Outcome {
  /// It is certain that no endpoint executed any part of it.
  kNotRun,
  /// It was executed at least in part, and failed.
  kFailed,
  /// It may or may not have been executed.
  kUnknown,
};

/// Name of an outcome as reported to callers: `not_run`, `failed` or `unknown`.
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
