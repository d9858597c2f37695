#include "sycamoreford/placement/chain_builder.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "sycamoreford/placement/placement_planner.h"

namespace sycamoreford {
namespace {

/// Time that one more stage adds to a token, in ms: the network hop and the
/// wait for the stage's next batch.
constexpr double kStageOverheadMs = 0.3;
/// Additional cost of a stage with half of the target capacity, in ms: about
/// the decode step time of a whole chain, so that capacity takes precedence
/// over speed below the target.
constexpr double kCapacityPenaltyMs = 8;

/// The cheapest sequence of stages found so far for the layers below a split
/// point.
struct Path {
  double cost = std::numeric_limits<double>::infinity();
  /// Index of the accelerator of the last stage.
  std::size_t accelerator = 0;
  /// First layer of the last stage.
  std::uint32_t from = 0;
  /// Index of the path without the last stage; `kNoPath` for the first stage.
  std::size_t previous = 0;
};

constexpr std::size_t kNoPath = std::numeric_limits<std::size_t>::max();

double StageCost(const EngineProfile& profile,
                 const Accelerator& accelerator,
                 std::uint32_t layer_count,
                 double target_capacity) {
  const double capacity = accelerator.TokenCapacity(
      profile, accelerator.layers.size(), layer_count);
  const double step_ms = profile.decode_step_time.count() *
                         accelerator.kind.decode_factor * layer_count /
                         profile.layers;
  const double shortfall =
      capacity <= 0 ? target_capacity : target_capacity / capacity - 1;
  return kStageOverheadMs + step_ms +
         (shortfall > 0 ? kCapacityPenaltyMs * shortfall : 0);
}

/// Layers at which a chain may continue on another accelerator.
std::vector<std::uint32_t> FindSplitPoints(
    const EngineProfile& profile,
    const std::vector<Accelerator>& accelerators) {
  std::set<std::uint32_t> split_points = {0, profile.layers};
  for (const Accelerator& accelerator : accelerators) {
    split_points.insert(accelerator.layers.first);
    split_points.insert(std::min(accelerator.layers.end, profile.layers));
  }
  return {split_points.begin(), split_points.end()};
}

/// The layers that only as many accelerators hold as there are chains to build.
///
/// Intervals that cover each point at least n times can be divided into n
/// covers. A chain leaves n - 1 of them to the others if no two of its
/// accelerators hold the same scarce layer.
class ScarceLayers {
 public:
  ScarceLayers(const EngineProfile& profile,
               const std::vector<Accelerator>& accelerators) {
    std::vector<std::uint32_t> holders(profile.layers, 0);
    for (const Accelerator& accelerator : accelerators) {
      for (std::uint32_t layer = accelerator.layers.first;
           layer < std::min(accelerator.layers.end, profile.layers); ++layer) {
        ++holders[layer];
      }
    }
    fewest_holders_ = *std::min_element(holders.begin(), holders.end());
    counts_.push_back(0);
    for (const std::uint32_t n : holders) {
      counts_.push_back(counts_.back() + (n == fewest_holders_ ? 1 : 0));
    }
  }

  /// Number of accelerators that hold each scarce layer.
  [[nodiscard]] std::uint32_t holders() const noexcept {
    return fewest_holders_;
  }

  /// Whether two accelerators both hold a scarce layer.
  ///
  /// Precondition: the layers of `lower` end no later than those of `upper`.
  [[nodiscard]] bool AreSharedBy(const Accelerator& lower,
                                 const Accelerator& upper) const {
    const std::uint32_t first =
        std::max(lower.layers.first, upper.layers.first);
    const auto end =
        std::min<std::size_t>(lower.layers.end, counts_.size() - 1);
    return first < end && counts_[end] > counts_[first];
  }

 private:
  std::uint32_t fewest_holders_ = 0;
  /// Number of scarce layers below each layer.
  std::vector<std::uint32_t> counts_;
};

/// Paths by split point (row) and last accelerator (column).
class PathTable {
 public:
  PathTable(std::size_t split_points, std::size_t accelerators)
      : accelerator_count_(accelerators), paths_(split_points * accelerators) {}

  Path& at(std::size_t split, std::size_t accelerator) {
    return paths_[split * accelerator_count_ + accelerator];
  }
  [[nodiscard]] std::size_t index(std::size_t split,
                                  std::size_t accelerator) const {
    return split * accelerator_count_ + accelerator;
  }
  Path& at(std::size_t index) { return paths_[index]; }

 private:
  std::size_t accelerator_count_;
  std::vector<Path> paths_;
};

ServingChain ToServingChain(const EngineProfile& profile,
                            const std::vector<Accelerator>& accelerators,
                            PathTable& table,
                            const std::vector<std::uint32_t>& split_points,
                            std::size_t last_accelerator) {
  ServingChain chain;
  chain.token_capacity = std::numeric_limits<double>::infinity();
  std::uint32_t end = split_points.back();
  std::size_t index = table.index(split_points.size() - 1, last_accelerator);
  while (index != kNoPath) {
    const Path path = table.at(index);
    const Accelerator& accelerator = accelerators[path.accelerator];
    const std::uint32_t layer_count = end - path.from;
    ChainStage stage;
    stage.endpoint = EndpointId(accelerator.id);
    stage.address = accelerator.address;
    stage.layers = {path.from, end};
    chain.stages.insert(chain.stages.begin(), stage);
    chain.token_capacity =
        std::min(chain.token_capacity,
                 accelerator.TokenCapacity(profile, accelerator.layers.size(),
                                           layer_count));
    chain.decode_step_time +=
        profile.decode_step_time * accelerator.kind.decode_factor *
        (static_cast<double>(layer_count) / profile.layers);
    chain.data_centre = accelerator.data_centre;
    end = path.from;
    index = path.previous;
  }
  return chain;
}

/// Returns the cheapest chain over `accelerators`, or one without stages if
/// there is none.
///
/// \param scarce layers that no two stages of the chain may both hold; null if
///     they may.
/// Precondition: `accelerators` are sorted by the end of their layers.
ServingChain BuildCheapestChain(const EngineProfile& profile,
                                const std::vector<Accelerator>& accelerators,
                                double target_capacity,
                                const ScarceLayers* scarce) {
  const auto split_points = FindSplitPoints(profile, accelerators);
  PathTable table(split_points.size(), accelerators.size());
  const auto relax = [&](std::size_t split, std::size_t accelerator,
                         double cost, std::size_t previous) {
    const std::uint32_t from = split_points[split];
    if (accelerators[accelerator].layers.first > from) {
      return;
    }
    for (std::size_t next = split + 1; next < split_points.size(); ++next) {
      if (split_points[next] > accelerators[accelerator].layers.end) {
        break;
      }
      const double total =
          cost + StageCost(profile, accelerators[accelerator],
                           split_points[next] - from, target_capacity);
      Path& path = table.at(next, accelerator);
      if (total < path.cost) {
        path = {total, accelerator, from, previous};
      }
    }
  };
  const auto shares_scarce_layers = [&](std::size_t path,
                                        const Accelerator& next) {
    while (path != kNoPath) {
      const Accelerator& stage = accelerators[table.at(path).accelerator];
      if (stage.layers.end <= next.layers.first) {
        return false;
      }
      if (scarce->AreSharedBy(stage, next)) {
        return true;
      }
      path = table.at(path).previous;
    }
    return false;
  };
  for (std::size_t accelerator = 0; accelerator < accelerators.size();
       ++accelerator) {
    relax(0, accelerator, 0, kNoPath);
  }
  for (std::size_t split = 1; split + 1 < split_points.size(); ++split) {
    for (std::size_t last = 0; last < accelerators.size(); ++last) {
      const double cost = table.at(split, last).cost;
      if (cost == std::numeric_limits<double>::infinity()) {
        continue;
      }
      for (std::size_t accelerator = last + 1;
           accelerator < accelerators.size(); ++accelerator) {
        const std::size_t path = table.index(split, last);
        if (scarce == nullptr ||
            !shares_scarce_layers(path, accelerators[accelerator])) {
          relax(split, accelerator, cost, path);
        }
      }
    }
  }
  std::size_t best = 0;
  for (std::size_t accelerator = 1; accelerator < accelerators.size();
       ++accelerator) {
    if (table.at(split_points.size() - 1, accelerator).cost <
        table.at(split_points.size() - 1, best).cost) {
      best = accelerator;
    }
  }
  if (accelerators.empty() || table.at(split_points.size() - 1, best).cost ==
                                  std::numeric_limits<double>::infinity()) {
    return {};
  }
  return ToServingChain(profile, accelerators, table, split_points, best);
}

/// Builds chains, the cheapest first, until the accelerators that are left hold
/// too few layers.
///
/// \param spares_scarce_layers whether chains leave to the others the holders
///     that these need, which makes chains more, and slower.
/// Precondition: `accelerators` are sorted by the end of their layers.
std::vector<ServingChain> BuildDisjointChains(
    const EngineProfile& profile,
    std::vector<Accelerator> accelerators,
    double target_capacity,
    bool spares_scarce_layers) {
  std::vector<ServingChain> chains;
  for (;;) {
    const ScarceLayers scarce(profile, accelerators);
    ServingChain chain =
        BuildCheapestChain(profile, accelerators, target_capacity,
                           spares_scarce_layers ? &scarce : nullptr);
    if (chain.stages.empty()) {
      return chains;
    }
    std::erase_if(accelerators, [&](const Accelerator& accelerator) {
      return chain.Uses(accelerator.id);
    });
    chains.push_back(std::move(chain));
  }
}

}  // namespace

bool ServingChain::Uses(const std::string& endpoint) const noexcept {
  return std::any_of(stages.begin(), stages.end(),
                     [&](const ChainStage& stage) {
                       return stage.endpoint.value() == endpoint;
                     });
}

bool ServingChain::Overlaps(const ServingChain& other) const noexcept {
  return std::any_of(stages.begin(), stages.end(),
                     [&](const ChainStage& stage) {
                       return other.Uses(stage.endpoint.value());
                     });
}

std::vector<std::string> AcceleratorsInUse(
    const std::vector<ServingChain>& chains) {
  std::vector<std::string> ids;
  for (const ServingChain& chain : chains) {
    for (const ChainStage& stage : chain.stages) {
      ids.push_back(stage.endpoint.value());
    }
  }
  return ids;
}

std::vector<LayerRange> MissingLayers(
    const EngineProfile& profile,
    const std::vector<Accelerator>& accelerators) {
  std::vector<LayerRange> missing;
  for (std::uint32_t layer = 0; layer < profile.layers; ++layer) {
    const bool is_held = std::any_of(
        accelerators.begin(), accelerators.end(),
        [&](const Accelerator& accelerator) {
          return !accelerator.is_loading && accelerator.layers.first <= layer &&
                 layer < accelerator.layers.end;
        });
    if (is_held) {
      continue;
    }
    if (!missing.empty() && missing.back().end == layer) {
      ++missing.back().end;
    } else {
      missing.push_back({layer, layer + 1});
    }
  }
  return missing;
}

std::vector<ServingChain> BuildChains(
    const EngineProfile& profile,
    const std::vector<Accelerator>& all_accelerators) {
  if (profile.layers == 0) {
    return {};
  }
  const double target_capacity = TargetTokenCapacity(profile, all_accelerators);
  std::vector<Accelerator> accelerators;
  std::copy_if(
      all_accelerators.begin(), all_accelerators.end(),
      std::back_inserter(accelerators), [](const Accelerator& accelerator) {
        return !accelerator.is_loading && !accelerator.layers.is_empty();
      });
  std::sort(accelerators.begin(), accelerators.end(),
            [](const Accelerator& a, const Accelerator& b) {
              return std::tie(a.layers.end, a.layers.first, a.id) <
                     std::tie(b.layers.end, b.layers.first, b.id);
            });
  auto chains =
      BuildDisjointChains(profile, accelerators, target_capacity, false);
  if (chains.size() < ScarceLayers(profile, accelerators).holders()) {
    auto more =
        BuildDisjointChains(profile, accelerators, target_capacity, true);
    if (more.size() > chains.size()) {
      chains = std::move(more);
    }
  }
  return chains;
}

std::vector<ServingChain> BuildBypassChains(
    const EngineProfile& profile,
    std::vector<Accelerator> accelerators,
    const std::vector<ServingChain>& chains,
    const std::set<std::string>& limited) {
  std::set<std::string> first_endpoints;
  for (const ServingChain& chain : chains) {
    first_endpoints.insert(chain.first_endpoint());
  }
  std::vector<ServingChain> bypasses;
  // A bypass may begin at a limited endpoint as well; the next one avoids it.
  while (std::erase_if(accelerators, [&](const Accelerator& accelerator) {
           return first_endpoints.contains(accelerator.id) &&
                  limited.contains(accelerator.id);
         }) > 0) {
    for (ServingChain& chain : BuildChains(profile, accelerators)) {
      if (first_endpoints.insert(chain.first_endpoint()).second) {
        bypasses.push_back(std::move(chain));
      }
    }
  }
  return bypasses;
}

}  // namespace sycamoreford
