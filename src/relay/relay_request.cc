#include "sycamoreford/relay/relay_request.h"

#include <algorithm>
#include <sstream>

namespace sycamoreford {

std::string_view ToString(Refusal refusal) noexcept {
  switch (refusal) {
    case Refusal::kMalformed:
      return "malformed";
    case Refusal::kNoRoute:
      return "no_route";
    case Refusal::kUnknownKey:
      return "unknown_key";
    case Refusal::kNoConfiguration:
      return "no_configuration";
    case Refusal::kNoEndpoint:
      return "no_endpoint";
    case Refusal::kNoRoom:
      return "no_room";
    case Refusal::kEndpointLimit:
      return "endpoint_limit";
    case Refusal::kEndpointBackoff:
      return "endpoint_backoff";
    case Refusal::kPromptQuarantined:
      return "prompt_quarantined";
    case Refusal::kRequestQuarantined:
      return "request_quarantined";
    case Refusal::kStopping:
      return "stopping";
    case Refusal::kTooLate:
      return "too_late";
    case Refusal::kAnswerLost:
      return "answer_lost";
    case Refusal::kTimedOut:
      return "timed_out";
  }
  return "unknown";
}

bool IsNotRun(Refusal refusal) noexcept {
  return refusal != Refusal::kAnswerLost && refusal != Refusal::kTimedOut;
}

std::string ToString(RequestFingerprint fingerprint) {
  std::ostringstream text;
  text << std::hex << fingerprint.value();
  return text.str();
}

std::string ToString(const std::vector<PromptPartId>& parts) {
  std::ostringstream text;
  const std::size_t count = std::min(parts.size(), kMaxPrintedParts);
  for (std::size_t i = 0; i < count; ++i) {
    text << (i == 0 ? "" : ",") << std::hex << parts[i].value();
  }
  if (count < parts.size()) {
    text << ",+" << std::dec << parts.size() - count;
  }
  return text.str();
}

}  // namespace sycamoreford
