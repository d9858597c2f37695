#pragma once

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "sycamoreford/core/layer_range.h"
#include "sycamoreford/route/chain_planner.h"

namespace sycamoreford {

/// The stages that the next attempts at one answer had better avoid.
///
/// A failure that names a stage condemns that one; silence condemns none, but
/// one of the chain is to blame and the next chain should share as few stages
/// with it as can be. No I/O. Thread safety: none.
class StageSuspects {
 public:
  /// Adds the stage that a failure named. It is avoided for as long as the
  /// pool gives it the same layers.
  void AddNamed(const ChainStage& stage) {
    named_[stage.endpoint] = stage.layers;
  }

  /// Adds a chain of which one stage, not known which, is to blame.
  void AddChain(const Chain& chain) {
    for (const ChainStage& stage : chain) {
      if (std::find(doubted_.begin(), doubted_.end(), stage.endpoint) ==
          doubted_.end()) {
        doubted_.push_back(stage.endpoint);
      }
    }
  }

  /// Plans a chain with no suspect, or with one doubted stage at most.
  template <LoadSource Loads>
  [[nodiscard]] Result<Chain> PlanClear(const v1::Pool& pool,
                                        const v1::ModelVersion& version,
                                        const Loads& loads) const {
    std::set<EndpointId> avoid = Named(pool);
    avoid.insert(doubted_.begin(), doubted_.end());
    auto chain = PlanChain(pool, version, loads, avoid);
    for (auto at = doubted_.begin(); !chain && at != doubted_.end(); ++at) {
      std::set<EndpointId> fewer = avoid;
      fewer.erase(*at);
      chain = PlanChain(pool, version, loads, fewer);
    }
    return chain;
  }

  /// Plans a chain with as few suspects as can be, the oldest first.
  template <LoadSource Loads>
  [[nodiscard]] Result<Chain> Plan(const v1::Pool& pool,
                                   const v1::ModelVersion& version,
                                   const Loads& loads) const {
    auto chain = PlanClear(pool, version, loads);
    std::set<EndpointId> avoid = Named(pool);
    avoid.insert(doubted_.begin(), doubted_.end());
    const std::set<EndpointId> named = Named(pool);
    for (auto at = doubted_.begin(); !chain && at != doubted_.end(); ++at) {
      if (!named.contains(*at)) {
        avoid.erase(*at);
      }
      chain = PlanChain(pool, version, loads, avoid);
    }
    if (!chain && !avoid.empty()) {
      chain = PlanChain(pool, version, loads, {});
    }
    return chain;
  }

 private:
  [[nodiscard]] std::set<EndpointId> Named(const v1::Pool& pool) const {
    std::set<EndpointId> named;
    for (const v1::Endpoint& endpoint : pool.endpoints()) {
      const auto found = named_.find(EndpointId(endpoint.name()));
      const LayerRange layers{endpoint.first_layer(), endpoint.end_layer()};
      if (found != named_.end() && found->second == layers) {
        named.insert(found->first);
      }
    }
    return named;
  }

  std::map<EndpointId, LayerRange> named_;
  /// Oldest first.
  std::vector<EndpointId> doubted_;
};

}  // namespace sycamoreford
