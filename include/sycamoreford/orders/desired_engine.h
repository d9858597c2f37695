#pragma once

#include <string>
#include <vector>

#include "sycamoreford/config/configuration.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/orders/engine_state.h"

namespace sycamoreford {

/// An engine and its desired state according to the configuration.
struct DesiredEngine {
  EndpointId endpoint;
  /// IP address and port.
  std::string address;
  /// Whether it refuses orders with an outdated fencing token.
  bool checks_fencing = false;
  EngineState state;
};

/// Derives the desired state of a pool's engines from the routes to the pool:
/// their model version, and the adapters of all routes.
///
/// \returns an entry for each endpoint with a non-empty layer range; none if
///     the pool does not exist, no route leads to it, or its routes require
///     different model versions.
[[nodiscard]] std::vector<DesiredEngine> DesiredEngines(
    const Configuration& configuration,
    const std::string& pool);

}  // namespace sycamoreford
