#pragma once

#include <cstdint>
#include <string_view>

namespace sycamoreford {

/// How a daemon learned that an endpoint is leaving.
enum class LeavingSource : std::uint8_t {
  /// A response to a request.
  kResponse,
  kReport,
  /// The response to an order.
  kOrder,
  /// A response that came through another daemon.
  kForwardedResponse,
  /// A message of another daemon.
  kPeer,
};

/// Name of a source in logs and metrics.
[[nodiscard]] constexpr std::string_view ToString(
    LeavingSource source) noexcept {
  switch (source) {
    case LeavingSource::kResponse:
      return "response";
    case LeavingSource::kReport:
      return "report";
    case LeavingSource::kOrder:
      return "order";
    case LeavingSource::kForwardedResponse:
      return "forwarded_response";
    case LeavingSource::kPeer:
      return "peer";
  }
  return "unknown";
}

}  // namespace sycamoreford
