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
                                   std::vector<Accelerator> cards,
                                   const std::vector<std::string>& in_use,
                                   const std::string& card,
                                   TimePoint now) {
  {
    policy.NextOrders(profile, cards, in_use, now)
    } -> std::same_as<std::vector<PlacementChange>>;
  policy.OnRefused(card, now);
};

/// Lays the layers of a data centre out over all of its cards.
template <class T>
concept Layout = requires(const EngineProfile& profile,
                          const std::vector<Accelerator>& cards) {
  { T::Plan(profile, cards) } -> std::same_as<std::vector<PlacementChange>>;
};

/// One chain over all cards, layers in proportion to memory.
struct OneChainLayout {
  static std::vector<PlacementChange> Plan(
      const EngineProfile& profile,
      const std::vector<Accelerator>& cards);
};

/// Cards with memory alike hold the same layers, two by two.
struct PairLayout {
  static std::vector<PlacementChange> Plan(
      const EngineProfile& profile,
      const std::vector<Accelerator>& cards);
};

/// A baseline: keeps to a layout and lays a data centre out anew whenever its
/// cards change.
template <Layout TheLayout>
class FixedLayout {
 public:
  std::vector<PlacementChange> NextOrders(
      const EngineProfile& profile,
      std::vector<Accelerator> cards,
      const std::vector<std::string>& /*in_use*/,
      TimePoint /*now*/) {
    std::vector<PlacementChange> changes;
    for (const auto& [data_centre, group] :
         GroupByDataCentre(std::move(cards))) {
      std::set<std::string> ids;
      for (const Accelerator& card : group) {
        ids.insert(card.id);
      }
      if (laid_out_[data_centre] == ids) {
        continue;
      }
      laid_out_[data_centre] = ids;
      for (PlacementChange& change : TheLayout::Plan(profile, group)) {
        changes.push_back(std::move(change));
      }
    }
    return changes;
  }

  /// Plans all data centres again.
  void OnRefused(const std::string& /*card*/, TimePoint /*now*/) {
    laid_out_.clear();
  }

 private:
  std::map<std::string, std::set<std::string>> laid_out_;
};

}  // namespace sycamoreford::model
