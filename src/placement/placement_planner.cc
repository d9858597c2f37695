#include "sycamoreford/placement/placement_planner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace sycamoreford {
namespace {

/// Share of an endpoint's slots that the token capacity is planned for. A chain
/// that replaces a lost one has about this share of its slots in use at once.
/// More capacity would spread each copy over more and slower accelerators, so
/// that requests occupy them for longer.
constexpr double kPlannedSlotShare = 0.8;
/// Factor by which the target capacity is reduced until all layers fit.
constexpr double kCapacityReductionFactor = 0.93;
/// The target capacity is not reduced further once it is at most this many
/// tokens: an accelerator with less is not worth adding to a chain.
constexpr double kMinTokenCapacity = 4'000;
/// Capacity left on a holder of adjacent layers that takes over layers of a
/// lost accelerator, as a share of the target. Tried in this order until the
/// gap can be filled.
constexpr std::array kRepairCapacityShares = {0.4, 0.2, 0.1};
/// Maximum number of accelerators that share a gap; with more, chains get long
/// and concurrent loads slow each other down.
constexpr std::size_t kMaxGapFillers = 3;
/// Size of a gap per accelerator that fills it: below this many layers, an
/// additional chain stage costs more than the parallel load saves.
constexpr std::uint32_t kLayersPerGapFiller = 4;
/// An accelerator in use whose capacity is below this share of the target is
/// relieved of some of its layers.
constexpr double kLowCapacityShare = 0.5;
/// Slowdown from which an accelerator counts as degraded: it is given layers
/// only when there are no others, and its own layers move to others. The time
/// of a chain is the sum over its stages, so one slow stage dominates it.
constexpr double kMinDegradedSlowness = 2;
/// Others replace a degraded accelerator only when they need at most this share
/// of its time; a smaller gain does not justify the loads.
constexpr double kMaxReplacementTimeShare = 0.5;
/// An accelerator that holds less than this share of the layers it could hold
/// is given more when no other change is needed.
constexpr double kMinFilledShare = 0.7;

bool IsDegraded(const Accelerator& accelerator) {
  return sycamoreford::IsDegraded(accelerator.slowness);
}

/// Maximum number of layers that an accelerator can hold with memory for
/// `token_capacity` request tokens left.
std::uint32_t MaxLayers(const EngineProfile& profile,
                        const Accelerator& accelerator,
                        double token_capacity) {
  const double mb_per_layer =
      profile.layer_mb + token_capacity * profile.kv_mb_per_token_layer();
  const double max_layers =
      mb_per_layer <= 0 ? 0
                        : std::floor(accelerator.kind.memory_mb / mb_per_layer);
  return static_cast<std::uint32_t>(
      std::clamp(max_layers, 0.0, static_cast<double>(profile.layers)));
}

bool IsFaster(const Accelerator& one, const Accelerator& other) {
  if (one.kind.decode_factor != other.kind.decode_factor) {
    return one.kind.decode_factor < other.kind.decode_factor;
  }
  return one.id < other.id;
}

/// Number of accelerators that hold each layer.
std::vector<std::uint32_t> CountHolders(
    const EngineProfile& profile,
    const std::vector<Accelerator>& accelerators) {
  std::vector<std::uint32_t> holders(profile.layers, 0);
  for (const Accelerator& accelerator : accelerators) {
    for (std::uint32_t layer = accelerator.layers.first;
         layer < std::min(accelerator.layers.end, profile.layers); ++layer) {
      ++holders[layer];
    }
  }
  return holders;
}

/// The longest run of consecutive layers with the fewest holders; the first one
/// if there are several.
LayerRange LeastReplicatedRun(const std::vector<std::uint32_t>& holders) {
  const std::uint32_t min_holders =
      *std::min_element(holders.begin(), holders.end());
  LayerRange best;
  LayerRange run;
  for (std::uint32_t layer = 0; layer < holders.size(); ++layer) {
    if (holders[layer] != min_holders) {
      run = {};
      continue;
    }
    run = run.is_empty() ? LayerRange{layer, layer + 1}
                         : LayerRange{run.first, layer + 1};
    if (run.size() > best.size()) {
      best = run;
    }
  }
  return best;
}

/// An accelerator that can take some of the layers of a gap.
struct GapFiller {
  Accelerator* accelerator = nullptr;
  /// Maximum number of layers of the gap that it can take.
  std::uint32_t max_layers = 0;
  /// Number of layers of the gap assigned to it.
  std::uint32_t assigned_layers = 0;
  /// Whether it holds the layers below or above the gap and its range is
  /// extended, or is a spare one whose range is replaced.
  enum class Side { kBelow, kSpare, kAbove } side = Side::kSpare;
};

/// Divides `size` layers evenly among `fillers`, up to the maximum of each.
void DivideEvenly(std::uint32_t size, std::vector<GapFiller>& fillers) {
  bool has_progress = true;
  while (size > 0 && has_progress) {
    has_progress = false;
    for (GapFiller& filler : fillers) {
      if (size > 0 && filler.assigned_layers < filler.max_layers) {
        ++filler.assigned_layers;
        --size;
        has_progress = true;
      }
    }
  }
}

/// At most `kMaxGapFillers` accelerators that can be given other layers: first
/// the empty ones, fastest first, then those whose layers are also held by
/// others, slowest first, since chains use the fast ones. Degraded accelerators
/// come last. Reassigning all of them together takes no layer from its last
/// holder.
///
/// Precondition: `accelerators` are sorted by `IsFaster`.
std::vector<Accelerator*> FindSpareAccelerators(
    const EngineProfile& profile,
    std::vector<Accelerator>& accelerators,
    const std::set<std::string>& in_use) {
  auto holders = CountHolders(profile, accelerators);
  std::vector<Accelerator*> spare;
  std::vector<Accelerator*> redundant;
  for (auto accelerator = accelerators.rbegin();
       accelerator != accelerators.rend(); ++accelerator) {
    if (accelerator->is_loading) {
      continue;
    }
    if (accelerator->layers.is_empty()) {
      spare.insert(spare.begin(), &*accelerator);
      continue;
    }
    const auto first = holders.begin() + accelerator->layers.first;
    const auto end =
        holders.begin() + std::min(accelerator->layers.end, profile.layers);
    if (!in_use.contains(accelerator->id) &&
        std::all_of(first, end, [](std::uint32_t n) { return n > 1; })) {
      std::for_each(first, end, [](std::uint32_t& n) { --n; });
      redundant.push_back(&*accelerator);
    }
  }
  spare.insert(spare.end(), redundant.begin(), redundant.end());
  std::stable_partition(
      spare.begin(), spare.end(),
      [](const Accelerator* accelerator) { return !IsDegraded(*accelerator); });
  spare.resize(std::min(spare.size(), kMaxGapFillers));
  return spare;
}

/// Returns up to `max_fillers` accelerators for a gap, in the order of the
/// parts that they take: the first that can extend its range upwards into the
/// gap, spare ones, the first that can extend its range downwards. Spare ones
/// are preferred.
std::vector<GapFiller> FindGapFillers(const EngineProfile& profile,
                                      std::vector<Accelerator>& accelerators,
                                      const std::set<std::string>& in_use,
                                      LayerRange gap,
                                      double token_capacity,
                                      double capacity_share,
                                      std::size_t max_fillers,
                                      bool allow_degraded) {
  std::vector<GapFiller> below;
  std::vector<GapFiller> spare;
  std::vector<GapFiller> above;
  for (Accelerator* accelerator :
       FindSpareAccelerators(profile, accelerators, in_use)) {
    if (allow_degraded || !IsDegraded(*accelerator)) {
      spare.push_back({accelerator,
                       MaxLayers(profile, *accelerator, token_capacity), 0,
                       GapFiller::Side::kSpare});
    }
  }
  const auto is_spare = [&](const Accelerator& accelerator) {
    return std::any_of(spare.begin(), spare.end(),
                       [&](const GapFiller& filler) {
                         return filler.accelerator == &accelerator;
                       });
  };
  for (Accelerator& accelerator : accelerators) {
    const std::uint32_t held = accelerator.layers.size();
    const std::uint32_t max_layers =
        MaxLayers(profile, accelerator, token_capacity * capacity_share);
    if (accelerator.is_loading || max_layers <= held || held == 0 ||
        is_spare(accelerator) || (!allow_degraded && IsDegraded(accelerator))) {
      continue;
    }
    if (accelerator.layers.end == gap.first) {
      below.push_back(
          {&accelerator, max_layers - held, 0, GapFiller::Side::kBelow});
    } else if (accelerator.layers.first == gap.end) {
      above.push_back(
          {&accelerator, max_layers - held, 0, GapFiller::Side::kAbove});
    }
  }
  std::vector<GapFiller> fillers;
  spare.resize(std::min(spare.size(), max_fillers));
  std::size_t remaining = max_fillers - spare.size();
  if (!below.empty() && remaining > 0) {
    fillers.push_back(below.front());
    --remaining;
  }
  fillers.insert(fillers.end(), spare.begin(), spare.end());
  if (!above.empty() && remaining > 0) {
    fillers.push_back(above.front());
  }
  return fillers;
}

/// Appends the changes that assign each filler its layers of a gap, and updates
/// their accelerators to match.
void AssignLayers(const std::vector<GapFiller>& fillers,
                  LayerRange gap,
                  std::vector<PlacementChange>& changes) {
  std::uint32_t next = gap.first;
  for (const GapFiller& filler : fillers) {
    if (filler.assigned_layers == 0) {
      continue;
    }
    LayerRange& layers = filler.accelerator->layers;
    switch (filler.side) {
      case GapFiller::Side::kBelow:
        layers.end += filler.assigned_layers;
        break;
      case GapFiller::Side::kSpare:
        layers = {next, next + filler.assigned_layers};
        break;
      case GapFiller::Side::kAbove:
        layers.first -= filler.assigned_layers;
        break;
    }
    filler.accelerator->is_loading = true;
    next += filler.assigned_layers;
    changes.push_back({filler.accelerator->id, layers});
  }
}

/// Fills a gap left by a lost accelerator and updates `accelerators` to match.
///
/// \returns whether it could be filled.
bool FillGap(const EngineProfile& profile,
             std::vector<Accelerator>& accelerators,
             const std::set<std::string>& in_use,
             LayerRange gap,
             double token_capacity,
             std::vector<PlacementChange>& changes) {
  const std::size_t min_fillers = std::clamp<std::size_t>(
      gap.size() / kLayersPerGapFiller, 1, kMaxGapFillers);
  const auto fill = [&](double capacity_share, std::size_t max_fillers,
                        bool allow_degraded) {
    auto fillers =
        FindGapFillers(profile, accelerators, in_use, gap, token_capacity,
                       capacity_share, max_fillers, allow_degraded);
    std::uint32_t max_layers = 0;
    for (const GapFiller& filler : fillers) {
      max_layers += filler.max_layers;
    }
    if (max_layers < gap.size()) {
      return false;
    }
    DivideEvenly(gap.size(), fillers);
    AssignLayers(fillers, gap, changes);
    return true;
  };
  for (const bool allow_degraded : {false, true}) {
    for (const double capacity_share : kRepairCapacityShares) {
      for (std::size_t fillers = min_fillers; fillers <= kMaxGapFillers;
           ++fillers) {
        if (fill(capacity_share, fillers, allow_degraded)) {
          return true;
        }
      }
    }
  }
  return false;
}

}  // namespace

bool IsDegraded(double slowness) noexcept {
  return slowness >= kMinDegradedSlowness;
}

double TargetTokenCapacity(const EngineProfile& profile,
                           const std::vector<Accelerator>& accelerators) {
  double token_capacity =
      kPlannedSlotShare * profile.slots *
      (profile.mean_prompt_tokens + profile.mean_output_tokens);
  const auto fits = [&] {
    std::uint32_t total_layers = 0;
    for (const Accelerator& accelerator : accelerators) {
      total_layers += MaxLayers(profile, accelerator, token_capacity);
    }
    return total_layers >= profile.layers;
  };
  while (token_capacity > kMinTokenCapacity && !fits()) {
    token_capacity *= kCapacityReductionFactor;
  }
  return token_capacity;
}

namespace {

/// Layers that an empty accelerator should hold: those with the fewest holders.
LayerRange RangeForEmptyAccelerator(const std::vector<std::uint32_t>& holders,
                                    std::uint32_t max_layers) {
  const LayerRange run = LeastReplicatedRun(holders);
  const auto layers = static_cast<std::uint32_t>(holders.size());
  if (run.size() >= max_layers) {
    return {run.first, run.first + max_layers};
  }
  // If the run is shorter than the accelerator's memory allows, lower layers
  // are added first.
  const std::uint32_t first = run.end > max_layers ? run.end - max_layers : 0;
  return {first, std::min(first + max_layers, layers)};
}

/// Assigns layers to empty accelerators, fastest accelerator first.
void FillEmptyAccelerators(const EngineProfile& profile,
                           std::vector<Accelerator>& accelerators,
                           double token_capacity,
                           std::uint32_t& max_loads,
                           std::vector<PlacementChange>& changes) {
  for (Accelerator& accelerator : accelerators) {
    const std::uint32_t max_layers =
        MaxLayers(profile, accelerator, token_capacity);
    if (!accelerator.layers.is_empty() || accelerator.is_loading ||
        max_layers == 0 || max_loads == 0) {
      continue;
    }
    accelerator.layers = RangeForEmptyAccelerator(
        CountHolders(profile, accelerators), max_layers);
    accelerator.is_loading = true;
    --max_loads;
    changes.push_back({accelerator.id, accelerator.layers});
  }
}

/// Loads half of the layers of an accelerator whose capacity is low after a
/// repair onto a second accelerator that no chain uses; chains then use a part
/// of each.
///
/// \returns whether there was such an accelerator and one to relieve it.
bool RelieveLowCapacity(const EngineProfile& profile,
                        std::vector<Accelerator>& accelerators,
                        const std::set<std::string>& in_use,
                        double token_capacity,
                        std::vector<PlacementChange>& changes) {
  const auto spare = FindSpareAccelerators(profile, accelerators, in_use);
  for (const Accelerator& accelerator : accelerators) {
    const LayerRange layers = accelerator.layers;
    if (!in_use.contains(accelerator.id) || layers.size() < 2 ||
        accelerator.TokenCapacity(profile, layers.size(), layers.size()) >
            kLowCapacityShare * token_capacity) {
      continue;
    }
    const std::uint32_t half = layers.size() / 2;
    for (Accelerator* replacement : spare) {
      if (replacement->id != accelerator.id &&
          MaxLayers(profile, *replacement, token_capacity) >= half) {
        changes.push_back({replacement->id, {layers.end - half, layers.end}});
        return true;
      }
    }
  }
  return false;
}

/// Time of a decode step through `layers` layers on an accelerator, relative to
/// a step through the whole model at a decode factor of 1.
double RelativeDecodeTime(const EngineProfile& profile,
                          const Accelerator& accelerator,
                          std::uint32_t layers) {
  return accelerator.kind.decode_factor * layers / profile.layers;
}

/// Assigns the layers of a degraded accelerator in use to standby accelerators
/// if these run them much faster.
///
/// When an accelerator becomes slow for seconds, its whole chain is slow,
/// occupies its memory with requests for longer and rejects others.
///
/// \returns whether there was such an accelerator and others to replace it.
bool ReplaceDegraded(const EngineProfile& profile,
                     std::vector<Accelerator>& accelerators,
                     const std::set<std::string>& in_use,
                     double token_capacity,
                     std::vector<PlacementChange>& changes) {
  const auto spare = FindSpareAccelerators(profile, accelerators, in_use);
  for (const Accelerator& accelerator : accelerators) {
    if (!IsDegraded(accelerator) || !in_use.contains(accelerator.id)) {
      continue;
    }
    std::vector<PlacementChange> replacements;
    double time = 0;
    std::uint32_t from = accelerator.layers.first;
    for (const Accelerator* replacement : spare) {
      const std::uint32_t size =
          std::min(MaxLayers(profile, *replacement, token_capacity),
                   accelerator.layers.end - from);
      if (size > 0 && !IsDegraded(*replacement)) {
        replacements.push_back({replacement->id, {from, from + size}});
        time += RelativeDecodeTime(profile, *replacement, size);
        from += size;
      }
    }
    if (from == accelerator.layers.end &&
        time <= kMaxReplacementTimeShare *
                    RelativeDecodeTime(profile, accelerator,
                                       accelerator.layers.size())) {
      changes.insert(changes.end(), replacements.begin(), replacements.end());
      return true;
    }
  }
  return false;
}

/// Gives accelerators that no chain uses other layers if that completes one
/// more copy of the model. After losses, what is left of broken chains holds
/// the same layers several times and lacks a few.
///
/// \returns whether a copy is completed.
bool CompleteCopy(const EngineProfile& profile,
                  const std::vector<Accelerator>& accelerators,
                  const std::set<std::string>& in_use,
                  double token_capacity,
                  std::uint32_t max_loads,
                  std::vector<PlacementChange>& changes) {
  auto holders = CountHolders(profile, accelerators);
  const std::uint32_t copies =
      *std::min_element(holders.begin(), holders.end());
  std::vector<const Accelerator*> idle;
  for (const Accelerator& accelerator : accelerators) {
    if (!in_use.contains(accelerator.id) && !IsDegraded(accelerator) &&
        !accelerator.layers.is_empty()) {
      idle.push_back(&accelerator);
    }
  }
  std::vector<PlacementChange> moves;
  while (*std::min_element(holders.begin(), holders.end()) == copies) {
    // One that the further copy does not need where it is.
    const auto spare =
        std::find_if(idle.begin(), idle.end(), [&](const Accelerator* it) {
          return std::all_of(
              holders.begin() + it->layers.first,
              holders.begin() + std::min(it->layers.end, profile.layers),
              [&](std::uint32_t n) { return n > copies + 1; });
        });
    if (spare == idle.end() || moves.size() >= max_loads) {
      return false;
    }
    const Accelerator& accelerator = **spare;
    const std::uint32_t max_layers =
        MaxLayers(profile, accelerator, token_capacity);
    idle.erase(spare);
    if (max_layers == 0) {
      continue;
    }
    for (std::uint32_t layer = accelerator.layers.first;
         layer < std::min(accelerator.layers.end, profile.layers); ++layer) {
      --holders[layer];
    }
    const LayerRange range = RangeForEmptyAccelerator(holders, max_layers);
    for (std::uint32_t layer = range.first; layer < range.end; ++layer) {
      ++holders[layer];
    }
    moves.push_back({accelerator.id, range});
  }
  changes.insert(changes.end(), moves.begin(), moves.end());
  return true;
}

/// Extends the range of one accelerator that holds few layers after repairs.
void ExtendUnderfilled(const EngineProfile& profile,
                       std::vector<Accelerator>& accelerators,
                       const std::set<std::string>& in_use,
                       double token_capacity,
                       std::vector<PlacementChange>& changes) {
  const auto holders = CountHolders(profile, accelerators);
  for (Accelerator& accelerator : accelerators) {
    const std::uint32_t max_layers =
        MaxLayers(profile, accelerator, token_capacity);
    if (accelerator.layers.is_empty() || in_use.contains(accelerator.id) ||
        accelerator.layers.size() >= kMinFilledShare * max_layers) {
      continue;
    }
    LayerRange layers = accelerator.layers;
    while (layers.size() < max_layers) {
      const bool can_extend_below = layers.first > 0;
      const bool can_extend_above = layers.end < profile.layers;
      if (can_extend_below && (!can_extend_above || holders[layers.first - 1] <=
                                                        holders[layers.end])) {
        --layers.first;
      } else if (can_extend_above) {
        ++layers.end;
      } else {
        break;
      }
    }
    changes.push_back({accelerator.id, layers});
    return;
  }
}

/// Plans the placement of all layers from scratch, as a last resort when a gap
/// can't be filled by a few accelerators. Accelerators whose layers stay the
/// same get no change.
std::vector<PlacementChange> ReplanAll(
    const EngineProfile& profile,
    const std::vector<Accelerator>& accelerators,
    double token_capacity) {
  std::vector<Accelerator> empty = accelerators;
  for (Accelerator& accelerator : empty) {
    accelerator.layers = {};
  }
  std::vector<PlacementChange> changes;
  std::uint32_t max_loads = static_cast<std::uint32_t>(accelerators.size());
  FillEmptyAccelerators(profile, empty, token_capacity, max_loads, changes);
  std::erase_if(changes, [&](const PlacementChange& change) {
    return std::any_of(accelerators.begin(), accelerators.end(),
                       [&](const Accelerator& accelerator) {
                         return accelerator.id == change.accelerator_id &&
                                accelerator.layers == change.layers;
                       });
  });
  return changes;
}

}  // namespace

std::vector<PlacementChange> PlanPlacement(
    const EngineProfile& profile,
    const std::vector<Accelerator>& all_accelerators,
    const std::vector<std::string>& in_use,
    std::uint32_t max_loads) {
  std::vector<PlacementChange> changes;
  if (all_accelerators.empty() || profile.layers == 0) {
    return changes;
  }
  std::vector<Accelerator> accelerators = all_accelerators;
  std::sort(accelerators.begin(), accelerators.end(), IsFaster);
  const double token_capacity = TargetTokenCapacity(profile, accelerators);
  const bool are_all_empty =
      std::all_of(accelerators.begin(), accelerators.end(),
                  [](const Accelerator& accelerator) {
                    return accelerator.layers.is_empty();
                  });
  if (are_all_empty) {
    std::uint32_t unlimited_loads =
        static_cast<std::uint32_t>(accelerators.size());
    FillEmptyAccelerators(profile, accelerators, token_capacity,
                          unlimited_loads, changes);
    return changes;
  }
  const std::set<std::string> used(in_use.begin(), in_use.end());
  const bool is_none_loading =
      std::none_of(accelerators.begin(), accelerators.end(),
                   [](const Accelerator& it) { return it.is_loading; });
  const auto holders = CountHolders(profile, accelerators);
  if (*std::min_element(holders.begin(), holders.end()) == 0) {
    const LayerRange gap = LeastReplicatedRun(holders);
    // Accelerators in use are reassigned only if the gap can't be filled
    // otherwise.
    const bool is_gap_filled =
        FillGap(profile, accelerators, used, gap, token_capacity, changes) ||
        FillGap(profile, accelerators, {}, gap, token_capacity, changes);
    if (!is_gap_filled && is_none_loading) {
      return ReplanAll(profile, accelerators, token_capacity);
    }
    return changes;
  }
  FillEmptyAccelerators(profile, accelerators, token_capacity, max_loads,
                        changes);
  if (is_none_loading && max_loads > 0 &&
      !ReplaceDegraded(profile, accelerators, used, token_capacity, changes) &&
      !RelieveLowCapacity(profile, accelerators, used, token_capacity,
                          changes) &&
      !CompleteCopy(profile, accelerators, used, token_capacity, max_loads,
                    changes)) {
    ExtendUnderfilled(profile, accelerators, used, token_capacity, changes);
  }
  return changes;
}

}  // namespace sycamoreford
