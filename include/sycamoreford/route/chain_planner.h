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

/// A type that provides the load of endpoints.
template <class T>
concept LoadSource = requires(const T& source, const EndpointId& id) {
  { source.LoadOf(id) } -> std::same_as<EndpointLoad>;
};

/// Constraints and preferences of a request for its chain.
struct ChainOptions {
  /// Endpoints that must not be used, for example because an earlier attempt
  /// failed there.
  std::set<EndpointId> avoid;
  /// Distributes requests over endpoints; use a new random number for each
  /// attempt.
  std::uint64_t random = 0;
  /// Hash of the prompt's prefix, or 0. Requests with equal prefixes are sent
  /// to the same endpoints, where the prefix may be cached, unless those are
  /// much busier than others.
  std::uint64_t prefix_hash = 0;
  /// Number of random candidates to compare at each stage; 0 compares all.
  std::uint32_t choices = 0;
  /// Number of live daemons, which share the endpoints' slots.
  std::uint32_t daemons = 1;
};

namespace impl {

/// A stage of the plan and the current load of its endpoint.
struct StageState {
  const PlanStage* stage = nullptr;
  EndpointLoad load;
};

/// Chooses among usable stages; see `PlanChain`.
[[nodiscard]] Result<Chain> ChooseChain(const std::vector<StageState>& usable,
                                        std::uint32_t layers,
                                        const ChainOptions& options);

/// Maximum number of concurrent requests that one of `daemons` daemons sends to
/// an endpoint.
[[nodiscard]] std::uint32_t MaxInFlightPerDaemon(
    std::uint32_t slots,
    std::uint32_t daemons) noexcept;

}  // namespace impl

/// Plans a chain.
///
/// Starting at layer 0, each stage is chosen among a few candidates, drawn at
/// random in proportion to their share of the maximum flow. The candidate with
/// the least load relative to this share is taken. Candidates from which the
/// last layer can't be reached are excluded.
///
/// \returns a chain that covers all layers of the plan, or `kNoEndpoint` with
///     outcome `kNotRun` when there is none.
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

/// Plans a chain over a pool without a precomputed plan; deterministic.
template <LoadSource Loads>
[[nodiscard]] Result<Chain> PlanChain(const v1::Pool& pool,
                                      const v1::ModelVersion& version,
                                      const Loads& loads,
                                      const std::set<EndpointId>& avoid) {
  return PlanChain(PoolPlan::Compute(pool, version), loads,
                   ChainOptions{.avoid = avoid});
}

}  // namespace sycamoreford
