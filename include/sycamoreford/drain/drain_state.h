#pragma once

#include <string_view>

namespace sycamoreford {

/// How far a planned stop has come.
enum class DrainState {
  /// No stop was asked for.
  kServing,
  /// Readiness fails so that the balancer notices; new requests are served.
  kNotReady,
  /// The listener is closed; requests in flight are finished.
  kFinishing,
  /// Leases are handed over and accounts written.
  kHandingOver,
  /// Nothing is left to do.
  kExited,
};

/// Name of a state, for example `handing_over`.
[[nodiscard]] std::string_view ToString(DrainState state) noexcept;

}  // namespace sycamoreford
