// The model of the endpoints: what it says of passes, memory and faults, and
// what callers get from the router's decisions on installations drawn at
// random.
#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

#include "fleet_model.h"
#include "policies.h"
#include "upper_bound.h"

namespace sycamoreford::model {
namespace {

using std::chrono::milliseconds;

/// One large card that holds a small model whole, and costs without rests.
Scenario OneCard() {
  Scenario scenario;
  scenario.name = "one-card";
  scenario.engine.layers = 10;
  scenario.engine.layer_mb = 1'000;
  scenario.engine.kv_bytes_per_token = 1'000'000;
  scenario.engine.slots = 4;
  scenario.engine.decode_step_time =
      std::chrono::duration<double, std::milli>(2);
  scenario.engine.load_time = std::chrono::duration<double>(1);
  scenario.engine.kinds["large"] = {.memory_mb = 11'000, .decode_factor = 3};
  scenario.costs.per_writer = {};
  scenario.costs.per_thousand_context = {};
  scenario.costs.per_million_pairs = {};
  scenario.costs.read_per_second = 100'000;
  scenario.costs.stride = 2;
  scenario.requests.push_back(
      {.name = "only", .prompt = {100, 0, 100}, .answer = {9, 0, 9}});
  scenario.data_centres.push_back(
      {.name = "north", .requests_per_second = 1, .cards = {{"large", 2}}});
  return scenario;
}

/// A chain over all layers, or over two cards.
Chain ChainOf(const std::vector<std::string>& ids) {
  Chain chain;
  const auto part = static_cast<std::uint32_t>(10 / ids.size());
  for (std::uint32_t i = 0; i < ids.size(); ++i) {
    ChainStage stage;
    stage.endpoint = EndpointId(ids[i]);
    stage.address = ids[i];
    stage.layers = {i * part, (i + 1) * part};
    chain.push_back(stage);
  }
  return chain;
}

/// Endpoints with layers loaded, and what they told of the streams.
struct Stand {
  explicit Stand(const Scenario& given) : scenario(given) {
    fleet.SetWatcher(
        {.on_event = [this](const StreamPtr&) { events.push_back(At()); },
         .on_done = [this](const StreamPtr&) { ++done; },
         .on_refused =
             [this](const StreamPtr&, const std::string& at) {
               ++refused;
               fault = at;
             },
         .on_broken = [this](const StreamPtr&) { broken_at = At(); }});
  }

  void Load(const std::string& id, LayerRange layers) {
    REQUIRE(fleet.Place(id, layers, [] {}));
    Run(milliseconds(2'000));
    begin = queue.Now();
  }
  void Run(milliseconds time) { queue.RunUntil(queue.Now() + time); }
  [[nodiscard]] double At() const {
    return std::chrono::duration<double, std::milli>(queue.Now() - begin)
        .count();
  }

  Scenario scenario;
  EventQueue queue;
  FleetModel fleet{scenario, queue};
  TimePoint begin{};
  std::vector<double> events;
  std::uint32_t done = 0;
  std::uint32_t refused = 0;
  std::string fault;
  double broken_at = 0;
};

const std::string kFirst = "north/large-0";
const std::string kSecond = "north/large-1";

TEST_CASE("endpoints process work in passes", "[model]") {
  GIVEN("a card that holds all layers") {
    Stand stand(OneCard());
    stand.Load(kFirst, {0, 10});
    WHEN("a prompt of 100 tokens asks for 9") {
      stand.fleet.Send({.chain = ChainOf({kFirst}),
                        .prompt_tokens = 100,
                        .answer_tokens = 9});
      stand.Run(milliseconds(200));
      THEN("reading takes a step and 1 ms, each event two steps of 6 ms") {
        REQUIRE(stand.events.size() == 5);
        CHECK(stand.events[0] == Approx(6 + 1));
        CHECK(stand.events[1] == Approx(7 + 12));
        CHECK(stand.events[4] == Approx(7 + 4 * 12));
        CHECK(stand.done == 1);
      }
    }
    WHEN("the card is three times as slow") {
      stand.fleet.SetSlowness(kFirst, 3);
      stand.fleet.Send({.chain = ChainOf({kFirst}),
                        .prompt_tokens = 100,
                        .answer_tokens = 9});
      stand.Run(milliseconds(400));
      THEN("so is each pass") {
        CHECK(stand.events[1] - stand.events[0] == Approx(36));
      }
    }
    WHEN("more requests come than it has slots and places to wait") {
      for (int i = 0; i < 4 + 96 + 1; ++i) {
        stand.fleet.Send({.chain = ChainOf({kFirst}),
                          .prompt_tokens = 1,
                          .answer_tokens = 3});
        stand.Run(milliseconds(0));
      }
      stand.Run(milliseconds(5'000));
      THEN("the last is refused and the others end") {
        CHECK(stand.refused == 1);
        CHECK(stand.done == 100);
      }
    }
  }
  GIVEN("two cards that hold a half each") {
    Stand stand(OneCard());
    stand.Load(kFirst, {0, 5});
    stand.Load(kSecond, {5, 10});
    WHEN("a request passes both") {
      stand.fleet.Send({.chain = ChainOf({kFirst, kSecond}),
                        .prompt_tokens = 100,
                        .answer_tokens = 5});
      stand.Run(milliseconds(200));
      THEN("its events take as long as on one") {
        REQUIRE(stand.events.size() == 3);
        CHECK(stand.events[2] - stand.events[1] == Approx(12));
      }
    }
    WHEN("a request asks the first for layers that it lacks") {
      stand.fleet.Send({.chain = ChainOf({kFirst}),
                        .prompt_tokens = 100,
                        .answer_tokens = 5});
      stand.Run(milliseconds(10));
      THEN("it is refused") {
        CHECK(stand.refused == 1);
      }
    }
  }
}

TEST_CASE("memory runs out", "[model]") {
  GIVEN("a card with room for 1,000 tokens beside its layers") {
    Stand stand(OneCard());
    stand.Load(kFirst, {0, 10});
    WHEN("two prompts fit and their answers do not") {
      for (int i = 0; i < 2; ++i) {
        stand.fleet.Send({.chain = ChainOf({kFirst}),
                          .prompt_tokens = 480,
                          .answer_tokens = 60});
      }
      stand.Run(milliseconds(3'000));
      THEN("the newer one is read again and both end") {
        CHECK(stand.fleet.preemptions() >= 1);
        CHECK(stand.done == 2);
        CHECK(stand.fleet.endpoints().at(kFirst)->taken_mb() == 0);
      }
    }
    WHEN("a prompt does not fit") {
      stand.fleet.Send({.chain = ChainOf({kFirst}),
                        .prompt_tokens = 1'001,
                        .answer_tokens = 5});
      stand.Run(milliseconds(10));
      THEN("it is refused") {
        CHECK(stand.refused == 1);
      }
    }
    WHEN("it is ordered to hold more than its memory") {
      Scenario scenario = OneCard();
      scenario.engine.layers = 20;
      Stand crammed(scenario);
      REQUIRE(crammed.fleet.Place(kFirst, {0, 12}, [] {}));
      THEN("it crashes") {
        CHECK(crammed.fleet.overfilled() == 1);
        CHECK_FALSE(crammed.fleet.endpoints().at(kFirst)->is_alive());
      }
    }
  }
}

TEST_CASE("a card is lost under a stream", "[model]") {
  GIVEN("a stream over two cards") {
    Stand stand(OneCard());
    stand.Load(kFirst, {0, 5});
    stand.Load(kSecond, {5, 10});
    const Chain chain = ChainOf({kFirst, kSecond});
    stand.fleet.Send(
        {.chain = chain, .prompt_tokens = 100, .answer_tokens = 200});
    stand.Run(milliseconds(50));
    WHEN("the second crashes") {
      stand.fleet.Crash(kSecond);
      THEN("the stream stalls and is then cut off") {
        stand.Run(milliseconds(1'900));
        CHECK(stand.broken_at == 0);
        stand.Run(milliseconds(200));
        CHECK(stand.broken_at == Approx(2'050));
      }
      AND_WHEN("another request is sent") {
        stand.fleet.Send(
            {.chain = chain, .prompt_tokens = 100, .answer_tokens = 5});
        stand.Run(milliseconds(2'100));
        THEN("it is refused, and the card is named") {
          CHECK(stand.refused == 1);
          CHECK(stand.fault == kSecond);
        }
      }
    }
    WHEN("the first crashes") {
      stand.fleet.Crash(kFirst);
      stand.Run(milliseconds(10));
      THEN("the connection is reset") {
        CHECK(stand.broken_at > 0);
      }
    }
    WHEN("the second goes dark and comes back") {
      stand.fleet.SetDark(kSecond, true);
      stand.Run(milliseconds(2'500));
      stand.fleet.SetDark(kSecond, false);
      THEN("the stream is cut off and the layers are still there") {
        CHECK(stand.broken_at > 0);
        CHECK(stand.fleet.endpoints().at(kSecond)->layers() ==
              LayerRange{5, 10});
      }
    }
  }
}

TEST_CASE("scenarios are read", "[model]") {
  GIVEN("the scenarios of the tool") {
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
  GIVEN("a text that is no scenario") {
    const auto where = [](const std::string& text) {
      const auto scenario = Scenario::Parse(text);
      REQUIRE_FALSE(scenario.has_value());
      CHECK(scenario.error().code == Errc::kMalformed);
      return scenario.error().where;
    };
    THEN("the error says what and where") {
      CHECK(where("{").starts_with("no JSON"));
      CHECK(where("{}") == "name: expected a text");
      CHECK(where(R"({"name": "x", "engine": {"layers": 0}})")
                .starts_with("engine.layers: expected a number"));
      CHECK(where(R"({"name": "x", "engine": {"layers": 8, "layer_mb": 1,
                      "token_bytes": 1, "step_ms": 1, "load_s": 1},
                      "faults": [{"kind": "flood"}]})")
                .starts_with("faults[0].kind: expected crash"));
    }
  }
}

Scenario MixedThree(const char* file, double load) {
  std::ifstream stream(std::string(MODEL_SCENARIOS) + "/" + file);
  std::ostringstream text;
  text << stream.rdbuf();
  Scenario scenario = Scenario::Parse(text.str()).value();
  for (DataCentreSpec& data_centre : scenario.data_centres) {
    data_centre.requests_per_second *= load;
  }
  return scenario;
}

TEST_CASE("callers are served as well as the cards allow", "[model]") {
  GIVEN("three data centres without faults") {
    std::map<double, double> goodput;
    for (const double load : {1.0, 1.25, 1.5}) {
      const Scenario scenario = MixedThree("mixed_three.json", load);
      goodput[load] =
          Play("product", scenario, 1)->payoff * scenario.requests_per_second();
    }
    THEN("the offered load is served to nine tenths of what is possible") {
      const Scenario scenario = MixedThree("mixed_three.json", 1);
      const double offered = scenario.requests_per_second();
      CHECK(goodput[1.0] >= 0.9 * std::min(offered, UpperBound(scenario)));
    }
    THEN("half as much again does not lower what is served") {
      const double peak = std::max(goodput[1.0], goodput[1.25]);
      CHECK(goodput[1.5] >= 0.95 * peak);
    }
  }
  GIVEN("cards that crash, vanish, turn slow and go dark under a burst") {
    const Scenario scenario = MixedThree("mixed_three_faults.json", 1);
    double product = 0;
    double one_chain = 0;
    double pairs = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      product += Play("product", scenario, seed)->payoff;
      one_chain += Play("one_chain", scenario, seed)->payoff;
      pairs += Play("pairs", scenario, seed)->payoff;
    }
    THEN("callers get more than from the baselines") {
      CHECK(product > one_chain);
      CHECK(product > pairs);
    }
  }
}

TEST_CASE("installations drawn at random are served", "[model]") {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    const Scenario scenario = Scenario::Draw(seed);
    const auto product = Play("product", scenario, seed);
    const auto baseline = Play("one_chain", scenario, seed);
    INFO(scenario.name);
    CHECK(product->overfilled == 0);
    CHECK(product->payoff >= baseline->payoff);
    CHECK(product->served * scenario.requests_per_second() <=
          UpperBound(scenario));
  }
}

TEST_CASE("a day is the same each time", "[model]") {
  const Scenario scenario = Scenario::Draw(6);
  const auto one = Play("product", scenario, 3);
  const auto other = Play("product", scenario, 3);
  CHECK(one->requests == other->requests);
  CHECK(one->payoff == other->payoff);
  CHECK(one->resumes == other->resumes);
  CHECK_FALSE(Play("no such policy", scenario, 3).has_value());
}

}  // namespace
}  // namespace sycamoreford::model
