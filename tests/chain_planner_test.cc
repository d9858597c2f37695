// A planned chain covers all layers, or planning fails with `kNoEndpoint`; it
// never uses an endpoint that gets no new requests, and requests are
// distributed by the maximum flow.
#include <map>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "sycamoreford/route/chain_planner.h"
#include "sycamoreford/route/plan_cache.h"

namespace sycamoreford {
namespace {

struct Loads {
  [[nodiscard]] EndpointLoad LoadOf(const EndpointId& id) const {
    const auto found = by_name.find(id);
    return found == by_name.end() ? EndpointLoad{} : found->second;
  }
  std::map<EndpointId, EndpointLoad> by_name;
};

v1::Endpoint MakeEndpoint(const std::string& name,
                          LayerRange layers,
                          double rate) {
  v1::Endpoint endpoint;
  endpoint.set_name(name);
  endpoint.set_address("127.0.0.1:" + std::to_string(1000));
  endpoint.set_first_layer(layers.first);
  endpoint.set_end_layer(layers.end);
  endpoint.set_tokens_per_second(rate);
  endpoint.set_slots(100'000);
  return endpoint;
}

v1::ModelVersion Version(std::uint32_t layers) {
  v1::ModelVersion version;
  version.set_layers(layers);
  version.set_bytes_per_token(1000);
  return version;
}

/// Whether any chain covers `[at, layers)`, by exhaustive search.
bool CoverExists(const std::vector<v1::Endpoint>& usable,
                 std::uint32_t at,
                 std::uint32_t layers) {
  if (at == layers) {
    return true;
  }
  for (const v1::Endpoint& endpoint : usable) {
    if (endpoint.first_layer() == at && endpoint.end_layer() > at &&
        CoverExists(usable, endpoint.end_layer(), layers)) {
      return true;
    }
  }
  return false;
}

/// Number of requests that each endpoint gets when `count` requests are planned
/// and all stay in flight.
std::map<std::string, int> Spread(const PoolPlan& plan,
                                  Loads loads,
                                  ChainOptions options,
                                  int count) {
  std::map<std::string, int> spread;
  for (int i = 0; i < count; ++i) {
    options.random = static_cast<std::uint64_t>(i) * 7919 + 1;
    const auto chain = PlanChain(plan, loads, options);
    for (const ChainStage& stage : *chain) {
      ++spread[stage.endpoint.value()];
      ++loads.by_name[stage.endpoint].in_flight;
    }
  }
  return spread;
}

TEST_CASE("planning a chain over mixed endpoints") {
  v1::Pool pool;
  const auto add = [&pool](const std::string& name, LayerRange layers,
                           double rate) {
    *pool.add_endpoints() = MakeEndpoint(name, layers, rate);
  };

  SECTION("the maximum rate accounts for unequal splits and slow links") {
    add("whole", {0, 12}, 100);
    add("front", {0, 4}, 300);
    add("back", {4, 12}, 250);
    REQUIRE(PoolPlan::Compute(pool, Version(12)).max_tokens_per_second() ==
            Approx(350));
    pool.mutable_endpoints(1)->set_link_bytes_per_second(50'000);
    REQUIRE(PoolPlan::Compute(pool, Version(12)).max_tokens_per_second() ==
            Approx(150));
    pool.mutable_endpoints(0)->set_link_bytes_per_second(1);
    REQUIRE(PoolPlan::Compute(pool, Version(12)).max_tokens_per_second() ==
            Approx(150));
  }

  SECTION("requests follow the maximum flow") {
    add("whole", {0, 12}, 100);
    add("front", {0, 4}, 300);
    add("back", {4, 12}, 300);
    const PoolPlan plan = PoolPlan::Compute(pool, Version(12));
    const auto spread = Spread(plan, {}, {.choices = 2}, 400);
    REQUIRE(spread.at("front") == spread.at("back"));
    REQUIRE(spread.at("front") > 280);
    REQUIRE(spread.at("front") < 320);
  }

  SECTION("endpoints that lead to no complete chain are not used") {
    add("front", {0, 4}, 1000);
    add("middle", {4, 8}, 1000);
    add("whole", {0, 12}, 1);
    const auto chain =
        PlanChain(PoolPlan::Compute(pool, Version(12)), Loads{}, {});
    REQUIRE(chain.has_value());
    REQUIRE(chain->size() == 1);
  }

  SECTION("a slow endpoint keeps a small share") {
    add("a", {0, 12}, 100);
    add("b", {0, 12}, 100);
    const PoolPlan plan = PoolPlan::Compute(pool, Version(12));
    Loads loads;
    loads.by_name[EndpointId("a")].speed = 0.1;
    const auto spread = Spread(plan, loads, {.choices = 2}, 220);
    REQUIRE(spread.at("a") >= 10);
    REQUIRE(spread.at("a") <= 30);
  }

  SECTION("equal prefixes share an endpoint until it is too busy") {
    for (const char* name : {"a", "b", "c", "d"}) {
      add(name, {0, 12}, 100);
    }
    const PoolPlan plan = PoolPlan::Compute(pool, Version(12));
    const auto one = PlanChain(plan, Loads{}, {.random = 1, .prefix_hash = 77});
    const auto two = PlanChain(plan, Loads{}, {.random = 2, .prefix_hash = 77});
    REQUIRE(one->front().endpoint == two->front().endpoint);
    const auto spread =
        Spread(plan, {}, {.prefix_hash = 77, .choices = 2}, 400);
    for (const auto& [name, count] : spread) {
      REQUIRE(count <= 130);
    }
  }

  SECTION("slots limit the requests of one daemon") {
    add("a", {0, 12}, 100);
    pool.mutable_endpoints(0)->set_slots(6);
    const PoolPlan plan = PoolPlan::Compute(pool, Version(12));
    Loads loads;
    loads.by_name[EndpointId("a")].in_flight = 4;
    REQUIRE(PlanChain(plan, loads, {.daemons = 2}).has_value());
    const auto full = PlanChain(plan, loads, {.daemons = 3});
    REQUIRE_FALSE(full.has_value());
    REQUIRE(full.error().code == Errc::kNoEndpoint);
    REQUIRE(full.error().outcome == Outcome::kNotRun);
  }
}

TEST_CASE("any pool gives a complete chain or kNoEndpoint") {
  const bool holds = rc::check([] {
    const auto layers = *rc::gen::inRange<std::uint32_t>(1, 7);
    const auto count = *rc::gen::inRange(0, 9);
    v1::Pool pool;
    Loads loads;
    ChainOptions options;
    std::vector<v1::Endpoint> usable;
    for (int i = 0; i < count; ++i) {
      const auto first = *rc::gen::inRange<std::uint32_t>(0, layers);
      const auto end = *rc::gen::inRange<std::uint32_t>(first, layers + 1);
      v1::Endpoint endpoint = MakeEndpoint(
          "e" + std::to_string(i), {first, end}, *rc::gen::inRange(0, 100));
      endpoint.set_leaving(*rc::gen::inRange(0, 8) == 0);
      const EndpointId id(endpoint.name());
      EndpointLoad& load = loads.by_name[id];
      load.in_flight = *rc::gen::inRange<std::uint32_t>(0, 50);
      load.is_leaving = *rc::gen::inRange(0, 8) == 0;
      load.is_suspected = *rc::gen::inRange(0, 8) == 0;
      if (*rc::gen::inRange(0, 8) == 0) {
        options.avoid.insert(id);
      }
      if (!endpoint.leaving() && !load.is_leaving && !load.is_suspected &&
          !options.avoid.contains(id)) {
        usable.push_back(endpoint);
      }
      *pool.add_endpoints() = endpoint;
    }
    options.random = *rc::gen::arbitrary<std::uint64_t>();
    options.prefix_hash = *rc::gen::arbitrary<std::uint64_t>();
    options.choices = *rc::gen::inRange<std::uint32_t>(0, 4);
    const auto chain =
        PlanChain(PoolPlan::Compute(pool, Version(layers)), loads, options);
    RC_ASSERT(chain.has_value() == CoverExists(usable, 0, layers));
    if (!chain) {
      RC_ASSERT(chain.error().code == Errc::kNoEndpoint);
      RC_ASSERT(chain.error().outcome == Outcome::kNotRun);
      return;
    }
    RC_ASSERT(CoversAllLayers(*chain, layers));
    for (const ChainStage& stage : *chain) {
      const auto found = std::find_if(
          usable.begin(), usable.end(), [&](const v1::Endpoint& endpoint) {
            return endpoint.name() == stage.endpoint.value();
          });
      RC_ASSERT(found != usable.end());
      RC_ASSERT(found->first_layer() == stage.layers.first);
      RC_ASSERT(found->end_layer() == stage.layers.end);
    }
  });
  REQUIRE(holds);
}

}  // namespace
}  // namespace sycamoreford
