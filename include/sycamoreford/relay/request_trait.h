#pragma once

#include <string>
#include <variant>
#include <vector>

#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// A property by which requests that crash endpoints are recognized: a part of
/// the prompt, or what makes up the request as a whole.
using RequestTrait = std::variant<PromptPartId, RequestFingerprint>;

[[nodiscard]] inline bool IsWholeRequest(const RequestTrait& trait) noexcept {
  return std::holds_alternative<RequestFingerprint>(trait);
}

/// Whether one of the traits stands for a request as a whole.
[[nodiscard]] bool ContainsWholeRequest(
    const std::vector<RequestTrait>& traits) noexcept;

/// Formats the prompt parts among the traits for logs.
[[nodiscard]] std::string PartsToString(
    const std::vector<RequestTrait>& traits);

/// Formats the fingerprints among the traits for logs: hexadecimal, separated
/// by commas.
[[nodiscard]] std::string FingerprintsToString(
    const std::vector<RequestTrait>& traits);

}  // namespace sycamoreford
