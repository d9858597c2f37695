#pragma once

#include <concepts>
#include <cstdint>
#include <set>
#include <string>

#include "sycamoreford/core/failure.h"
#include "sycamoreford/route/chain.h"
#include "sycamoreford/route/endpoint_load.h"
#include "sycamoreford/v1/config.pb.h"

namespace sycamoreford {

/// A source of load by endpoint.
template <class T>
concept LoadSource = requires(const T& source, const EndpointId& id) {
  { source.LoadOf(id) } -> std::same_as<EndpointLoad>;
};

namespace impl {

/// An endpoint as a step in a plan.
struct PlanStep {
  const v1::Endpoint* endpoint = nullptr;
  double cost = 0;
};

/// Finds the cheapest cover of `[0, layers)` by whole endpoint ranges.
[[nodiscard]] Result<Chain> CheapestCover(const std::vector<PlanStep>& steps,
                                          std::uint32_t layers);

/// Expected time of one token through an endpoint, in seconds.
[[nodiscard]] double StageCost(const v1::Endpoint& endpoint,
                               const EndpointLoad& load,
                               std::uint32_t bytes_per_token) noexcept;

}  // namespace impl

/// Plans a chain over the endpoints of a pool.
///
/// \param avoid endpoints that must not be used, for example those that failed
///     an earlier attempt.
/// \returns the cheapest chain that covers all layers of the version, or
///     `kNoEndpoint` (not run) when there is none.
template <LoadSource Loads>
[[nodiscard]] Result<Chain> PlanChain(const v1::Pool& pool,
                                      const v1::ModelVersion& version,
                                      const Loads& loads,
                                      const std::set<EndpointId>& avoid) {
  std::vector<impl::PlanStep> steps;
  for (const v1::Endpoint& endpoint : pool.endpoints()) {
    const EndpointId id(endpoint.name());
    const EndpointLoad load = loads.LoadOf(id);
    const bool usable = !endpoint.leaving() && !load.is_leaving &&
                        !load.is_suspected && !avoid.contains(id);
    if (usable) {
      steps.push_back({&endpoint, impl::StageCost(endpoint, load,
                                                  version.bytes_per_token())});
    }
  }
  return impl::CheapestCover(steps, version.layers());
}

}  // namespace sycamoreford
