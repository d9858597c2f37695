#pragma once

#include <concepts>
#include <set>
#include <string>
#include <vector>

#include "sycamoreford/placement/placement_scheduler.h"

namespace sycamoreford::model {

/// Decides which layers each accelerator holds.
template <class T>
concept PlacementPolicy = requires(T& policy,
                                   const EngineProfile& profile,
                                   std::vector<Accelerator> accelerators,
                                   const std::vector<std::string>& in_use,
                                   const std::string& accelerator,
                                   TimePoint now) {
  {
    policy.NextOrders(profile, accelerators, in_use, now)
    } -> std::same_as<std::vector<PlacementChange>>;
  policy.OnRefused(accelerator, now);
};

/// Assigns the layers of a model to all accelerators of one data centre.
template <class T>
concept Layout = requires(const EngineProfile& profile,
                          const std::vector<Accelerator>& accelerators) {
  {
    T::Plan(profile, accelerators)
    } -> std::same_as<std::vector<PlacementChange>>;
};

/// One chain over all accelerators, with layers in proportion to memory.
struct OneChainLayout {
  static std::vector<PlacementChange> Plan(
      const EngineProfile& profile,
      const std::vector<Accelerator>& accelerators);
};

/// Pairs accelerators of similar memory; both of a pair hold the same layers.
struct PairLayout {
  static std::vector<PlacementChange> Plan(
      const EngineProfile& profile,
      const std::vector<Accelerator>& accelerators);
};

/// Baseline policy: applies a layout to each data centre and applies it again
/// whenever the set of its accelerators changes.
template <Layout TheLayout>
class FixedLayout {
 public:
  std::vector<PlacementChange> NextOrders(
      const EngineProfile& profile,
      std::vector<Accelerator> accelerators,
      const std::vector<std::string>& /*in_use*/,
      TimePoint /*now*/) {
    std::vector<PlacementChange> changes;
    for (const auto& [data_centre, group] :
         GroupByDataCentre(std::move(accelerators))) {
      std::set<std::string> ids;
      for (const Accelerator& accelerator : group) {
        ids.insert(accelerator.id);
      }
      if (planned_accelerators_[data_centre] == ids) {
        continue;
      }
      planned_accelerators_[data_centre] = ids;
      for (PlacementChange& change : TheLayout::Plan(profile, group)) {
        changes.push_back(std::move(change));
      }
    }
    return changes;
  }

  /// Applies the layout to all data centres again in the next round.
  void OnRefused(const std::string& /*accelerator_id*/, TimePoint /*now*/) {
    planned_accelerators_.clear();
  }

 private:
  std::map<std::string, std::set<std::string>> planned_accelerators_;
};

}  // namespace sycamoreford::model
