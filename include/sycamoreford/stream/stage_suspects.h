#pragma once

#include <algorithm>
#include <concepts>
#include <map>
#include <set>
#include <vector>

#include "sycamoreford/core/layer_range.h"
#include "sycamoreford/route/chain_planner.h"

namespace sycamoreford {

/// Plans a chain that uses none of the endpoints in `avoid`.
template <class T>
concept ChainSource = requires(const T& plan,
                               const std::set<EndpointId>& avoid) {
  { plan(avoid) } -> std::same_as<Result<Chain>>;
};

/// The stages that later attempts at one answer should avoid.
///
/// A failure that names a stage marks that stage as failed. A stall names none:
/// any stage of the chain may be the cause, so all of them become suspects and
/// the next chain shares as few stages with it as possible. Performs no I/O.
/// Not thread safe.
class StageSuspects {
 public:
  /// Adds a stage that a failure names. It is avoided as long as the pool
  /// assigns the same layers to it.
  void AddFailedStage(const ChainStage& stage) {
    failed_[stage.endpoint] = stage.layers;
  }

  /// Adds all stages of a chain as suspects, after a stall, slowness or failure
  /// that cannot be attributed to one of them.
  void AddSuspectChain(const Chain& chain) {
    for (const ChainStage& stage : chain) {
      if (std::find(suspected_.begin(), suspected_.end(), stage.endpoint) ==
          suspected_.end()) {
        suspected_.push_back(stage.endpoint);
      }
    }
  }

  /// Plans a chain that avoids failed and suspected stages; if there is none,
  /// allows one of the suspects.
  ///
  /// \param plan plans a chain over `pool` without the endpoints it is given.
  template <ChainSource Source>
  [[nodiscard]] Result<Chain> PlanAvoidingSuspects(const v1::Pool& pool,
                                                   const Source& plan) const {
    std::set<EndpointId> avoid = FailedStages(pool);
    avoid.insert(suspected_.begin(), suspected_.end());
    auto chain = plan(avoid);
    for (auto it = suspected_.begin(); !chain && it != suspected_.end(); ++it) {
      std::set<EndpointId> fewer = avoid;
      fewer.erase(*it);
      chain = plan(fewer);
    }
    return chain;
  }

  /// Plans a chain like `PlanAvoidingSuspects`. If there is none, allows one
  /// suspect after another, oldest first, so that the chain has few of them;
  /// allows failed stages last.
  ///
  /// \param plan as for `PlanAvoidingSuspects`.
  template <ChainSource Source>
  [[nodiscard]] Result<Chain> Plan(const v1::Pool& pool,
                                   const Source& plan) const {
    auto chain = PlanAvoidingSuspects(pool, plan);
    std::set<EndpointId> avoid = FailedStages(pool);
    avoid.insert(suspected_.begin(), suspected_.end());
    const std::set<EndpointId> failed = FailedStages(pool);
    for (auto it = suspected_.begin(); !chain && it != suspected_.end(); ++it) {
      if (!failed.contains(*it)) {
        avoid.erase(*it);
      }
      chain = plan(avoid);
    }
    if (!chain && !avoid.empty()) {
      chain = plan({});
    }
    return chain;
  }

 private:
  [[nodiscard]] std::set<EndpointId> FailedStages(const v1::Pool& pool) const {
    std::set<EndpointId> failed;
    for (const v1::Endpoint& endpoint : pool.endpoints()) {
      const auto found = failed_.find(EndpointId(endpoint.name()));
      const LayerRange layers{endpoint.first_layer(), endpoint.end_layer()};
      if (found != failed_.end() && found->second == layers) {
        failed.insert(found->first);
      }
    }
    return failed;
  }

  std::map<EndpointId, LayerRange> failed_;
  /// Oldest first.
  std::vector<EndpointId> suspected_;
};

}  // namespace sycamoreford
