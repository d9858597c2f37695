// Tests the simulation of the endpoints: passes, memory and faults, and the
// results of the router's decisions on given and on random scenarios.
#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "fleet_model.h"
#include "run_scenario.h"
#include "upper_bound.h"

namespace sycamoreford::model {
namespace {

using std::chrono::milliseconds;

/// Two large accelerators, each with room for a small model, and costs that
/// give round times.
Scenario SmallModelScenario() {
  Scenario scenario;
  scenario.name = "small-model";
  scenario.engine.layers = 10;
  scenario.engine.layer_mb = 1'000;
  scenario.engine.kv_bytes_per_token = 1'000'000;
  scenario.engine.slots = 4;
  scenario.engine.decode_step_time =
      std::chrono::duration<double, std::milli>(2);
  scenario.engine.load_time = std::chrono::duration<double>(1);
  scenario.engine.kinds["large"] = {.memory_mb = 11'000, .decode_factor = 3};
  scenario.costs.per_decoding_request = {};
  scenario.costs.per_thousand_context_tokens = {};
  scenario.costs.per_million_attention_pairs = {};
  scenario.costs.prefill_tokens_per_second = 100'000;
  scenario.costs.decode_steps_per_pass = 2;
  scenario.requests.push_back(
      {.name = "only", .prompt = {100, 0, 100}, .output = {9, 0, 9}});
  scenario.data_centres.push_back({.name = "north",
                                   .requests_per_second = 1,
                                   .accelerators = {{"large", 2}}});
  return scenario;
}

/// A chain that divides all layers evenly over one or two endpoints.
Chain ChainOf(const std::vector<std::string>& ids) {
  Chain chain;
  const auto layers_per_stage = static_cast<std::uint32_t>(10 / ids.size());
  for (std::uint32_t i = 0; i < ids.size(); ++i) {
    ChainStage stage;
    stage.endpoint = EndpointId(ids[i]);
    stage.address = ids[i];
    stage.layers = {i * layers_per_stage, (i + 1) * layers_per_stage};
    chain.push_back(stage);
  }
  return chain;
}

/// Simulated endpoints and a record of the callbacks for their streams.
struct FleetFixture {
  explicit FleetFixture(const Scenario& initial_scenario)
      : scenario(initial_scenario) {
    fleet.SetObserver(
        {.on_event =
             [this](const StreamPtr&) { events.push_back(ElapsedMs()); },
         .on_done = [this](const StreamPtr&) { ++done; },
         .on_refused =
             [this](const StreamPtr&, const std::string& at) {
               ++refused;
               faulty_endpoint = at;
             },
         .on_broken = [this](const StreamPtr&) { broken_at = ElapsedMs(); }});
  }

  void Load(const std::string& id, LayerRange layers) {
    REQUIRE(fleet.OrderLayers(id, layers, [] {}));
    Run(milliseconds(2'000));
    start = queue.Now();
  }
  void Run(milliseconds time) { queue.RunUntil(queue.Now() + time); }
  [[nodiscard]] double ElapsedMs() const {
    return std::chrono::duration<double, std::milli>(queue.Now() - start)
        .count();
  }

  Scenario scenario;
  EventQueue queue;
  FleetModel fleet{scenario, queue};
  TimePoint start{};
  std::vector<double> events;
  std::uint32_t done = 0;
  std::uint32_t refused = 0;
  std::string faulty_endpoint;
  double broken_at = 0;
};

const std::string kFirst = "north/large-0";
const std::string kSecond = "north/large-1";

TEST_CASE("endpoints process work in passes", "[model]") {
  GIVEN("an accelerator that holds all layers") {
    FleetFixture fixture(SmallModelScenario());
    fixture.Load(kFirst, {0, 10});
    WHEN("a request has 100 prompt tokens and 9 output tokens") {
      fixture.fleet.Send({.chain = ChainOf({kFirst}),
                          .prompt_tokens = 100,
                          .output_tokens = 9});
      fixture.Run(milliseconds(200));
      THEN("prefill takes a step and 1 ms, each event two steps of 6 ms") {
        REQUIRE(fixture.events.size() == 5);
        CHECK(fixture.events[0] == Approx(6 + 1));
        CHECK(fixture.events[1] == Approx(7 + 12));
        CHECK(fixture.events[4] == Approx(7 + 4 * 12));
        CHECK(fixture.done == 1);
      }
    }
    WHEN("the accelerator is three times as slow") {
      fixture.fleet.SetSlowness(kFirst, 3);
      fixture.fleet.Send({.chain = ChainOf({kFirst}),
                          .prompt_tokens = 100,
                          .output_tokens = 9});
      fixture.Run(milliseconds(400));
      THEN("each pass takes three times as long") {
        CHECK(fixture.events[1] - fixture.events[0] == Approx(36));
      }
    }
    WHEN("more requests arrive than fit its slots and its queue") {
      for (int i = 0; i < 4 + 96 + 1; ++i) {
        fixture.fleet.Send({.chain = ChainOf({kFirst}),
                            .prompt_tokens = 1,
                            .output_tokens = 3});
        fixture.Run(milliseconds(0));
      }
      fixture.Run(milliseconds(5'000));
      THEN("the last is refused and the others complete") {
        CHECK(fixture.refused == 1);
        CHECK(fixture.done == 100);
      }
    }
  }
  GIVEN("two accelerators that hold half of the layers each") {
    FleetFixture fixture(SmallModelScenario());
    fixture.Load(kFirst, {0, 5});
    fixture.Load(kSecond, {5, 10});
    WHEN("a request uses both") {
      fixture.fleet.Send({.chain = ChainOf({kFirst, kSecond}),
                          .prompt_tokens = 100,
                          .output_tokens = 5});
      fixture.Run(milliseconds(200));
      THEN("its events take as long as on one accelerator") {
        REQUIRE(fixture.events.size() == 3);
        CHECK(fixture.events[2] - fixture.events[1] == Approx(12));
      }
    }
    WHEN("a request needs layers that the first does not hold") {
      fixture.fleet.Send({.chain = ChainOf({kFirst}),
                          .prompt_tokens = 100,
                          .output_tokens = 5});
      fixture.Run(milliseconds(10));
      THEN("it is refused") {
        CHECK(fixture.refused == 1);
      }
    }
  }
}

TEST_CASE("requests exceed the memory of an endpoint", "[model]") {
  GIVEN("an accelerator with memory for 1,000 tokens beside its layers") {
    FleetFixture fixture(SmallModelScenario());
    fixture.Load(kFirst, {0, 10});
    WHEN("two prompts fit but their outputs do not") {
      for (int i = 0; i < 2; ++i) {
        fixture.fleet.Send({.chain = ChainOf({kFirst}),
                            .prompt_tokens = 480,
                            .output_tokens = 60});
      }
      fixture.Run(milliseconds(3'000));
      THEN("the newer one is preempted and both complete") {
        CHECK(fixture.fleet.preemptions() >= 1);
        CHECK(fixture.done == 2);
        CHECK(fixture.fleet.endpoints().at(kFirst)->used_request_memory_mb() ==
              0);
      }
    }
    WHEN("a prompt does not fit") {
      fixture.fleet.Send({.chain = ChainOf({kFirst}),
                          .prompt_tokens = 1'001,
                          .output_tokens = 5});
      fixture.Run(milliseconds(10));
      THEN("it is refused") {
        CHECK(fixture.refused == 1);
      }
    }
    WHEN("it is ordered to hold more layers than fit its memory") {
      Scenario scenario = SmallModelScenario();
      scenario.engine.layers = 20;
      FleetFixture overcommitted(scenario);
      REQUIRE(overcommitted.fleet.OrderLayers(kFirst, {0, 12}, [] {}));
      THEN("it crashes") {
        CHECK(overcommitted.fleet.overcommitted_orders() == 1);
        CHECK_FALSE(overcommitted.fleet.endpoints().at(kFirst)->is_alive());
      }
    }
  }
}

TEST_CASE("an endpoint of a running stream is lost", "[model]") {
  GIVEN("a stream over two accelerators") {
    FleetFixture fixture(SmallModelScenario());
    fixture.Load(kFirst, {0, 5});
    fixture.Load(kSecond, {5, 10});
    const Chain chain = ChainOf({kFirst, kSecond});
    fixture.fleet.Send(
        {.chain = chain, .prompt_tokens = 100, .output_tokens = 200});
    fixture.Run(milliseconds(50));
    WHEN("the second crashes") {
      fixture.fleet.Crash(kSecond);
      THEN("the stream stalls and is then cut off") {
        fixture.Run(milliseconds(1'900));
        CHECK(fixture.broken_at == 0);
        fixture.Run(milliseconds(200));
        CHECK(fixture.broken_at == Approx(2'050));
      }
      AND_WHEN("another request is sent") {
        fixture.fleet.Send(
            {.chain = chain, .prompt_tokens = 100, .output_tokens = 5});
        fixture.Run(milliseconds(2'100));
        THEN("it is refused and the faulty endpoint is named") {
          CHECK(fixture.refused == 1);
          CHECK(fixture.faulty_endpoint == kSecond);
        }
      }
    }
    WHEN("the first crashes") {
      fixture.fleet.Crash(kFirst);
      fixture.Run(milliseconds(10));
      THEN("the connection is reset") {
        CHECK(fixture.broken_at > 0);
      }
    }
    WHEN("the second stops responding for a while") {
      fixture.fleet.SetUnresponsive(kSecond, true);
      fixture.Run(milliseconds(2'500));
      fixture.fleet.SetUnresponsive(kSecond, false);
      THEN("the stream is cut off and the layers are still there") {
        CHECK(fixture.broken_at > 0);
        CHECK(fixture.fleet.endpoints().at(kSecond)->layers() ==
              LayerRange{5, 10});
      }
    }
  }
}

TEST_CASE("parsing scenarios", "[model]") {
  GIVEN("the scenario files of the tool") {
    for (const char* file : {"mixed_three.json", "mixed_three_faults.json"}) {
      std::ifstream stream(std::string(MODEL_SCENARIOS) + "/" + file);
      std::ostringstream text;
      text << stream.rdbuf();
      const auto scenario = Scenario::Parse(text.str());
      REQUIRE(scenario.has_value());
      CHECK(scenario->engine.kinds.size() == 3);
      CHECK(scenario->requests_per_second() == Approx(80));
    }
  }
  GIVEN("text that is not a valid scenario") {
    const auto where = [](const std::string& text) {
      const auto scenario = Scenario::Parse(text);
      REQUIRE_FALSE(scenario.has_value());
      CHECK(scenario.error().code == Errc::kMalformed);
      return scenario.error().where;
    };
    THEN("the error names the field and the expected value") {
      CHECK(where("{").starts_with("not JSON"));
      CHECK(where("{}") == "name: expected a string");
      CHECK(where(R"({"name": "x", "engine": {"layers": 0}})")
                .starts_with("engine.layers: expected a number"));
      CHECK(where(R"({"name": "x", "engine": {"layers": 8, "layer_mb": 1,
                      "token_bytes": 1, "step_ms": 1, "load_s": 1},
                      "faults": [{"kind": "flood"}]})")
                .starts_with("faults[0].kind: expected crash"));
    }
  }
}

Scenario ScenarioFromFile(const char* file, double load) {
  std::ifstream stream(std::string(MODEL_SCENARIOS) + "/" + file);
  std::ostringstream text;
  text << stream.rdbuf();
  Scenario scenario = Scenario::Parse(text.str()).value();
  for (DataCentreSpec& data_centre : scenario.data_centres) {
    data_centre.requests_per_second *= load;
  }
  return scenario;
}

TEST_CASE("the router makes good use of the accelerators", "[model]") {
  GIVEN("three data centres without faults") {
    std::map<double, double> goodput;
    for (const double load : {1.0, 1.25, 1.5}) {
      const Scenario scenario = ScenarioFromFile("mixed_three.json", load);
      goodput[load] = RunScenario("product", scenario, 1)->payoff *
                      scenario.requests_per_second();
    }
    THEN("goodput is at least 90% of the lower of load and upper bound") {
      const Scenario scenario = ScenarioFromFile("mixed_three.json", 1);
      const double offered = scenario.requests_per_second();
      CHECK(goodput[1.0] >= 0.9 * std::min(offered, UpperBound(scenario)));
    }
    THEN("goodput at 1.5 times the load is at least 95% of its peak") {
      const double peak = std::max(goodput[1.0], goodput[1.25]);
      CHECK(goodput[1.5] >= 0.95 * peak);
    }
  }
  GIVEN("accelerators that crash, become slow or unresponsive, and a burst") {
    const Scenario scenario = ScenarioFromFile("mixed_three_faults.json", 1);
    double product = 0;
    double one_chain = 0;
    double pairs = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      product += RunScenario("product", scenario, seed)->payoff;
      one_chain += RunScenario("one_chain", scenario, seed)->payoff;
      pairs += RunScenario("pairs", scenario, seed)->payoff;
    }
    THEN("the payoff is higher than with the baseline policies") {
      CHECK(product > one_chain);
      CHECK(product > pairs);
    }
  }
}

TEST_CASE("random scenarios are served", "[model]") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    const Scenario scenario = Scenario::GenerateRandom(seed);
    const auto product = RunScenario("product", scenario, seed);
    const auto baseline = RunScenario("one_chain", scenario, seed);
    INFO(scenario.name);
    CHECK(product->overcommitted_orders == 0);
    CHECK(product->payoff >= baseline->payoff);
    CHECK(product->served * scenario.requests_per_second() <=
          UpperBound(scenario));
  }
}

TEST_CASE("equal seeds give equal results", "[model]") {
  const Scenario scenario = Scenario::GenerateRandom(6);
  const auto one = RunScenario("product", scenario, 3);
  const auto other = RunScenario("product", scenario, 3);
  CHECK(one->requests == other->requests);
  CHECK(one->payoff == other->payoff);
  CHECK(one->resumes == other->resumes);
  CHECK_FALSE(RunScenario("no such policy", scenario, 3).has_value());
}

}  // namespace
}  // namespace sycamoreford::model
