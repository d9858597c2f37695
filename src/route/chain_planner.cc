#include "sycamoreford/route/chain_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <xxhash.h>

namespace sycamoreford {

namespace impl {
namespace {

/// Maximum load of an endpoint relative to the mean at which requests are still
/// sent to it for their prefix.
constexpr double kMaxPrefixOverload = 1.25;
/// A daemon may use this many times its equal share of the slots, since others
/// may use less; endpoints reject requests beyond their slots.
constexpr std::uint32_t kSlotOvercommit = 2;
/// Number of endpoints that a prefix may be sent to, in order of preference.
constexpr std::uint32_t kPrefixChoices = 2;

using Candidates = std::vector<const StageState*>;

double WeightOf(const StageState& state) {
  return state.stage->weight * state.load.speed;
}

/// Expected time per token of a new request at the present load, in seconds.
double SecondsPerTokenOf(const StageState& state) {
  return (state.load.in_flight + state.load.reported_requests + 1) /
         WeightOf(state);
}

/// Moves the `count` candidates ranked highest for `key` by weighted rendezvous
/// hashing to the front, best first.
void RankByRendezvousHash(Candidates& candidates,
                          std::uint64_t key,
                          std::size_t count) {
  std::vector<std::pair<double, const StageState*>> ranked;
  ranked.reserve(candidates.size());
  for (const StageState* state : candidates) {
    const std::uint64_t hash =
        XXH3_64bits_withSeed(&key, sizeof(key), state->stage->hash);
    const double uniform =
        (static_cast<double>(hash >> 11U) + 0.5) / (1ULL << 53U);
    ranked.emplace_back(std::log(uniform) / WeightOf(*state), state);
  }
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(
      ranked.begin(), end, ranked.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    candidates[i] = ranked[i].second;
  }
}

/// Returns the endpoint for a prefix, or null when all endpoints of the prefix
/// are too busy.
const StageState* ChooseByPrefix(Candidates& candidates,
                                 std::uint64_t prefix_hash) {
  double total_weight = 0;
  double total_requests = 1;
  for (const StageState* state : candidates) {
    total_weight += WeightOf(*state);
    total_requests += state->load.in_flight + state->load.reported_requests;
  }
  const std::size_t count =
      std::min<std::size_t>(kPrefixChoices, candidates.size());
  RankByRendezvousHash(candidates, prefix_hash, count);
  for (std::size_t i = 0; i < count; ++i) {
    const StageState& state = *candidates[i];
    const double max_requests = std::ceil(kMaxPrefixOverload * total_requests *
                                          WeightOf(state) / total_weight);
    if (state.load.in_flight + state.load.reported_requests + 1 <=
        max_requests) {
      return &state;
    }
  }
  return nullptr;
}

const StageState& ChooseStage(Candidates& candidates,
                              const ChainOptions& options) {
  if (options.prefix_hash != 0) {
    if (const StageState* preferred =
            ChooseByPrefix(candidates, options.prefix_hash)) {
      return *preferred;
    }
  }
  std::size_t count = candidates.size();
  if (options.choices != 0 && options.choices < count) {
    count = options.choices;
    RankByRendezvousHash(candidates, options.random, count);
  }
  return **std::min_element(
      candidates.begin(),
      candidates.begin() + static_cast<std::ptrdiff_t>(count),
      [](const StageState* a, const StageState* b) {
        return SecondsPerTokenOf(*a) < SecondsPerTokenOf(*b);
      });
}

}  // namespace

std::uint32_t MaxInFlightPerDaemon(std::uint32_t slots,
                                   std::uint32_t daemons) noexcept {
  if (daemons <= 1) {
    return slots;
  }
  return std::min(slots, (kSlotOvercommit * slots + daemons - 1) / daemons);
}

Result<Chain> ChooseChain(const std::vector<StageState>& usable,
                          std::uint32_t layers,
                          const ChainOptions& options) {
  // Stages are sorted by first layer, so a single backward pass finds all
  // layers from which the last one can be reached.
  std::set<std::uint32_t> reaches_end = {layers};
  for (auto state = usable.rbegin(); state != usable.rend(); ++state) {
    if (reaches_end.contains(state->stage->layers.end)) {
      reaches_end.insert(state->stage->layers.first);
    }
  }
  const Failure none{.code = Errc::kNoEndpoint, .where = "chain"};
  Chain chain;
  std::uint32_t next_layer = 0;
  Candidates candidates;
  while (next_layer < layers) {
    candidates.clear();
    for (const StageState& state : usable) {
      if (state.stage->layers.first == next_layer &&
          reaches_end.contains(state.stage->layers.end)) {
        candidates.push_back(&state);
      }
    }
    if (candidates.empty()) {
      return none;
    }
    const StageState& chosen = ChooseStage(candidates, options);
    const PlanStage& stage = *chosen.stage;
    const double token_seconds =
        (chosen.load.in_flight + 1) / stage.rate + stage.link_seconds;
    chain.push_back(
        {stage.endpoint, stage.address, stage.layers, token_seconds});
    next_layer = stage.layers.end;
  }
  if (!CoversAllLayers(chain, layers)) {
    return none;
  }
  return chain;
}

}  // namespace impl
}  // namespace sycamoreford
