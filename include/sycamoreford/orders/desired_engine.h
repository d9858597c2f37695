#pragma once

#include <string>
#include <vector>

#include "sycamoreford/config/configuration.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/orders/engine_state.h"

namespace sycamoreford {

/// An engine and the state that the configuration wants it to be in.
struct DesiredEngine {
  EndpointId endpoint;
  /// IP address and port.
  std::string address;
  /// Whether it refuses orders with an old fencing number.
  bool checks_fencing = false;
  EngineState state;
};

/// What the routes of a configuration want of a pool's engines: the version
/// that they serve and all their adapters.
///
/// \returns one for each endpoint that holds layers; none when no route serves
///     the pool, or when its routes want different versions.
[[nodiscard]] std::vector<DesiredEngine> DesiredEngines(
    const Configuration& configuration,
    const std::string& pool);

}  // namespace sycamoreford
