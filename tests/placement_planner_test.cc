// Cards start empty, are lost, return and join; the plan keeps every layer
// held and no card over its memory.
#include <algorithm>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "support/sample_engine.h"
#include "sycamoreford/placement/chain_builder.h"
#include "sycamoreford/placement/placement_planner.h"

namespace sycamoreford {
namespace {

using support::SampleCard;
using support::SampleEngine;

constexpr std::uint32_t kLoads = 5;

std::vector<Card> DataCentre() {
  std::vector<Card> cards = {SampleCard("a1", "large")};
  for (int i = 0; i < 6; ++i) {
    cards.push_back(SampleCard("b" + std::to_string(i), "medium"));
  }
  for (int i = 0; i < 5; ++i) {
    cards.push_back(SampleCard("c" + std::to_string(i), "small"));
  }
  return cards;
}

/// Carries changes out at once.
void Apply(std::vector<Card>& cards,
           const std::vector<PlacementChange>& changes) {
  for (const PlacementChange& change : changes) {
    const auto card =
        std::find_if(cards.begin(), cards.end(),
                     [&](const Card& it) { return it.id == change.card; });
    REQUIRE(card != cards.end());
    card->layers = change.layers;
  }
}

std::uint32_t Uncovered(const std::vector<Card>& cards) {
  std::uint32_t uncovered = 0;
  for (std::uint32_t layer = 0; layer < SampleEngine().layers; ++layer) {
    uncovered += std::none_of(cards.begin(), cards.end(), [&](const Card& c) {
      return c.layers.first <= layer && layer < c.layers.end;
    });
  }
  return uncovered;
}

bool FitsMemory(const std::vector<Card>& cards) {
  return std::all_of(cards.begin(), cards.end(), [](const Card& card) {
    return card.layers.size() * SampleEngine().layer_mb <= card.kind.memory_mb;
  });
}

std::vector<std::string> InUse(const std::vector<Card>& cards) {
  std::vector<std::string> ids;
  for (const ServingChain& chain : BuildChains(SampleEngine(), cards)) {
    for (const ChainStage& stage : chain.stages) {
      ids.push_back(stage.endpoint.value());
    }
  }
  return ids;
}

/// Plans and carries out until nothing changes; the number of rounds.
int Settle(std::vector<Card>& cards) {
  for (int round = 0; round < 50; ++round) {
    const auto changes =
        PlanPlacement(SampleEngine(), cards, InUse(cards), kLoads);
    if (changes.empty()) {
      return round;
    }
    Apply(cards, changes);
  }
  return -1;
}

TEST_CASE("placing the layers of a model") {
  SECTION("a data centre starts with empty cards") {
    auto cards = DataCentre();
    Apply(cards, PlanPlacement(SampleEngine(), cards, {}, kLoads));
    REQUIRE(Uncovered(cards) == 0);
    REQUIRE(FitsMemory(cards));

    SECTION("every card with a use gets layers") {
      REQUIRE(std::none_of(cards.begin(), cards.end(), [](const Card& card) {
        return card.layers.is_empty();
      }));
    }

    SECTION("the chain has the room that was planned for") {
      const auto chains = BuildChains(SampleEngine(), cards);
      REQUIRE_FALSE(chains.empty());
      REQUIRE(chains.front().room_tokens >=
              0.9 * RoomTarget(SampleEngine(), cards));
    }

    SECTION("a plan that holds asks for nothing more") {
      REQUIRE(
          PlanPlacement(SampleEngine(), cards, InUse(cards), kLoads).empty());
    }

    SECTION("any one card is lost") {
      for (std::size_t lost = 0; lost < cards.size(); ++lost) {
        auto left = cards;
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(lost));
        const auto before = left;
        const auto changes =
            PlanPlacement(SampleEngine(), left, InUse(left), kLoads);
        Apply(left, changes);
        INFO("lost " << cards[lost].id);

        // One round of orders must close the gap, whatever was lost.
        REQUIRE(Uncovered(left) == 0);
        REQUIRE(FitsMemory(left));
        REQUIRE_FALSE(BuildChains(SampleEngine(), left).empty());

        SECTION("cards whose layers nobody else holds keep them: " +
                cards[lost].id) {
          for (std::size_t i = 0; i < left.size(); ++i) {
            auto others = before;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
            if (Uncovered(others) > Uncovered(before)) {
              REQUIRE(left[i].layers.first <= before[i].layers.first);
              REQUIRE(left[i].layers.end >= before[i].layers.end);
            }
          }
        }

        SECTION("it returns empty and gets layers again: " + cards[lost].id) {
          left.push_back(cards[lost]);
          left.back().layers = {};
          REQUIRE(Settle(left) >= 0);
          REQUIRE_FALSE(left.back().layers.is_empty());
          REQUIRE(FitsMemory(left));
        }
      }
    }

    SECTION("loads that run already leave no place for cards that stand by") {
      cards.push_back(SampleCard("new", "small"));
      REQUIRE(PlanPlacement(SampleEngine(), cards, InUse(cards), 0).empty());
      REQUIRE_FALSE(
          PlanPlacement(SampleEngine(), cards, InUse(cards), 1).empty());
    }
  }

  SECTION("a repair has left a card without much room") {
    // The small card at the end holds ten layers; its twin holds what others
    // hold as well.
    std::vector<Card> cards = {SampleCard("a1", "large", {0, 30}),
                               SampleCard("a2", "large", {20, 50}),
                               SampleCard("a3", "large", {44, 70}),
                               SampleCard("c1", "small", {70, 80}),
                               SampleCard("c2", "small", {20, 26})};
    const double before =
        BuildChains(SampleEngine(), cards).front().room_tokens;
    REQUIRE(Settle(cards) >= 0);
    const auto chains = BuildChains(SampleEngine(), cards);
    REQUIRE(chains.front().Uses("c2"));
    REQUIRE(chains.front().room_tokens > 1.5 * before);
    REQUIRE(FitsMemory(cards));
  }

  SECTION("cards have turned slow") {
    // Five large cards hold the model, and four more stand by.
    std::vector<Card> cards;
    for (std::uint32_t i = 0; i < 5; ++i) {
      cards.push_back(
          SampleCard("a" + std::to_string(i), "large", {i * 16, (i + 1) * 16}));
    }
    for (std::uint32_t i = 0; i < 4; ++i) {
      cards.push_back(
          SampleCard("b" + std::to_string(i), "medium", {i * 8, i * 8 + 8}));
    }
    std::vector<std::string> used = {"a0", "a1", "a2", "a3", "a4"};
    const auto slow_down = [](Card& card) {
      card.slowness = 12;
      card.kind.step_factor *= 12;
      card.kind.read_factor *= 12;
    };

    SECTION("one that a chain uses is replaced by those that stand by") {
      slow_down(cards[4]);
      Apply(cards, PlanPlacement(SampleEngine(), cards, used, kLoads));
      REQUIRE(FitsMemory(cards));
      const auto chains = BuildChains(SampleEngine(), cards);
      REQUIRE_FALSE(chains.empty());
      REQUIRE_FALSE(chains.front().Uses("a4"));
    }
    SECTION("one that stands by does not fill a gap when others can") {
      slow_down(cards[5]);
      cards.erase(cards.begin());
      used.erase(used.begin());
      cards[4].layers = {40, 48};
      const auto changes = PlanPlacement(SampleEngine(), cards, used, kLoads);
      REQUIRE_FALSE(changes.empty());
      REQUIRE(std::none_of(
          changes.begin(), changes.end(),
          [](const PlacementChange& it) { return it.card == "b0"; }));
    }
    SECTION("they fill a gap when all are slow") {
      for (Card& card : cards) {
        slow_down(card);
      }
      cards.erase(cards.begin());
      cards[4].layers = {40, 48};
      Apply(cards, PlanPlacement(SampleEngine(), cards, used, kLoads));
      REQUIRE(Uncovered(cards) == 0);
    }
  }

  SECTION("too little memory for the model") {
    std::vector<Card> cards = {SampleCard("a1", "large"),
                               SampleCard("c1", "small")};
    Apply(cards, PlanPlacement(SampleEngine(), cards, {}, kLoads));
    REQUIRE(FitsMemory(cards));
    REQUIRE(BuildChains(SampleEngine(), cards).empty());
  }

  SECTION("no cards") {
    REQUIRE(PlanPlacement(SampleEngine(), {}, {}, kLoads).empty());
  }
}

TEST_CASE("any sequence of losses and returns") {
  REQUIRE(rc::check(
      "no card goes over its memory, and a gap is filled when cards can", [] {
        auto cards = DataCentre();
        Settle(cards);
        const auto steps = *rc::gen::inRange(1, 12);
        for (int step = 0; step < steps; ++step) {
          const auto at = *rc::gen::inRange<std::size_t>(0, cards.size());
          if (*rc::gen::arbitrary<bool>() && cards.size() > 9) {
            cards.erase(cards.begin() + static_cast<std::ptrdiff_t>(at));
          } else {
            cards[at].layers = {};
          }
          for (int round = 0; round < 8; ++round) {
            Apply(cards,
                  PlanPlacement(SampleEngine(), cards, InUse(cards), kLoads));
            RC_ASSERT(FitsMemory(cards));
          }
        }
        const double most = RoomTarget(SampleEngine(), cards);
        if (most > 20'000) {
          RC_ASSERT(Uncovered(cards) == 0U);
        }
      }));
}

}  // namespace
}  // namespace sycamoreford
