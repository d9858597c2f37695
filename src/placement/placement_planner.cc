#include "sycamoreford/placement/placement_planner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace sycamoreford {
namespace {

/// Share of an endpoint's slots that the room is planned for. A chain that
/// stands in for a lost one holds about this share of its slots at once; more
/// room would spread each copy over more and slower cards, which holds the
/// requests for longer.
constexpr double kSlotShare = 0.8;
/// Factor from one try of a smaller room to the next.
constexpr double kRoomStep = 0.93;
/// Below this many tokens a card is not worth a place in a chain.
constexpr double kLeastRoom = 4'000;
/// Room that remains on a neighbour that takes over layers of a lost card, as
/// a share of the target: the first of these with which a gap can be closed.
constexpr std::array kRepairShares = {0.4, 0.2, 0.1};
/// Cards that share a gap; with more, chains get long and loads slow down.
constexpr std::size_t kMostHelpers = 3;
/// Layers of a gap that are worth one more card: a chain's stage costs about as
/// much as loading them in one part takes longer.
constexpr std::uint32_t kLayersPerHelper = 4;
/// A card in use with less than this share of the planned room gets help.
constexpr double kCrampedShare = 0.5;
/// A card that takes this many times as long as its kind is not given layers as
/// long as there are others, and its own are given to others: a chain is as
/// fast as the sum of its stages, and most of that is then this one.
constexpr double kDegraded = 2;
/// Others take over from a degraded card when they need at most this share of
/// its time; less would not be worth their loads.
constexpr double kWorthMoving = 0.5;
/// A card that holds less than this share of what it could is filled up when
/// nothing else is to be done.
constexpr double kFilled = 0.7;

bool IsDegraded(const Card& card) {
  return sycamoreford::IsDegraded(card.slowness);
}

/// Most layers that a card holds beside room for `room` tokens.
std::uint32_t MostLayers(const EngineProfile& profile,
                         const Card& card,
                         double room) {
  const double layer = profile.layer_mb + room * profile.token_layer_mb();
  const double most = layer <= 0 ? 0 : std::floor(card.kind.memory_mb / layer);
  return static_cast<std::uint32_t>(
      std::clamp(most, 0.0, static_cast<double>(profile.layers)));
}

bool IsFaster(const Card& one, const Card& other) {
  if (one.kind.step_factor != other.kind.step_factor) {
    return one.kind.step_factor < other.kind.step_factor;
  }
  return one.id < other.id;
}

/// How many cards hold each layer.
std::vector<std::uint32_t> CountHolders(const EngineProfile& profile,
                                        const std::vector<Card>& cards) {
  std::vector<std::uint32_t> holders(profile.layers, 0);
  for (const Card& card : cards) {
    for (std::uint32_t layer = card.layers.first;
         layer < std::min(card.layers.end, profile.layers); ++layer) {
      ++holders[layer];
    }
  }
  return holders;
}

/// The first longest run of layers with the fewest holders.
LayerRange ThinnestRun(const std::vector<std::uint32_t>& holders) {
  const std::uint32_t fewest =
      *std::min_element(holders.begin(), holders.end());
  LayerRange best;
  LayerRange run;
  for (std::uint32_t layer = 0; layer < holders.size(); ++layer) {
    if (holders[layer] != fewest) {
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

/// A card that can take part of a gap.
struct Helper {
  Card* card = nullptr;
  std::uint32_t most = 0;
  std::uint32_t share = 0;
  enum class Side { kBelow, kFree, kAbove } side = Side::kFree;
};

/// Divides `size` layers evenly, as far as each helper can.
void Divide(std::uint32_t size, std::vector<Helper>& helpers) {
  bool moved = true;
  while (size > 0 && moved) {
    moved = false;
    for (Helper& helper : helpers) {
      if (size > 0 && helper.share < helper.most) {
        ++helper.share;
        --size;
        moved = true;
      }
    }
  }
}

/// Cards that hold nothing, and then those whose layers others hold as well,
/// slowest first: the fast ones carry the chains. Degraded cards come last.
/// Cards that are taken away together leave every layer held.
std::vector<Card*> FindSpare(const EngineProfile& profile,
                             std::vector<Card>& cards,
                             const std::set<std::string>& in_use) {
  auto holders = CountHolders(profile, cards);
  std::vector<Card*> empty;
  std::vector<Card*> redundant;
  for (auto card = cards.rbegin(); card != cards.rend(); ++card) {
    if (card->is_loading) {
      continue;
    }
    if (card->layers.is_empty()) {
      empty.insert(empty.begin(), &*card);
      continue;
    }
    const auto first = holders.begin() + card->layers.first;
    const auto end =
        holders.begin() + std::min(card->layers.end, profile.layers);
    if (!in_use.contains(card->id) &&
        std::all_of(first, end, [](std::uint32_t n) { return n > 1; })) {
      std::for_each(first, end, [](std::uint32_t& n) { --n; });
      redundant.push_back(&*card);
    }
  }
  empty.insert(empty.end(), redundant.begin(), redundant.end());
  std::stable_partition(empty.begin(), empty.end(),
                        [](const Card* card) { return !IsDegraded(*card); });
  empty.resize(std::min(empty.size(), kMostHelpers));
  return empty;
}

std::vector<Helper> FindHelpers(const EngineProfile& profile,
                                std::vector<Card>& cards,
                                const std::set<std::string>& in_use,
                                LayerRange gap,
                                double room,
                                double repair_share,
                                std::size_t most_helpers,
                                bool with_degraded) {
  std::vector<Helper> below;
  std::vector<Helper> spare;
  std::vector<Helper> above;
  for (Card* card : FindSpare(profile, cards, in_use)) {
    if (with_degraded || !IsDegraded(*card)) {
      spare.push_back(
          {card, MostLayers(profile, *card, room), 0, Helper::Side::kFree});
    }
  }
  const auto is_spare = [&](const Card& card) {
    return std::any_of(spare.begin(), spare.end(), [&](const Helper& helper) {
      return helper.card == &card;
    });
  };
  for (Card& card : cards) {
    const std::uint32_t held = card.layers.size();
    const std::uint32_t most = MostLayers(profile, card, room * repair_share);
    if (card.is_loading || most <= held || held == 0 || is_spare(card) ||
        (!with_degraded && IsDegraded(card))) {
      continue;
    }
    if (card.layers.end == gap.first) {
      below.push_back({&card, most - held, 0, Helper::Side::kBelow});
    } else if (card.layers.first == gap.end) {
      above.push_back({&card, most - held, 0, Helper::Side::kAbove});
    }
  }
  std::vector<Helper> helpers;
  spare.resize(std::min(spare.size(), most_helpers));
  std::size_t room_left = most_helpers - spare.size();
  if (!below.empty() && room_left > 0) {
    helpers.push_back(below.front());
    --room_left;
  }
  helpers.insert(helpers.end(), spare.begin(), spare.end());
  if (!above.empty() && room_left > 0) {
    helpers.push_back(above.front());
  }
  return helpers;
}

/// Orders for helpers that were given shares of a gap; changes their cards.
void TakeShares(const std::vector<Helper>& helpers,
                LayerRange gap,
                std::vector<PlacementChange>& changes) {
  std::uint32_t next = gap.first;
  for (const Helper& helper : helpers) {
    if (helper.share == 0) {
      continue;
    }
    LayerRange& layers = helper.card->layers;
    switch (helper.side) {
      case Helper::Side::kBelow:
        layers.end += helper.share;
        break;
      case Helper::Side::kFree:
        layers = {next, next + helper.share};
        break;
      case Helper::Side::kAbove:
        layers.first -= helper.share;
        break;
    }
    helper.card->is_loading = true;
    next += helper.share;
    changes.push_back({helper.card->id, layers});
  }
}

/// Fills a gap that a lost card has left; changes `cards` to match.
///
/// \returns whether it could be filled.
bool FillGap(const EngineProfile& profile,
             std::vector<Card>& cards,
             const std::set<std::string>& in_use,
             LayerRange gap,
             double room,
             std::vector<PlacementChange>& changes) {
  const std::size_t few =
      std::clamp<std::size_t>(gap.size() / kLayersPerHelper, 1, kMostHelpers);
  const auto fill = [&](double share, std::size_t most_helpers,
                        bool with_degraded) {
    auto helpers = FindHelpers(profile, cards, in_use, gap, room, share,
                               most_helpers, with_degraded);
    std::uint32_t most = 0;
    for (const Helper& helper : helpers) {
      most += helper.most;
    }
    if (most < gap.size()) {
      return false;
    }
    Divide(gap.size(), helpers);
    TakeShares(helpers, gap, changes);
    return true;
  };
  for (const bool with_degraded : {false, true}) {
    for (const double share : kRepairShares) {
      for (std::size_t helpers = few; helpers <= kMostHelpers; ++helpers) {
        if (fill(share, helpers, with_degraded)) {
          return true;
        }
      }
    }
  }
  return false;
}

}  // namespace

bool IsDegraded(double slowness) noexcept {
  return slowness >= kDegraded;
}

double RoomTarget(const EngineProfile& profile,
                  const std::vector<Card>& cards) {
  double room = kSlotShare * profile.slots *
                (profile.usual_prompt_tokens + profile.usual_answer_tokens);
  const auto fits = [&] {
    std::uint32_t fitting = 0;
    for (const Card& card : cards) {
      fitting += MostLayers(profile, card, room);
    }
    return fitting >= profile.layers;
  };
  while (room > kLeastRoom && !fits()) {
    room *= kRoomStep;
  }
  return room;
}

namespace {

/// Where an empty card is needed most.
LayerRange RangeFor(const std::vector<std::uint32_t>& holders,
                    std::uint32_t most) {
  const LayerRange run = ThinnestRun(holders);
  const auto layers = static_cast<std::uint32_t>(holders.size());
  if (run.size() >= most) {
    return {run.first, run.first + most};
  }
  // A run shorter than the card's memory allows is widened downwards first.
  const std::uint32_t first = run.end > most ? run.end - most : 0;
  return {first, std::min(first + most, layers)};
}

/// Gives empty cards their layers, fastest card first.
void FillEmpty(const EngineProfile& profile,
               std::vector<Card>& cards,
               double room,
               std::uint32_t& loads,
               std::vector<PlacementChange>& changes) {
  for (Card& card : cards) {
    const std::uint32_t most = MostLayers(profile, card, room);
    if (!card.layers.is_empty() || card.is_loading || most == 0 || loads == 0) {
      continue;
    }
    card.layers = RangeFor(CountHolders(profile, cards), most);
    card.is_loading = true;
    --loads;
    changes.push_back({card.id, card.layers});
  }
}

/// Gives half of the layers of a card that a repair has left without much room
/// to a card that no chain uses as well; chains then use both in part.
///
/// \returns whether there was such a card and one to help it.
bool Relieve(const EngineProfile& profile,
             std::vector<Card>& cards,
             const std::set<std::string>& in_use,
             double room,
             std::vector<PlacementChange>& changes) {
  const auto spare = FindSpare(profile, cards, in_use);
  for (const Card& card : cards) {
    const LayerRange layers = card.layers;
    if (!in_use.contains(card.id) || layers.size() < 2 ||
        card.RoomFor(profile, layers.size(), layers.size()) >
            kCrampedShare * room) {
      continue;
    }
    const std::uint32_t half = layers.size() / 2;
    for (Card* helper : spare) {
      if (helper->id != card.id && MostLayers(profile, *helper, room) >= half) {
        changes.push_back({helper->id, {layers.end - half, layers.end}});
        return true;
      }
    }
  }
  return false;
}

/// Time that a card needs for a step of some layers, in steps of the whole
/// model at a factor of 1.
double StepOf(const EngineProfile& profile,
              const Card& card,
              std::uint32_t layers) {
  return card.kind.step_factor * layers / profile.layers;
}

/// Gives the layers of a degraded card that chains use to cards that stand by,
/// when these run them much faster.
///
/// Load answered: cards that turn slow for seconds; their chain is slow as a
/// whole, holds its requests for longer and refuses others.
///
/// \returns whether there was such a card and others to replace it.
bool Replace(const EngineProfile& profile,
             std::vector<Card>& cards,
             const std::set<std::string>& in_use,
             double room,
             std::vector<PlacementChange>& changes) {
  const auto spare = FindSpare(profile, cards, in_use);
  for (const Card& card : cards) {
    if (!IsDegraded(card) || !in_use.contains(card.id)) {
      continue;
    }
    std::vector<PlacementChange> pieces;
    double time = 0;
    std::uint32_t from = card.layers.first;
    for (const Card* helper : spare) {
      const std::uint32_t size =
          std::min(MostLayers(profile, *helper, room), card.layers.end - from);
      if (size > 0 && !IsDegraded(*helper)) {
        pieces.push_back({helper->id, {from, from + size}});
        time += StepOf(profile, *helper, size);
        from += size;
      }
    }
    if (from == card.layers.end &&
        time <= kWorthMoving * StepOf(profile, card, card.layers.size())) {
      changes.insert(changes.end(), pieces.begin(), pieces.end());
      return true;
    }
  }
  return false;
}

/// Widens one card that repairs have left with few layers.
void Widen(const EngineProfile& profile,
           std::vector<Card>& cards,
           const std::set<std::string>& in_use,
           double room,
           std::vector<PlacementChange>& changes) {
  const auto holders = CountHolders(profile, cards);
  for (Card& card : cards) {
    const std::uint32_t most = MostLayers(profile, card, room);
    if (card.layers.is_empty() || in_use.contains(card.id) ||
        card.layers.size() >= kFilled * most) {
      continue;
    }
    LayerRange layers = card.layers;
    while (layers.size() < most) {
      const bool can_fall = layers.first > 0;
      const bool can_rise = layers.end < profile.layers;
      if (can_fall &&
          (!can_rise || holders[layers.first - 1] <= holders[layers.end])) {
        --layers.first;
      } else if (can_rise) {
        ++layers.end;
      } else {
        break;
      }
    }
    changes.push_back({card.id, layers});
    return;
  }
}

/// Lays all layers out again: the last resort, when no few cards can close a
/// gap. Cards keep the layers that they would get anyway.
std::vector<PlacementChange> PlanAnew(const EngineProfile& profile,
                                      const std::vector<Card>& cards,
                                      double room) {
  std::vector<Card> empty = cards;
  for (Card& card : empty) {
    card.layers = {};
  }
  std::vector<PlacementChange> changes;
  std::uint32_t loads = static_cast<std::uint32_t>(cards.size());
  FillEmpty(profile, empty, room, loads, changes);
  std::erase_if(changes, [&](const PlacementChange& change) {
    return std::any_of(cards.begin(), cards.end(), [&](const Card& card) {
      return card.id == change.card && card.layers == change.layers;
    });
  });
  return changes;
}

}  // namespace

std::vector<PlacementChange> PlanPlacement(
    const EngineProfile& profile,
    const std::vector<Card>& given,
    const std::vector<std::string>& in_use,
    std::uint32_t loads) {
  std::vector<PlacementChange> changes;
  if (given.empty() || profile.layers == 0) {
    return changes;
  }
  std::vector<Card> cards = given;
  std::sort(cards.begin(), cards.end(), IsFaster);
  const double room = RoomTarget(profile, cards);
  const bool is_fresh =
      std::all_of(cards.begin(), cards.end(),
                  [](const Card& card) { return card.layers.is_empty(); });
  if (is_fresh) {
    std::uint32_t unbounded = static_cast<std::uint32_t>(cards.size());
    FillEmpty(profile, cards, room, unbounded, changes);
    return changes;
  }
  const std::set<std::string> used(in_use.begin(), in_use.end());
  const bool is_calm = std::none_of(
      cards.begin(), cards.end(), [](const Card& it) { return it.is_loading; });
  const auto holders = CountHolders(profile, cards);
  if (*std::min_element(holders.begin(), holders.end()) == 0) {
    const LayerRange gap = ThinnestRun(holders);
    // Cards in use are taken when nothing else helps.
    const bool is_filled = FillGap(profile, cards, used, gap, room, changes) ||
                           FillGap(profile, cards, {}, gap, room, changes);
    if (!is_filled && is_calm) {
      return PlanAnew(profile, cards, room);
    }
    return changes;
  }
  FillEmpty(profile, cards, room, loads, changes);
  if (is_calm && loads > 0 && !Replace(profile, cards, used, room, changes) &&
      !Relieve(profile, cards, used, room, changes)) {
    Widen(profile, cards, used, room, changes);
  }
  return changes;
}

}  // namespace sycamoreford
