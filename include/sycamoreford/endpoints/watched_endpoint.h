#pragma once

#include <string>

#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// The part of a configured endpoint that is needed to detect that it leaves.
struct WatchedEndpoint {
  EndpointId id;
  /// IP address and port.
  std::string address;
  /// Whether operators have configured that it gets no new work.
  bool leaving = false;
};

}  // namespace sycamoreford
