#include "sycamoreford/relay/request_trait.h"

#include <algorithm>

#include "sycamoreford/relay/relay_request.h"

namespace sycamoreford {

bool ContainsWholeRequest(const std::vector<RequestTrait>& traits) noexcept {
  return std::any_of(traits.begin(), traits.end(), IsWholeRequest);
}

std::string PartsToString(const std::vector<RequestTrait>& traits) {
  std::vector<PromptPartId> parts;
  for (const RequestTrait& trait : traits) {
    if (const auto* part = std::get_if<PromptPartId>(&trait)) {
      parts.push_back(*part);
    }
  }
  return ToString(parts);
}

std::string FingerprintsToString(const std::vector<RequestTrait>& traits) {
  std::string text;
  for (const RequestTrait& trait : traits) {
    if (const auto* fingerprint = std::get_if<RequestFingerprint>(&trait)) {
      text += (text.empty() ? "" : ",") + ToString(*fingerprint);
    }
  }
  return text;
}

}  // namespace sycamoreford
