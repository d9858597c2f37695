#pragma once

#include <concepts>
#include <cstdint>
#include <set>
#include <vector>

#include "sycamoreford/core/failure.h"
#include "sycamoreford/route/chain.h"
#include "sycamoreford/route/endpoint_load.h"
#include "sycamoreford/route/pool_plan.h"
#include "sycamoreford/v1/config.pb.h"

namespace sycamoreford {

/// A source of load by endpoint.
template <class T>
concept LoadSource = requires(const T& source, const EndpointId& id) {
  { source.LoadOf(id) } -> std::same_as<EndpointLoad>;
};

/// What a request wishes of its chain.
struct ChainOptions {
  /// Endpoints that must not be used, for example those that failed an earlier
  /// attempt.
  std::set<EndpointId> avoid;
  /// Spreads requests; take a new random number for each attempt.
  std::uint64_t random = 0;
  /// Hash of the prompt's prefix, or 0. Requests with equal prefixes meet at
  /// the same endpoints for as long as those are not much busier than others.
  std::uint64_t prefix = 0;
  /// Endpoints to compare at each step; 0 compares all.
  std::uint32_t choices = 0;
  /// Live daemons, which share the endpoints' slots.
  std::uint32_t daemons = 1;
};

namespace impl {

/// A step and what is known of it now.
struct StageState {
  const PlanStage* stage = nullptr;
  EndpointLoad load;
};

/// Chooses among usable stages; see `PlanChain`.
[[nodiscard]] Result<Chain> ChooseChain(const std::vector<StageState>& usable,
                                        std::uint32_t layers,
                                        const ChainOptions& options);

/// Most requests that one of `daemons` daemons sends to an endpoint at once.
[[nodiscard]] std::uint32_t MaxInFlightPerDaemon(
    std::uint32_t slots,
    std::uint32_t daemons) noexcept;

}  // namespace impl

/// Plans a chain.
///
/// From layer 0 on, each step compares a few endpoints, drawn by their part of
/// the greatest flow, and takes the one with the least work for its part; only
/// steps from which the last layer can be reached take part.
///
/// \returns a chain that covers all layers of the plan, or `kNoEndpoint` (not
///     run) when there is none.
template <LoadSource Loads>
[[nodiscard]] Result<Chain> PlanChain(const PoolPlan& plan,
                                      const Loads& loads,
                                      const ChainOptions& options) {
  std::vector<impl::StageState> usable;
  usable.reserve(plan.stages().size());
  for (const PlanStage& stage : plan.stages()) {
    const EndpointLoad load = loads.LoadOf(stage.endpoint);
    if (!load.is_leaving && !load.is_suspected &&
        load.in_flight <
            impl::MaxInFlightPerDaemon(stage.slots, options.daemons) &&
        !options.avoid.contains(stage.endpoint)) {
      usable.push_back({&stage, load});
    }
  }
  return impl::ChooseChain(usable, plan.layers(), options);
}

/// Plans a chain over a pool that has no plan yet; deterministic.
template <LoadSource Loads>
[[nodiscard]] Result<Chain> PlanChain(const v1::Pool& pool,
                                      const v1::ModelVersion& version,
                                      const Loads& loads,
                                      const std::set<EndpointId>& avoid) {
  return PlanChain(PoolPlan::Compute(pool, version), loads,
                   ChainOptions{.avoid = avoid});
}

}  // namespace sycamoreford
