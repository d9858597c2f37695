#pragma once

#include <concepts>
#include <set>
#include <string>
#include <vector>

#include "sycamoreford/placement/placement_scheduler.h"

namespace sycamoreford::model {

/// Decides which layers cards are to hold.
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

/// Lays the layers of a data centre out over all of its cards.
template <class T>
concept Layout = requires(const EngineProfile& profile,
                          const std::vector<Accelerator>& accelerators) {
  {
    T::Plan(profile, accelerators)
    } -> std::same_as<std::vector<PlacementChange>>;
};

/// One chain over all cards, layers in proportion to memory.
struct OneChainLayout {
  static std::vector<PlacementChange> Plan(
      const EngineProfile& profile,
      const std::vector<Accelerator>& accelerators);
};

/// Cards with memory alike hold the same layers, two by two.
struct PairLayout {
  static std::vector<PlacementChange> Plan(
      const EngineProfile& profile,
      const std::vector<Accelerator>& accelerators);
};

/// A baseline: keeps to a layout and lays a data centre out anew whenever its
/// cards change.
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

  /// Plans all data centres again.
  void OnRefused(const std::string& /*card*/, TimePoint /*now*/) {
    planned_accelerators_.clear();
  }

 private:
  std::map<std::string, std::set<std::string>> planned_accelerators_;
};

}  // namespace sycamoreford::model
