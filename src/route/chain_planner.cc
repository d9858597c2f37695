#include "sycamoreford/route/chain_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include <xxhash.h>

namespace sycamoreford {

namespace impl {
namespace {

/// How much busier than the mean an endpoint may be and still be kept for its
/// prefixes.
constexpr double kPrefixExcess = 1.25;
/// A daemon may send this many times its even part, since others may send
/// less; endpoints refuse what is beyond their slots.
constexpr std::uint32_t kOverShare = 2;
/// Endpoints tried in turn for a prefix.
constexpr std::uint32_t kPrefixChoices = 2;

using Candidates = std::vector<const StepState*>;

double WeightOf(const StepState& state) {
  return state.step->weight * state.load.speed;
}

/// Work that a new request would find, in seconds for each token.
double PressureOf(const StepState& state) {
  return (state.load.in_flight + state.load.reported + 1) / WeightOf(state);
}

/// Puts the `count` candidates that weighted rendezvous hashing prefers for
/// `key` in front, best first.
void Draw(Candidates& candidates, std::uint64_t key, std::size_t count) {
  std::vector<std::pair<double, const StepState*>> ranked;
  ranked.reserve(candidates.size());
  for (const StepState* state : candidates) {
    const std::uint64_t hash =
        XXH3_64bits_withSeed(&key, sizeof(key), state->step->hash);
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

/// The endpoint that a prefix meets; null when all its endpoints are too busy.
const StepState* ForPrefix(Candidates& candidates, std::uint64_t prefix) {
  double weights = 0;
  double requests = 1;
  for (const StepState* state : candidates) {
    weights += WeightOf(*state);
    requests += state->load.in_flight + state->load.reported;
  }
  const std::size_t count =
      std::min<std::size_t>(kPrefixChoices, candidates.size());
  Draw(candidates, prefix, count);
  for (std::size_t i = 0; i < count; ++i) {
    const StepState& state = *candidates[i];
    const double most =
        std::ceil(kPrefixExcess * requests * WeightOf(state) / weights);
    if (state.load.in_flight + state.load.reported + 1 <= most) {
      return &state;
    }
  }
  return nullptr;
}

const StepState& Choose(Candidates& candidates, const ChainWish& wish) {
  if (wish.prefix != 0) {
    if (const StepState* kept = ForPrefix(candidates, wish.prefix)) {
      return *kept;
    }
  }
  std::size_t count = candidates.size();
  if (wish.choices != 0 && wish.choices < count) {
    count = wish.choices;
    Draw(candidates, wish.random, count);
  }
  return **std::min_element(
      candidates.begin(),
      candidates.begin() + static_cast<std::ptrdiff_t>(count),
      [](const StepState* a, const StepState* b) {
        return PressureOf(*a) < PressureOf(*b);
      });
}

}  // namespace

std::uint32_t SlotShare(std::uint32_t slots, std::uint32_t daemons) noexcept {
  if (daemons <= 1) {
    return slots;
  }
  return std::min(slots, (kOverShare * slots + daemons - 1) / daemons);
}

Result<Chain> ChooseChain(const std::vector<StepState>& usable,
                          std::uint32_t layers,
                          const ChainWish& wish) {
  // Steps come by first layer, so one pass from the back finds all layers
  // from which the end can be reached.
  std::set<std::uint32_t> reaches_end = {layers};
  for (auto state = usable.rbegin(); state != usable.rend(); ++state) {
    if (reaches_end.contains(state->step->layers.end)) {
      reaches_end.insert(state->step->layers.first);
    }
  }
  const Failure none{.code = Errc::kNoEndpoint, .where = "chain"};
  Chain chain;
  std::uint32_t at = 0;
  Candidates candidates;
  while (at < layers) {
    candidates.clear();
    for (const StepState& state : usable) {
      if (state.step->layers.first == at &&
          reaches_end.contains(state.step->layers.end)) {
        candidates.push_back(&state);
      }
    }
    if (candidates.empty()) {
      return none;
    }
    const StepState& chosen = Choose(candidates, wish);
    const PlanStep& step = *chosen.step;
    const double token_seconds =
        (chosen.load.in_flight + 1) / step.rate + step.link_seconds;
    chain.push_back({step.endpoint, step.address, step.layers, token_seconds});
    at = step.layers.end;
  }
  if (!IsCover(chain, layers)) {
    return none;
  }
  return chain;
}

}  // namespace impl
}  // namespace sycamoreford
