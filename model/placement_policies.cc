#include "placement_policies.h"

#include <algorithm>
#include <cmath>

namespace sycamoreford::model {
namespace {

/// Divides all layers over groups of cards in proportion to their memory; each
/// group keeps within the memory of its smallest card.
std::vector<PlacementChange> DivideLayers(
    const EngineProfile& profile,
    const std::vector<std::vector<const Accelerator*>>& groups) {
  const auto memory_of = [](const std::vector<const Accelerator*>& group) {
    double least = group.front()->kind.memory_mb;
    for (const Accelerator* card : group) {
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
    for (const Accelerator* card : group) {
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

std::vector<const Accelerator*> ByMemory(
    const std::vector<Accelerator>& cards) {
  std::vector<const Accelerator*> sorted;
  sorted.reserve(cards.size());
  for (const Accelerator& card : cards) {
    sorted.push_back(&card);
  }
  std::sort(sorted.begin(), sorted.end(),
            [](const Accelerator* a, const Accelerator* b) {
              return a->kind.memory_mb != b->kind.memory_mb
                         ? a->kind.memory_mb > b->kind.memory_mb
                         : a->id < b->id;
            });
  return sorted;
}

}  // namespace

std::vector<PlacementChange> OneChainLayout::Plan(
    const EngineProfile& profile,
    const std::vector<Accelerator>& cards) {
  std::vector<std::vector<const Accelerator*>> groups;
  for (const Accelerator* card : ByMemory(cards)) {
    groups.push_back({card});
  }
  return DivideLayers(profile, groups);
}

std::vector<PlacementChange> PairLayout::Plan(
    const EngineProfile& profile,
    const std::vector<Accelerator>& cards) {
  std::vector<std::vector<const Accelerator*>> groups;
  for (const Accelerator* card : ByMemory(cards)) {
    if (!groups.empty() && groups.back().size() < 2) {
      groups.back().push_back(card);
    } else {
      groups.push_back({card});
    }
  }
  return DivideLayers(profile, groups);
}

}  // namespace sycamoreford::model
