#pragma once

#include <chrono>
#include <cstdint>

#include "sycamoreford/fleet/endpoint_run_id.h"

namespace sycamoreford {

/// Wall clocks of two VMs differ by less than this, also after one was stepped.
inline constexpr std::chrono::seconds kMaxClockDifference{4};

/// What is known of an endpoint that leaves.
struct LeavingRun {
  /// The run that the list showed, or that the endpoint itself stated.
  EndpointRunId run;
  /// Wall-clock time in ms up to which runs under the same id that started
  /// later than `run` are leaving or over as well: they ran when the endpoint
  /// was asked, by whatever clock. At least `kMaxClockDifference` ago; 0 if the
  /// endpoint stated its start.
  std::uint64_t until_ms = 0;

  friend bool operator==(const LeavingRun&, const LeavingRun&) = default;
};

}  // namespace sycamoreford
