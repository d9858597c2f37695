#pragma once

#include <string_view>

namespace sycamoreford {

/// Why an endpoint is inspected.
enum class InspectionCause {
  /// Another daemon asks, or has found it lost.
  kAsked,
  /// A request met a fault of it.
  kFault,
  /// It is a stage of a chain that is silent or slow.
  kChain,
  /// It has reported to be slow.
  kSlow,
  /// A suspicion of it is about to end.
  kSuspicionEnd,
  /// Requests wait for a chain while it is suspected.
  kAwaited,
  /// The list of endpoints cannot be read.
  kListLost,
  /// It has said that it leaves, and the list may show an earlier run of it.
  kLeaving,
  /// The daemons that were asked about it have not replied.
  kNoReply,
};

[[nodiscard]] constexpr std::string_view ToString(
    InspectionCause cause) noexcept {
  switch (cause) {
    case InspectionCause::kAsked:
      return "asked";
    case InspectionCause::kFault:
      return "fault";
    case InspectionCause::kChain:
      return "chain";
    case InspectionCause::kSlow:
      return "slow";
    case InspectionCause::kSuspicionEnd:
      return "suspicion_end";
    case InspectionCause::kAwaited:
      return "awaited";
    case InspectionCause::kListLost:
      return "list_lost";
    case InspectionCause::kLeaving:
      return "leaving";
    case InspectionCause::kNoReply:
      return "no_reply";
  }
  return "";
}

}  // namespace sycamoreford
