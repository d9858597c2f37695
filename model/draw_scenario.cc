#include <algorithm>
#include <random>

#include "scenario.h"
#include "upper_bound.h"

namespace sycamoreford::model {
namespace {

/// Load of a drawn scenario as a share of its upper bound.
constexpr double kLeastLoad = 0.04;
constexpr double kMostLoad = 0.12;
/// Memory of the cards over that of the model, in each data centre.
constexpr double kLeastCopies = 1.6;
constexpr double kMostCopies = 3.5;

using Random = std::mt19937_64;

double Between(Random& random, double least, double most) {
  return std::uniform_real_distribution<double>(least, most)(random);
}

std::uint32_t Whole(Random& random, std::uint32_t least, std::uint32_t most) {
  return std::uniform_int_distribution<std::uint32_t>(least, most)(random);
}

EngineProfile DrawEngine(Random& random) {
  EngineProfile engine;
  engine.model = "drawn";
  engine.layers = Whole(random, 32, 96);
  engine.layer_mb = Between(random, 600, 2'500);
  engine.kv_bytes_per_token = Between(random, 300'000, 1'000'000);
  engine.slots = Whole(random, 96, 256);
  engine.decode_step_time =
      std::chrono::duration<double, std::milli>(Between(random, 0.5, 1.2));
  engine.load_time = std::chrono::duration<double>(Between(random, 8, 20));
  engine.kinds["large"] = {Between(random, 60'000, 100'000),
                           Between(random, 1.5, 3), Between(random, 2, 4)};
  engine.kinds["medium"] = {Between(random, 35'000, 50'000),
                            Between(random, 4, 7), Between(random, 2, 4)};
  engine.kinds["small"] = {Between(random, 16'000, 26'000),
                           Between(random, 9, 16), Between(random, 6, 9)};
  return engine;
}

void DrawCards(Random& random,
               const EngineProfile& engine,
               DataCentreSpec& data_centre) {
  const double wanted = engine.layers * engine.layer_mb *
                        Between(random, kLeastCopies, kMostCopies);
  static const std::vector<std::string> kNames = {"large", "medium", "medium",
                                                  "small"};
  for (double memory = 0; memory < wanted;) {
    const std::string& name = kNames[Whole(random, 0, kNames.size() - 1)];
    ++data_centre.cards[name];
    memory += engine.kinds.at(name).memory_mb;
  }
}

Fault DrawFault(Random& random, std::chrono::milliseconds length) {
  Fault fault;
  fault.kind = static_cast<Fault::Kind>(Whole(random, 0, 4));
  fault.at = std::chrono::milliseconds(
      Whole(random, 2'000, static_cast<std::uint32_t>(length.count()) * 2 / 3));
  fault.length = std::chrono::milliseconds(Whole(random, 3'000, 8'000));
  fault.share = Between(random, 0.03, 0.15);
  fault.factor = fault.kind == Fault::Kind::kBurst ? Between(random, 1.2, 1.7)
                                                   : Between(random, 2, 8);
  return fault;
}

}  // namespace

Scenario Scenario::Draw(std::uint64_t seed) {
  Random random(seed);
  Scenario scenario;
  scenario.name = "drawn-" + std::to_string(seed);
  scenario.engine = DrawEngine(random);
  scenario.costs.stride = Whole(random, 1, 5);
  scenario.costs.read_per_second = Between(random, 60'000, 180'000);
  const std::uint32_t kinds = Whole(random, 1, 3);
  for (std::uint32_t i = 0; i < kinds; ++i) {
    RequestKind kind;
    kind.name = "kind-" + std::to_string(i);
    kind.share = Between(random, 0.2, 1);
    const double prompt = Between(random, 200, 900);
    const double answer = Between(random, 80, 260);
    kind.prompt = {prompt, Between(random, 0, 1), prompt * 3};
    kind.answer = {answer, Between(random, 0, 0.9), answer * 3.5};
    scenario.requests.push_back(kind);
  }
  const std::uint32_t data_centres = Whole(random, 2, 4);
  for (std::uint32_t i = 0; i < data_centres; ++i) {
    DataCentreSpec data_centre;
    data_centre.name = "dc-" + std::to_string(i);
    data_centre.daemons = Whole(random, 2, 4);
    DrawCards(random, scenario.engine, data_centre);
    scenario.data_centres.push_back(data_centre);
  }
  const double load =
      UpperBound(scenario) * Between(random, kLeastLoad, kMostLoad);
  for (DataCentreSpec& data_centre : scenario.data_centres) {
    data_centre.requests_per_second = load / data_centres;
  }
  const std::uint32_t faults = Whole(random, 0, 3);
  for (std::uint32_t i = 0; i < faults; ++i) {
    scenario.faults.push_back(DrawFault(random, scenario.length));
  }
  scenario.retries = {.ratio = 0.2, .extra = load * 2};
  scenario.SetUsualTokens();
  return scenario;
}

}  // namespace sycamoreford::model
