#include "placement_policies.h"

#include <algorithm>
#include <cmath>

namespace sycamoreford::model {
namespace {

/// Divides all layers over groups of accelerators. A group's share is in
/// proportion to the memory of its smallest accelerator. Accelerators whose
/// memory cannot hold the share, and those that hold it already, get no change.
std::vector<PlacementChange> DivideLayers(
    const EngineProfile& profile,
    const std::vector<std::vector<const Accelerator*>>& groups) {
  const auto memory_of = [](const std::vector<const Accelerator*>& group) {
    double min_memory = group.front()->kind.memory_mb;
    for (const Accelerator* accelerator : group) {
      min_memory = std::min(min_memory, accelerator->kind.memory_mb);
    }
    return min_memory;
  };
  double total_memory = 0;
  for (const auto& group : groups) {
    total_memory += memory_of(group);
  }
  std::vector<PlacementChange> changes;
  double cumulative_memory = 0;
  std::uint32_t from = 0;
  for (const auto& group : groups) {
    cumulative_memory += memory_of(group);
    const auto end = static_cast<std::uint32_t>(
        std::lround(cumulative_memory / total_memory * profile.layers));
    for (const Accelerator* accelerator : group) {
      if (end > from &&
          (end - from) * profile.layer_mb < accelerator->kind.memory_mb &&
          accelerator->layers != LayerRange{from, end}) {
        changes.push_back({accelerator->id, {from, end}});
      }
    }
    from = end;
  }
  return changes;
}

std::vector<const Accelerator*> SortedByMemory(
    const std::vector<Accelerator>& accelerators) {
  std::vector<const Accelerator*> sorted;
  sorted.reserve(accelerators.size());
  for (const Accelerator& accelerator : accelerators) {
    sorted.push_back(&accelerator);
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
    const std::vector<Accelerator>& accelerators) {
  std::vector<std::vector<const Accelerator*>> groups;
  for (const Accelerator* accelerator : SortedByMemory(accelerators)) {
    groups.push_back({accelerator});
  }
  return DivideLayers(profile, groups);
}

std::vector<PlacementChange> PairLayout::Plan(
    const EngineProfile& profile,
    const std::vector<Accelerator>& accelerators) {
  std::vector<std::vector<const Accelerator*>> groups;
  for (const Accelerator* accelerator : SortedByMemory(accelerators)) {
    if (!groups.empty() && groups.back().size() < 2) {
      groups.back().push_back(accelerator);
    } else {
      groups.push_back({accelerator});
    }
  }
  return DivideLayers(profile, groups);
}

}  // namespace sycamoreford::model
