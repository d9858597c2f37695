#include "sycamoreford/placement/chain_builder.h"

#include <algorithm>
#include <limits>
#include <set>

#include "sycamoreford/placement/placement_planner.h"

namespace sycamoreford {
namespace {

/// Time that one more stage adds to a token: the hop and the wait for the
/// stage's pass, in ms.
constexpr double kStageMs = 0.3;
/// Price of a stage with half of the wanted room, in ms: about the step time
/// of a whole chain, so that room goes before speed below the target.
constexpr double kRoomPriceMs = 8;

/// The best way found to run the layers below some position.
struct Way {
  double cost = std::numeric_limits<double>::infinity();
  std::size_t card = 0;
  std::uint32_t from = 0;
  /// Index of the way before it; `kNone` at the start.
  std::size_t before = 0;
};

constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();

double StageCost(const EngineProfile& profile,
                 const Card& card,
                 std::uint32_t used,
                 double room) {
  const double have = card.RoomFor(profile, card.layers.size(), used);
  const double step =
      profile.step.count() * card.kind.step_factor * used / profile.layers;
  const double lack = have <= 0 ? room : room / have - 1;
  return kStageMs + step + (lack > 0 ? kRoomPriceMs * lack : 0);
}

/// Positions at which a chain may pass from one card to the next.
std::vector<std::uint32_t> Cuts(const EngineProfile& profile,
                                const std::vector<Card>& cards) {
  std::set<std::uint32_t> cuts = {0, profile.layers};
  for (const Card& card : cards) {
    cuts.insert(card.layers.first);
    cuts.insert(std::min(card.layers.end, profile.layers));
  }
  return {cuts.begin(), cuts.end()};
}

/// Ways by cut (row) and last card (column).
class WayTable {
 public:
  WayTable(std::size_t cuts, std::size_t cards)
      : cards_(cards), ways_(cuts * cards) {}

  Way& at(std::size_t cut, std::size_t card) {
    return ways_[cut * cards_ + card];
  }
  [[nodiscard]] std::size_t index(std::size_t cut, std::size_t card) const {
    return cut * cards_ + card;
  }
  Way& at(std::size_t index) { return ways_[index]; }

 private:
  std::size_t cards_;
  std::vector<Way> ways_;
};

ServingChain ToChain(const EngineProfile& profile,
                     const std::vector<Card>& cards,
                     WayTable& table,
                     const std::vector<std::uint32_t>& cuts,
                     std::size_t last_card) {
  ServingChain chain;
  chain.room_tokens = std::numeric_limits<double>::infinity();
  std::uint32_t end = cuts.back();
  std::size_t index = table.index(cuts.size() - 1, last_card);
  while (index != kNone) {
    const Way way = table.at(index);
    const Card& card = cards[way.card];
    const std::uint32_t used = end - way.from;
    ChainStage stage;
    stage.endpoint = EndpointId(card.id);
    stage.address = card.address;
    stage.layers = {way.from, end};
    chain.stages.insert(chain.stages.begin(), stage);
    chain.room_tokens = std::min(
        chain.room_tokens, card.RoomFor(profile, card.layers.size(), used));
    chain.step += profile.step * card.kind.step_factor *
                  (static_cast<double>(used) / profile.layers);
    chain.data_centre = card.data_centre;
    end = way.from;
    index = way.before;
  }
  return chain;
}

/// The cheapest chain over `cards`, which are sorted by the end of their
/// layers; its stages are empty when there is none.
ServingChain BuildOne(const EngineProfile& profile,
                      const std::vector<Card>& cards,
                      double room) {
  const auto cuts = Cuts(profile, cards);
  WayTable table(cuts.size(), cards.size());
  const auto relax = [&](std::size_t cut, std::size_t card, double cost,
                         std::size_t before) {
    const std::uint32_t from = cuts[cut];
    if (cards[card].layers.first > from) {
      return;
    }
    for (std::size_t next = cut + 1; next < cuts.size(); ++next) {
      if (cuts[next] > cards[card].layers.end) {
        break;
      }
      const double total =
          cost + StageCost(profile, cards[card], cuts[next] - from, room);
      Way& way = table.at(next, card);
      if (total < way.cost) {
        way = {total, card, from, before};
      }
    }
  };
  for (std::size_t card = 0; card < cards.size(); ++card) {
    relax(0, card, 0, kNone);
  }
  for (std::size_t cut = 1; cut + 1 < cuts.size(); ++cut) {
    for (std::size_t last = 0; last < cards.size(); ++last) {
      const double cost = table.at(cut, last).cost;
      if (cost == std::numeric_limits<double>::infinity()) {
        continue;
      }
      for (std::size_t card = last + 1; card < cards.size(); ++card) {
        relax(cut, card, cost, table.index(cut, last));
      }
    }
  }
  std::size_t best = 0;
  for (std::size_t card = 1; card < cards.size(); ++card) {
    if (table.at(cuts.size() - 1, card).cost <
        table.at(cuts.size() - 1, best).cost) {
      best = card;
    }
  }
  if (cards.empty() || table.at(cuts.size() - 1, best).cost ==
                           std::numeric_limits<double>::infinity()) {
    return {};
  }
  return ToChain(profile, cards, table, cuts, best);
}

}  // namespace

bool ServingChain::Uses(const std::string& endpoint) const noexcept {
  return std::any_of(stages.begin(), stages.end(),
                     [&](const ChainStage& stage) {
                       return stage.endpoint.value() == endpoint;
                     });
}

std::vector<std::string> CardsInUse(const std::vector<ServingChain>& chains) {
  std::vector<std::string> ids;
  for (const ServingChain& chain : chains) {
    for (const ChainStage& stage : chain.stages) {
      ids.push_back(stage.endpoint.value());
    }
  }
  return ids;
}

std::vector<LayerRange> MissingLayers(const EngineProfile& profile,
                                      const std::vector<Card>& cards) {
  std::vector<LayerRange> missing;
  for (std::uint32_t layer = 0; layer < profile.layers; ++layer) {
    const bool is_held =
        std::any_of(cards.begin(), cards.end(), [&](const Card& card) {
          return !card.is_loading && card.layers.first <= layer &&
                 layer < card.layers.end;
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

std::vector<ServingChain> BuildChains(const EngineProfile& profile,
                                      const std::vector<Card>& given) {
  std::vector<ServingChain> chains;
  if (profile.layers == 0) {
    return chains;
  }
  const double room = RoomTarget(profile, given);
  std::vector<Card> cards;
  std::copy_if(given.begin(), given.end(), std::back_inserter(cards),
               [](const Card& card) {
                 return !card.is_loading && !card.layers.is_empty();
               });
  std::sort(cards.begin(), cards.end(), [](const Card& a, const Card& b) {
    return std::tie(a.layers.end, a.layers.first, a.id) <
           std::tie(b.layers.end, b.layers.first, b.id);
  });
  for (;;) {
    ServingChain chain = BuildOne(profile, cards, room);
    if (chain.stages.empty()) {
      return chains;
    }
    std::erase_if(cards, [&](const Card& card) { return chain.Uses(card.id); });
    chains.push_back(std::move(chain));
  }
}

}  // namespace sycamoreford
