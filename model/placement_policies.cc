#include "placement_policies.h"

#include <algorithm>
#include <cmath>

namespace sycamoreford::model {
namespace {

/// Divides all layers over groups of cards in proportion to their memory; each
/// group keeps within the memory of its smallest card.
std::vector<PlacementChange> DivideLayers(
    const EngineProfile& profile,
    const std::vector<std::vector<const Card*>>& groups) {
  const auto memory_of = [](const std::vector<const Card*>& group) {
    double least = group.front()->kind.memory_mb;
    for (const Card* card : group) {
      least = std::min(least, card->kind.memory_mb);
    }
    return least;
  };
  double total = 0;
  for (const auto& group : groups) {
    total += memory_of(group);
  }
  std::vector<PlacementChange> changes;
  double before = 0;
  std::uint32_t from = 0;
  for (const auto& group : groups) {
    before += memory_of(group);
    const auto end = static_cast<std::uint32_t>(
        std::lround(before / total * profile.layers));
    for (const Card* card : group) {
      if (end > from &&
          (end - from) * profile.layer_mb < card->kind.memory_mb &&
          card->layers != LayerRange{from, end}) {
        changes.push_back({card->id, {from, end}});
      }
    }
    from = end;
  }
  return changes;
}

std::vector<const Card*> ByMemory(const std::vector<Card>& cards) {
  std::vector<const Card*> sorted;
  sorted.reserve(cards.size());
  for (const Card& card : cards) {
    sorted.push_back(&card);
  }
  std::sort(sorted.begin(), sorted.end(), [](const Card* a, const Card* b) {
    return a->kind.memory_mb != b->kind.memory_mb
               ? a->kind.memory_mb > b->kind.memory_mb
               : a->id < b->id;
  });
  return sorted;
}

}  // namespace

std::vector<PlacementChange> OneChainLayout::Plan(
    const EngineProfile& profile,
    const std::vector<Card>& cards) {
  std::vector<std::vector<const Card*>> groups;
  for (const Card* card : ByMemory(cards)) {
    groups.push_back({card});
  }
  return DivideLayers(profile, groups);
}

std::vector<PlacementChange> PairLayout::Plan(const EngineProfile& profile,
                                              const std::vector<Card>& cards) {
  std::vector<std::vector<const Card*>> groups;
  for (const Card* card : ByMemory(cards)) {
    if (!groups.empty() && groups.back().size() < 2) {
      groups.back().push_back(card);
    } else {
      groups.push_back({card});
    }
  }
  return DivideLayers(profile, groups);
}

}  // namespace sycamoreford::model
