// Chains over what accelerators hold: each layer once and in order, whatever
// repairs have left.
#include <set>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "support/sample_engine.h"
#include "sycamoreford/placement/chain_builder.h"

namespace sycamoreford {
namespace {

using support::SampleCard;
using support::SampleEngine;

bool EachOnce(const std::vector<ServingChain>& chains,
              const std::vector<Accelerator>& accelerators) {
  std::set<std::string> used;
  for (const ServingChain& chain : chains) {
    if (!CoversAllLayers(chain.stages, SampleEngine().layers)) {
      return false;
    }
    for (const ChainStage& stage : chain.stages) {
      const auto accelerator = std::find_if(
          accelerators.begin(), accelerators.end(), [&](const Accelerator& it) {
            return it.id == stage.endpoint.value();
          });
      if (accelerator == accelerators.end() ||
          accelerator->layers.first > stage.layers.first ||
          accelerator->layers.end < stage.layers.end ||
          !used.insert(stage.endpoint.value()).second) {
        return false;
      }
    }
  }
  return true;
}

TEST_CASE("building chains") {
  SECTION("cards that hold the layers side by side") {
    const std::vector<Accelerator> accelerators = {
        SampleCard("1", "large", {0, 30}), SampleCard("2", "medium", {30, 50}),
        SampleCard("3", "large", {50, 80})};
    const auto chains = BuildChains(SampleEngine(), accelerators);
    REQUIRE(chains.size() == 1);
    REQUIRE(EachOnce(chains, accelerators));
    REQUIRE(chains.front().stages.size() == 3);

    SECTION("the stage with the least memory tells the room") {
      REQUIRE(chains.front().token_capacity ==
              Approx(accelerators[1].TokenCapacity(SampleEngine(), 20, 20)));
    }

    SECTION("a faster card that holds the same layers takes over") {
      auto more = accelerators;
      more.push_back(SampleCard("4", "large", {30, 50}));
      const auto better = BuildChains(SampleEngine(), more);
      REQUIRE(better.front().Uses("4"));
      REQUIRE_FALSE(better.front().Uses("2"));
      REQUIRE(better.front().decode_step_time <
              chains.front().decode_step_time);
    }

    SECTION("one of them is loading") {
      auto loading = accelerators;
      loading[1].is_loading = true;
      REQUIRE(BuildChains(SampleEngine(), loading).empty());
    }

    SECTION("a second copy makes a second chain of other cards") {
      auto twice = accelerators;
      twice.push_back(SampleCard("5", "large", {0, 40}));
      twice.push_back(SampleCard("6", "large", {40, 80}));
      const auto both = BuildChains(SampleEngine(), twice);
      REQUIRE(both.size() == 2);
      REQUIRE(EachOnce(both, twice));
    }
  }

  SECTION("a layer that nobody holds") {
    REQUIRE(BuildChains(SampleEngine(), {SampleCard("1", "large", {0, 39}),
                                         SampleCard("2", "large", {40, 80})})
                .empty());
  }

  SECTION("cards that overlap are used in part") {
    const std::vector<Accelerator> accelerators = {
        SampleCard("1", "medium", {0, 24}), SampleCard("2", "large", {16, 56}),
        SampleCard("3", "large", {48, 80})};
    const auto chains = BuildChains(SampleEngine(), accelerators);
    REQUIRE(chains.size() == 1);
    REQUIRE(EachOnce(chains, accelerators));
  }
}

TEST_CASE("chains over any holdings") {
  REQUIRE(rc::check("cover each layer once and use each card once", [] {
    const std::vector<std::string> kinds = {"large", "medium", "small"};
    std::vector<Accelerator> accelerators;
    const auto count = *rc::gen::inRange(1, 16);
    for (int i = 0; i < count; ++i) {
      const std::string kind = *rc::gen::elementOf(kinds);
      const auto first = *rc::gen::inRange<std::uint32_t>(0, 80);
      const auto size = *rc::gen::inRange<std::uint32_t>(1, 41);
      accelerators.push_back(SampleCard(std::to_string(i), kind,
                                        {first, std::min(first + size, 80U)}));
    }
    RC_ASSERT(
        EachOnce(BuildChains(SampleEngine(), accelerators), accelerators));
  }));
}

}  // namespace
}  // namespace sycamoreford
