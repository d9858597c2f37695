#pragma once

#include <cstdint>

namespace sycamoreford {

/// What this daemon knows of an endpoint's present condition.
struct EndpointLoad {
  /// Requests of this daemon that run there now.
  std::uint32_t in_flight = 0;
  /// Requests of other daemons there, as last reported; a hint that may be
  /// late, 0 when there is no recent report.
  double reported_requests = 0;
  /// Present speed as a part of the declared one, in (0, 1]: below 1 while it
  /// is slow or warms up.
  double speed = 1;
  /// Takes no new work: it is leaving.
  bool is_leaving = false;
  /// Takes no new work: its last attempts failed and it is not time to try it
  /// again, or a trial is running.
  bool is_suspected = false;
};

}  // namespace sycamoreford
