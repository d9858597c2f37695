#include "sycamoreford/orders/desired_engine.h"

#include <optional>

namespace sycamoreford {
namespace {

/// The state that the routes to a pool require; empty if there are no routes or
/// they require different model versions.
std::optional<EngineState> DesiredStateOf(const Configuration& configuration,
                                          const std::string& pool) {
  std::optional<EngineState> desired;
  for (const v1::Resource* resource : configuration.List(v1::KIND_ROUTE)) {
    const v1::Route& route = resource->route();
    if (route.pool() != pool) {
      continue;
    }
    const v1::ModelVersion& version =
        configuration.Find(v1::KIND_MODEL_VERSION, route.model_version())
            ->model_version();
    if (!desired) {
      desired = EngineState{version.model(), version.version(), {}};
    } else if (desired->model != version.model() ||
               desired->version != version.version()) {
      return std::nullopt;
    }
    if (!route.adapter().empty()) {
      desired->adapters.insert(route.adapter());
    }
  }
  return desired;
}

}  // namespace

std::vector<DesiredEngine> DesiredEngines(const Configuration& configuration,
                                          const std::string& pool) {
  std::vector<DesiredEngine> engines;
  const v1::Resource* found = configuration.Find(v1::KIND_POOL, pool);
  const std::optional<EngineState> desired =
      DesiredStateOf(configuration, pool);
  if (found == nullptr || !desired) {
    return engines;
  }
  for (const v1::Endpoint& endpoint : found->pool().endpoints()) {
    if (endpoint.end_layer() > endpoint.first_layer()) {
      engines.push_back({EndpointId(endpoint.name()), endpoint.address(),
                         endpoint.checks_fencing(), *desired});
    }
  }
  return engines;
}

}  // namespace sycamoreford
