#pragma once

#include <cstdint>

namespace sycamoreford {

/// Current load and condition of an endpoint, as known to this daemon.
struct EndpointLoad {
  /// Requests of this daemon in flight there.
  std::uint32_t in_flight = 0;
  /// Requests of other daemons there, according to the last report, which may
  /// be out of date; 0 when there is no recent report.
  double reported_requests = 0;
  /// Current speed relative to the declared one, in (0, 1]; below 1 while the
  /// endpoint is slow or warming up.
  double speed = 1;
  /// The endpoint is leaving and gets no new requests.
  bool is_leaving = false;
  /// The endpoint gets no new requests: its last attempts failed, and either
  /// its suspicion time has not passed yet or a trial request is running.
  bool is_suspected = false;
};

}  // namespace sycamoreford
