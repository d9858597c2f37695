// One answer over chains of several stages, with every call to the engines
// failing in turn and in combination.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "fakes/scripted_engine.h"
#include "sycamoreford/stream/answer_driver.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using fakes::EngineFault;
using fakes::FakeModel;
using fakes::ManualClock;
using fakes::ScriptedEngine;
using std::chrono::milliseconds;

constexpr std::uint32_t kStages = 4;
constexpr std::uint32_t kLayersPerStage = 3;
constexpr std::uint32_t kLayers = kStages * kLayersPerStage;

v1::Pool MakePool(const std::vector<std::string>& replicas) {
  v1::Pool pool;
  for (const std::string& replica : replicas) {
    for (std::uint32_t i = 0; i < kStages; ++i) {
      v1::Endpoint& endpoint = *pool.add_endpoints();
      endpoint.set_name(replica + std::to_string(i));
      endpoint.set_address("at-" + endpoint.name());
      endpoint.set_first_layer(i * kLayersPerStage);
      endpoint.set_end_layer((i + 1) * kLayersPerStage);
      endpoint.set_tokens_per_second(100);
    }
  }
  return pool;
}

struct Sink {
  std::vector<std::string> tokens;
  std::vector<TimePoint> times;
  const ManualClock* clock = nullptr;
  std::optional<std::size_t> breaks_at;
  std::function<void(std::size_t)> on_token;

  asio::awaitable<void> OnToken(const std::string& text) {
    if (breaks_at == tokens.size()) {
      throw std::runtime_error("the caller's connection broke");
    }
    tokens.push_back(text);
    times.push_back(clock->now);
    if (on_token) {
      on_token(tokens.size());
    }
    co_return;
  }
};

/// Customers whose requests run side by side over the same engines.
struct World {
  ManualClock clock;
  ScriptedEngine engine{clock};
  EndpointTable endpoints;
  AnswerLimits limits;
  AnswerOrder order;
  std::vector<Sink> sinks;
  std::vector<std::optional<Result<std::string>>> results;

  explicit World(std::uint32_t max_tokens,
                 const std::vector<std::string>& replicas = {"a", "b", "c"}) {
    order.model = "bell-llm";
    order.version.set_layers(kLayers);
    order.pool = MakePool(replicas);
    order.messages = R"([{"role":"user","content":"Ring"}])";
    order.max_tokens = max_tokens;
    order.deadline = clock.now + std::chrono::minutes(2);
  }

  void Run(std::size_t customers = 1) {
    asio::io_context context;
    sinks.resize(customers);
    results.resize(customers);
    for (std::size_t i = 0; i < customers; ++i) {
      sinks[i].clock = &clock;
      asio::co_spawn(context, RunOne(i), asio::detached);
    }
    context.run();
  }

  asio::awaitable<void> RunOne(std::size_t index) {
    AnswerOrder mine = order;
    mine.request = RequestId("request-" + std::to_string(index));
    AnswerDriver driver(engine, endpoints, clock, limits);
    results[index] = co_await driver.Run(mine, sinks[index]);
  }

  [[nodiscard]] bool Ran(std::size_t index) const {
    const std::string id = "request-" + std::to_string(index);
    return std::any_of(
        engine.ran.begin(), engine.ran.end(),
        [&](const auto& step) { return std::get<0>(step.first) == id; });
  }

  /// The oracle: what does not hold.
  [[nodiscard]] std::string Broken() const {
    for (const auto& [step, count] : engine.ran) {
      if (count != 1) {
        return "a layer ran twice for one attempt and position";
      }
    }
    const auto whole =
        FakeModel::Answer(order.messages, kLayers, order.max_tokens);
    std::uint32_t ends = 0;
    for (std::size_t i = 0; i < sinks.size(); ++i) {
      const auto& tokens = sinks[i].tokens;
      if (tokens.size() > whole.size() ||
          !std::equal(tokens.begin(), tokens.end(), whole.begin())) {
        return "tokens differ from the model's answer";
      }
      if (!results[i]) {
        continue;
      }
      if (*results[i]) {
        ++ends;
        if (tokens.size() != whole.size()) {
          return "a part was called whole";
        }
      } else if (results[i]->error().outcome == Outcome::kNotRun && Ran(i)) {
        return "said not run, but it ran";
      }
    }
    return ends == engine.ends ? "nothing" : "whole without an end marker";
  }

  [[nodiscard]] bool IsWhole(std::size_t index) const {
    return results[index] && results[index]->has_value();
  }
};

const std::vector<EngineFault> kFaults = {
    EngineFault::kConnectionRefused, EngineFault::kRefused,
    EngineFault::kLayerRangeChanged, EngineFault::kReset,
    EngineFault::kStalled,           EngineFault::kStageFailed,
    EngineFault::kGarbage,           EngineFault::kDoubled,
    EngineFault::kCrossed,           EngineFault::kLate,
    EngineFault::kLateForEver,       EngineFault::kSkipped,
    EngineFault::kTooMany,           EngineFault::kEndMissing,
    EngineFault::kEndMiscounted};

TEST_CASE("one failure at any call leaves the answer whole") {
  constexpr std::uint32_t kTokens = 12;
  for (const EngineFault fault : kFaults) {
    for (std::uint32_t call = 0; call < kTokens + 2; ++call) {
      World world(kTokens);
      world.engine.faults[call] = fault;
      world.Run(1);
      INFO("fault " << static_cast<int>(fault) << " at call " << call);
      REQUIRE(world.Broken() == "nothing");
      REQUIRE(world.IsWhole(0));
    }
  }
}

TEST_CASE("failures in any number never spoil an answer") {
  REQUIRE(rc::check("tokens are the model's, whole only with the end", [] {
    World world(*rc::gen::inRange<std::uint32_t>(1, 25));
    const auto faults =
        *rc::gen::container<std::vector<std::pair<std::uint32_t, EngineFault>>>(
            rc::gen::pair(rc::gen::inRange<std::uint32_t>(0, 40),
                          rc::gen::elementOf(kFaults)));
    world.engine.faults.insert(faults.begin(), faults.end());
    for (const char* name : {"a0", "a3", "b1", "c2"}) {
      if (*rc::gen::arbitrary<bool>()) {
        world.engine.slow.insert(EndpointId(name));
      }
    }
    const auto time = *rc::gen::inRange(1, 5'000);
    world.order.deadline = world.clock.now + milliseconds(time);
    world.limits.attempts = *rc::gen::inRange<std::uint32_t>(1, 8);
    const auto customers = *rc::gen::inRange<std::size_t>(1, 4);
    world.Run(customers);
    RC_ASSERT(world.Broken() == "nothing");
    if (customers == 1) {
      RC_ASSERT(world.clock.now <= world.order.deadline);
    }
  }));
}

TEST_CASE("every wait ends with the request's time") {
  World world(10);
  world.order.deadline = world.clock.now + milliseconds(40);
  SECTION("at the opening") {
    world.engine.faults[0] = EngineFault::kStalled;
  }
  SECTION("at the first token") {
    world.engine.faults[1] = EngineFault::kStalled;
  }
  SECTION("between tokens") {
    world.engine.faults[3] = EngineFault::kStalled;
  }
  world.Run();
  REQUIRE(world.clock.now <= world.order.deadline);
  REQUIRE(world.results[0]->error().code == Errc::kDeadlineExceeded);
  REQUIRE(world.results[0]->error().outcome == Outcome::kUnknown);
  // Time that is short blames no endpoint.
  const auto loads = world.endpoints.Snapshot(world.clock.now);
  REQUIRE_FALSE(loads.LoadOf(EndpointId("a0")).is_suspected);
}

TEST_CASE("what is known of several attempts") {
  World world(4);
  world.limits.attempts = 2;
  SECTION("all refused: not run, and when to come back") {
    world.engine.faults = {{0, EngineFault::kRefused},
                           {1, EngineFault::kConnectionRefused}};
    world.Run();
    REQUIRE(world.results[0]->error().outcome == Outcome::kNotRun);
    REQUIRE(world.results[0]->error().retry_after.has_value());
  }
  SECTION("one lost, then refused: unknown") {
    world.engine.faults = {{0, EngineFault::kReset},
                           {1, EngineFault::kRefused}};
    world.Run();
    REQUIRE(world.results[0]->error().outcome == Outcome::kUnknown);
    REQUIRE(world.results[0]->error().retry_after.has_value());
  }
  SECTION("one failed, then refused: failed") {
    world.engine.faults = {{1, EngineFault::kStageFailed},
                           {2, EngineFault::kRefused}};
    world.Run();
    REQUIRE(world.results[0]->error().outcome == Outcome::kFailed);
  }
}

TEST_CASE("a failure on every fifth call does not end a long answer") {
  World world(60);
  for (std::uint32_t call = 4; call < 400; call += 5) {
    world.engine.faults[call] = EngineFault::kLate;
    world.engine.faults[call + 1] = EngineFault::kGarbage;
  }
  world.Run();
  REQUIRE(world.Broken() == "nothing");
  REQUIRE(world.IsWhole(0));
}

TEST_CASE("a stall blames no stage in particular") {
  World world(10, {"a", "b"});
  world.engine.faults[4] = EngineFault::kStalled;
  world.Run();
  REQUIRE(world.IsWhole(0));
  REQUIRE(world.engine.opened.size() == 2);
  for (std::size_t i = 0; i < kStages; ++i) {
    REQUIRE(world.engine.opened[0].chain[i].endpoint !=
            world.engine.opened[1].chain[i].endpoint);
  }
  const auto loads = world.endpoints.Snapshot(world.clock.now);
  REQUIRE_FALSE(
      loads.LoadOf(world.engine.opened[0].chain[0].endpoint).is_suspected);
}

TEST_CASE("a stream moves away from a chain that has become slow") {
  World world(200, {"a", "b"});
  world.Run();
  REQUIRE(world.engine.opened.size() == 1);
  const Chain first = world.engine.opened[0].chain;

  World slowed(200, {"a", "b"});
  bool has_slowed = false;
  slowed.sinks.resize(1);
  slowed.sinks[0].on_token = [&](std::size_t count) {
    if (count == 100) {
      has_slowed = true;
      slowed.engine.slow = {first[2].endpoint};
    }
  };
  SECTION("another chain is there") {
    slowed.Run();
    REQUIRE(slowed.Broken() == "nothing");
    REQUIRE(slowed.IsWhole(0));
    REQUIRE(slowed.engine.opened.size() == 2);
    // Within 2 s, and without a verdict that takes it out of service.
    REQUIRE(slowed.sinks[0].times[110] - slowed.sinks[0].times[99] <
            std::chrono::seconds(2));
    const auto loads = slowed.endpoints.Snapshot(slowed.clock.now);
    REQUIRE_FALSE(loads.LoadOf(first[2].endpoint).is_suspected);
  }
  SECTION("no other chain is there: it stays") {
    slowed.order.pool = MakePool({"a"});
    slowed.engine.slow.clear();
    slowed.Run();
    REQUIRE(slowed.IsWhole(0));
    REQUIRE(slowed.engine.opened.size() == 1);
  }
  REQUIRE(has_slowed);
}

TEST_CASE("a pool that is slow as a whole is waited for") {
  World world(20, {"a", "b"});
  world.engine.pace = milliseconds(2'500);
  world.Run();
  REQUIRE(world.IsWhole(0));
}

TEST_CASE("a range that has changed is planned afresh") {
  World world(8, {"a"});
  world.engine.faults[0] = EngineFault::kLayerRangeChanged;
  v1::Pool changed = MakePool({"a"});
  changed.mutable_endpoints(2)->set_end_layer(8);
  changed.mutable_endpoints(3)->set_first_layer(8);
  world.order.current_pool = [&] { return changed; };
  world.Run();
  REQUIRE(world.Broken() == "nothing");
  REQUIRE(world.IsWhole(0));
  REQUIRE(world.engine.opened[1].chain[3].layers == LayerRange{8, 12});
}

TEST_CASE("a sink that breaks leaves nothing counted") {
  World world(10);
  asio::io_context context;
  world.sinks.resize(1);
  world.sinks[0].clock = &world.clock;
  world.sinks[0].breaks_at = 3;
  world.results.resize(1);
  bool broke = false;
  asio::co_spawn(
      context, world.RunOne(0),
      [&](const std::exception_ptr& error) { broke = error != nullptr; });
  context.run();
  REQUIRE(broke);
  for (const auto& endpoint : world.order.pool.endpoints()) {
    const auto loads = world.endpoints.Snapshot(world.clock.now);
    REQUIRE(loads.LoadOf(EndpointId(endpoint.name())).in_flight == 0);
  }
}

}  // namespace
}  // namespace sycamoreford
