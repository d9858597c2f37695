#include <algorithm>
#include <random>

#include "scenario.h"
#include "upper_bound.h"

namespace sycamoreford::model {
namespace {

/// Load of a random scenario as a share of its upper bound.
constexpr double kMinLoad = 0.04;
constexpr double kMaxLoad = 0.12;
/// Accelerator memory of a data centre over the size of the model's layers.
constexpr double kMinModelCopies = 1.6;
constexpr double kMaxModelCopies = 3.5;

using Random = std::mt19937_64;

double UniformReal(Random& random, double min, double max) {
  return std::uniform_real_distribution<double>(min, max)(random);
}

std::uint32_t UniformInt(Random& random, std::uint32_t min, std::uint32_t max) {
  return std::uniform_int_distribution<std::uint32_t>(min, max)(random);
}

EngineProfile RandomEngine(Random& random) {
  EngineProfile engine;
  engine.model = "drawn";
  engine.layers = UniformInt(random, 32, 96);
  engine.layer_mb = UniformReal(random, 600, 2'500);
  engine.kv_bytes_per_token = UniformReal(random, 300'000, 1'000'000);
  engine.slots = UniformInt(random, 96, 256);
  engine.decode_step_time =
      std::chrono::duration<double, std::milli>(UniformReal(random, 0.5, 1.2));
  engine.load_time = std::chrono::duration<double>(UniformReal(random, 8, 20));
  engine.kinds["large"] = {UniformReal(random, 60'000, 100'000),
                           UniformReal(random, 1.5, 3),
                           UniformReal(random, 2, 4)};
  engine.kinds["medium"] = {UniformReal(random, 35'000, 50'000),
                            UniformReal(random, 4, 7),
                            UniformReal(random, 2, 4)};
  engine.kinds["small"] = {UniformReal(random, 16'000, 26'000),
                           UniformReal(random, 9, 16),
                           UniformReal(random, 6, 9)};
  return engine;
}

void AddRandomAccelerators(Random& random,
                           const EngineProfile& engine,
                           DataCentreSpec& data_centre) {
  const double wanted = engine.layers * engine.layer_mb *
                        UniformReal(random, kMinModelCopies, kMaxModelCopies);
  static const std::vector<std::string> kNames = {"large", "medium", "medium",
                                                  "small"};
  for (double memory = 0; memory < wanted;) {
    const std::string& name = kNames[UniformInt(random, 0, kNames.size() - 1)];
    ++data_centre.accelerators[name];
    memory += engine.kinds.at(name).memory_mb;
  }
}

Fault RandomFault(Random& random, std::chrono::milliseconds duration) {
  Fault fault;
  fault.kind = static_cast<Fault::Kind>(UniformInt(random, 0, 4));
  fault.start = std::chrono::milliseconds(UniformInt(
      random, 2'000, static_cast<std::uint32_t>(duration.count()) * 2 / 3));
  fault.duration = std::chrono::milliseconds(UniformInt(random, 3'000, 8'000));
  fault.share = UniformReal(random, 0.03, 0.15);
  fault.factor = fault.kind == Fault::Kind::kBurst
                     ? UniformReal(random, 1.2, 1.7)
                     : UniformReal(random, 2, 8);
  return fault;
}

}  // namespace

Scenario Scenario::GenerateRandom(std::uint64_t seed) {
  Random random(seed);
  Scenario scenario;
  scenario.name = "drawn-" + std::to_string(seed);
  scenario.engine = RandomEngine(random);
  scenario.costs.decode_steps_per_pass = UniformInt(random, 1, 5);
  scenario.costs.prefill_tokens_per_second =
      UniformReal(random, 60'000, 180'000);
  const std::uint32_t kinds = UniformInt(random, 1, 3);
  for (std::uint32_t i = 0; i < kinds; ++i) {
    RequestKind kind;
    kind.name = "kind-" + std::to_string(i);
    kind.share = UniformReal(random, 0.2, 1);
    const double prompt = UniformReal(random, 200, 900);
    const double output = UniformReal(random, 80, 260);
    kind.prompt = {prompt, UniformReal(random, 0, 1), prompt * 3};
    kind.output = {output, UniformReal(random, 0, 0.9), output * 3.5};
    scenario.requests.push_back(kind);
  }
  const std::uint32_t data_centres = UniformInt(random, 2, 4);
  for (std::uint32_t i = 0; i < data_centres; ++i) {
    DataCentreSpec data_centre;
    data_centre.name = "dc-" + std::to_string(i);
    data_centre.daemons = UniformInt(random, 2, 4);
    AddRandomAccelerators(random, scenario.engine, data_centre);
    scenario.data_centres.push_back(data_centre);
  }
  const double load =
      UpperBound(scenario) * UniformReal(random, kMinLoad, kMaxLoad);
  for (DataCentreSpec& data_centre : scenario.data_centres) {
    data_centre.requests_per_second = load / data_centres;
  }
  const std::uint32_t faults = UniformInt(random, 0, 3);
  for (std::uint32_t i = 0; i < faults; ++i) {
    scenario.faults.push_back(RandomFault(random, scenario.duration));
  }
  scenario.retries = {.ratio = 0.2, .extra = load * 2};
  scenario.SetMeanTokens();
  return scenario;
}

}  // namespace sycamoreford::model
