#pragma once

#include <cstdint>

namespace sycamoreford {

/// What this daemon knows of an endpoint's present condition.
struct EndpointLoad {
  /// Requests of this daemon that run there now.
  std::uint32_t in_flight = 0;
  /// Takes no new work: it is leaving.
  bool is_leaving = false;
  /// Takes no new work until it is tried again: its last attempts failed.
  bool is_suspected = false;
};

}  // namespace sycamoreford
