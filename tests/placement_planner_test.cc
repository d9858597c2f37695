// Accelerators start empty, are lost, return and join; the plan keeps every
// layer held and no accelerator over its memory.
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

std::vector<Accelerator> DataCentre() {
  std::vector<Accelerator> accelerators = {SampleCard("a1", "large")};
  for (int i = 0; i < 6; ++i) {
    accelerators.push_back(SampleCard("b" + std::to_string(i), "medium"));
  }
  for (int i = 0; i < 5; ++i) {
    accelerators.push_back(SampleCard("c" + std::to_string(i), "small"));
  }
  return accelerators;
}

/// Carries changes out at once.
void Apply(std::vector<Accelerator>& accelerators,
           const std::vector<PlacementChange>& changes) {
  for (const PlacementChange& change : changes) {
    const auto accelerator = std::find_if(
        accelerators.begin(), accelerators.end(),
        [&](const Accelerator& it) { return it.id == change.accelerator_id; });
    REQUIRE(accelerator != accelerators.end());
    accelerator->layers = change.layers;
  }
}

std::uint32_t Uncovered(const std::vector<Accelerator>& accelerators) {
  std::uint32_t uncovered = 0;
  for (std::uint32_t layer = 0; layer < SampleEngine().layers; ++layer) {
    uncovered += std::none_of(
        accelerators.begin(), accelerators.end(), [&](const Accelerator& c) {
          return c.layers.first <= layer && layer < c.layers.end;
        });
  }
  return uncovered;
}

bool FitsMemory(const std::vector<Accelerator>& accelerators) {
  return std::all_of(accelerators.begin(), accelerators.end(),
                     [](const Accelerator& accelerator) {
                       return accelerator.layers.size() *
                                  SampleEngine().layer_mb <=
                              accelerator.kind.memory_mb;
                     });
}

std::vector<std::string> InUse(const std::vector<Accelerator>& accelerators) {
  std::vector<std::string> ids;
  for (const ServingChain& chain : BuildChains(SampleEngine(), accelerators)) {
    for (const ChainStage& stage : chain.stages) {
      ids.push_back(stage.endpoint.value());
    }
  }
  return ids;
}

/// Plans and carries out until nothing changes; the number of rounds.
int Settle(std::vector<Accelerator>& accelerators) {
  for (int round = 0; round < 50; ++round) {
    const auto changes = PlanPlacement(SampleEngine(), accelerators,
                                       InUse(accelerators), kLoads);
    if (changes.empty()) {
      return round;
    }
    Apply(accelerators, changes);
  }
  return -1;
}

TEST_CASE("placing the layers of a model") {
  SECTION("a data centre starts with empty cards") {
    auto accelerators = DataCentre();
    Apply(accelerators,
          PlanPlacement(SampleEngine(), accelerators, {}, kLoads));
    REQUIRE(Uncovered(accelerators) == 0);
    REQUIRE(FitsMemory(accelerators));

    SECTION("every card with a use gets layers") {
      REQUIRE(std::none_of(accelerators.begin(), accelerators.end(),
                           [](const Accelerator& accelerator) {
                             return accelerator.layers.is_empty();
                           }));
    }

    SECTION("the chain has the room that was planned for") {
      const auto chains = BuildChains(SampleEngine(), accelerators);
      REQUIRE_FALSE(chains.empty());
      REQUIRE(chains.front().token_capacity >=
              0.9 * TargetTokenCapacity(SampleEngine(), accelerators));
    }

    SECTION("a plan that holds asks for nothing more") {
      REQUIRE(PlanPlacement(SampleEngine(), accelerators, InUse(accelerators),
                            kLoads)
                  .empty());
    }

    SECTION("any one card is lost") {
      for (std::size_t lost = 0; lost < accelerators.size(); ++lost) {
        auto left = accelerators;
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(lost));
        const auto before = left;
        const auto changes =
            PlanPlacement(SampleEngine(), left, InUse(left), kLoads);
        Apply(left, changes);
        INFO("lost " << accelerators[lost].id);

        // One round of orders must close the gap, whatever was lost.
        REQUIRE(Uncovered(left) == 0);
        REQUIRE(FitsMemory(left));
        REQUIRE_FALSE(BuildChains(SampleEngine(), left).empty());

        SECTION("cards whose layers nobody else holds keep them: " +
                accelerators[lost].id) {
          for (std::size_t i = 0; i < left.size(); ++i) {
            auto others = before;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
            if (Uncovered(others) > Uncovered(before)) {
              REQUIRE(left[i].layers.first <= before[i].layers.first);
              REQUIRE(left[i].layers.end >= before[i].layers.end);
            }
          }
        }

        SECTION("it returns empty and gets layers again: " +
                accelerators[lost].id) {
          left.push_back(accelerators[lost]);
          left.back().layers = {};
          REQUIRE(Settle(left) >= 0);
          REQUIRE_FALSE(left.back().layers.is_empty());
          REQUIRE(FitsMemory(left));
        }
      }
    }

    SECTION("loads that run already leave no place for cards that stand by") {
      accelerators.push_back(SampleCard("new", "small"));
      REQUIRE(
          PlanPlacement(SampleEngine(), accelerators, InUse(accelerators), 0)
              .empty());
      REQUIRE_FALSE(
          PlanPlacement(SampleEngine(), accelerators, InUse(accelerators), 1)
              .empty());
    }
  }

  SECTION("a repair has left a card without much room") {
    // The small accelerator at the end holds ten layers; its twin holds what
    // others hold as well.
    std::vector<Accelerator> accelerators = {
        SampleCard("a1", "large", {0, 30}), SampleCard("a2", "large", {20, 50}),
        SampleCard("a3", "large", {44, 70}),
        SampleCard("c1", "small", {70, 80}),
        SampleCard("c2", "small", {20, 26})};
    const double before =
        BuildChains(SampleEngine(), accelerators).front().token_capacity;
    REQUIRE(Settle(accelerators) >= 0);
    const auto chains = BuildChains(SampleEngine(), accelerators);
    REQUIRE(chains.front().Uses("c2"));
    REQUIRE(chains.front().token_capacity > 1.5 * before);
    REQUIRE(FitsMemory(accelerators));
  }

  SECTION("cards have turned slow") {
    // Five large accelerators hold the model, and four more stand by.
    std::vector<Accelerator> accelerators;
    for (std::uint32_t i = 0; i < 5; ++i) {
      accelerators.push_back(
          SampleCard("a" + std::to_string(i), "large", {i * 16, (i + 1) * 16}));
    }
    for (std::uint32_t i = 0; i < 4; ++i) {
      accelerators.push_back(
          SampleCard("b" + std::to_string(i), "medium", {i * 8, i * 8 + 8}));
    }
    std::vector<std::string> used = {"a0", "a1", "a2", "a3", "a4"};
    const auto slow_down = [](Accelerator& accelerator) {
      accelerator.slowness = 12;
      accelerator.kind.decode_factor *= 12;
      accelerator.kind.prefill_factor *= 12;
    };

    SECTION("one that a chain uses is replaced by those that stand by") {
      slow_down(accelerators[4]);
      Apply(accelerators,
            PlanPlacement(SampleEngine(), accelerators, used, kLoads));
      REQUIRE(FitsMemory(accelerators));
      const auto chains = BuildChains(SampleEngine(), accelerators);
      REQUIRE_FALSE(chains.empty());
      REQUIRE_FALSE(chains.front().Uses("a4"));
    }
    SECTION("one that stands by does not fill a gap when others can") {
      slow_down(accelerators[5]);
      accelerators.erase(accelerators.begin());
      used.erase(used.begin());
      accelerators[4].layers = {40, 48};
      const auto changes =
          PlanPlacement(SampleEngine(), accelerators, used, kLoads);
      REQUIRE_FALSE(changes.empty());
      REQUIRE(std::none_of(
          changes.begin(), changes.end(),
          [](const PlacementChange& it) { return it.accelerator_id == "b0"; }));
    }
    SECTION("they fill a gap when all are slow") {
      for (Accelerator& accelerator : accelerators) {
        slow_down(accelerator);
      }
      accelerators.erase(accelerators.begin());
      accelerators[4].layers = {40, 48};
      Apply(accelerators,
            PlanPlacement(SampleEngine(), accelerators, used, kLoads));
      REQUIRE(Uncovered(accelerators) == 0);
    }
  }

  SECTION("too little memory for the model") {
    std::vector<Accelerator> accelerators = {SampleCard("a1", "large"),
                                             SampleCard("c1", "small")};
    Apply(accelerators,
          PlanPlacement(SampleEngine(), accelerators, {}, kLoads));
    REQUIRE(FitsMemory(accelerators));
    REQUIRE(BuildChains(SampleEngine(), accelerators).empty());
  }

  SECTION("no cards") {
    REQUIRE(PlanPlacement(SampleEngine(), {}, {}, kLoads).empty());
  }
}

TEST_CASE("any sequence of losses and returns") {
  REQUIRE(rc::check(
      "no card goes over its memory, and a gap is filled when cards can", [] {
        auto accelerators = DataCentre();
        Settle(accelerators);
        const auto steps = *rc::gen::inRange(1, 12);
        for (int step = 0; step < steps; ++step) {
          const auto at =
              *rc::gen::inRange<std::size_t>(0, accelerators.size());
          if (*rc::gen::arbitrary<bool>() && accelerators.size() > 9) {
            accelerators.erase(accelerators.begin() +
                               static_cast<std::ptrdiff_t>(at));
          } else {
            accelerators[at].layers = {};
          }
          for (int round = 0; round < 8; ++round) {
            Apply(accelerators, PlanPlacement(SampleEngine(), accelerators,
                                              InUse(accelerators), kLoads));
            RC_ASSERT(FitsMemory(accelerators));
          }
        }
        const double most = TargetTokenCapacity(SampleEngine(), accelerators);
        if (most > 20'000) {
          RC_ASSERT(Uncovered(accelerators) == 0U);
        }
      }));
}

}  // namespace
}  // namespace sycamoreford
