#pragma once

#include <string>

#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// An endpoint as the configuration declares it, as far as leaving concerns.
struct WatchedEndpoint {
  EndpointId id;
  /// IP address and port.
  std::string address;
  /// Whether the operators have asked that it takes no new work.
  bool leaving = false;
};

}  // namespace sycamoreford
