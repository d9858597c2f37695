#pragma once

#include <string_view>

namespace sycamoreford {

/// State of a planned stop.
enum class DrainState {
  /// No stop was requested.
  kServing,
  /// The readiness check fails so that the load balancer stops sending
  /// requests; new requests are still served.
  kNotReady,
  /// The listener is closed; requests in flight are being finished.
  kFinishing,
  /// Leases are being handed over and final states of claims stored.
  kHandingOver,
  /// The stop is complete.
  kExited,
};

/// Name of a state, for example `handing_over`. `kNotReady` is `noticed`.
[[nodiscard]] std::string_view ToString(DrainState state) noexcept;

}  // namespace sycamoreford
