#include "upper_bound.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace sycamoreford::model {
namespace {

/// Total memory of the accelerators of one kind, and their decode factor.
struct SpeedClass {
  double decode_factor = 1;
  double memory_mb = 0;
};

std::vector<SpeedClass> SpeedClassesOf(const Scenario& scenario) {
  std::vector<SpeedClass> classes;
  for (const auto& [name, kind] : scenario.engine.kinds) {
    std::uint32_t accelerators = 0;
    for (const DataCentreSpec& data_centre : scenario.data_centres) {
      const auto found = data_centre.accelerators.find(name);
      accelerators +=
          found == data_centre.accelerators.end() ? 0 : found->second;
    }
    classes.push_back({kind.decode_factor, accelerators * kind.memory_mb});
  }
  std::sort(classes.begin(), classes.end(),
            [](const SpeedClass& a, const SpeedClass& b) {
              return a.decode_factor < b.decode_factor;
            });
  return classes;
}

/// Min time in seconds to generate the output of a request when `rate` requests
/// per second hold memory for `hold_time` seconds each; infinite when they do
/// not fit.
double MinOutputTime(const Scenario& scenario,
                     const std::vector<SpeedClass>& classes,
                     double rate,
                     double hold_time) {
  const double model_mb = scenario.engine.layers * scenario.engine.layer_mb;
  const double token_mb =
      scenario.engine.kv_mb_per_token_layer() * scenario.engine.layers;
  const double needed =
      model_mb + rate * hold_time * scenario.mean_tokens() * token_mb;
  double left = 1;
  double factor = 0;
  for (const SpeedClass& it : classes) {
    const double share = std::min(left, it.memory_mb / needed);
    factor += share * it.decode_factor;
    left -= share;
  }
  constexpr double kEpsilon = 1e-9;
  if (left > kEpsilon) {
    return std::numeric_limits<double>::infinity();
  }
  constexpr double kMsPerSecond = 1e3;
  return scenario.mean_output_tokens() * factor *
         scenario.engine.decode_step_time.count() / kMsPerSecond;
}

bool IsPossible(const Scenario& scenario,
                const std::vector<SpeedClass>& classes,
                double rate) {
  // The longer requests hold memory, the less of the fast accelerators each of
  // them gets. The iteration finds the smallest fixed point from below.
  double hold_time = 0;
  constexpr int kMaxIterations = 200;
  for (int iteration = 0; iteration < kMaxIterations; ++iteration) {
    const double next = MinOutputTime(scenario, classes, rate, hold_time);
    if (next == std::numeric_limits<double>::infinity()) {
      return false;
    }
    if (next <= hold_time) {
      return true;
    }
    constexpr double kGrowth = 1.001;
    hold_time = next * kGrowth;
  }
  return false;
}

}  // namespace

double UpperBound(const Scenario& scenario) {
  const std::vector<SpeedClass> classes = SpeedClassesOf(scenario);
  double possible = 0;
  double impossible = 1;
  while (IsPossible(scenario, classes, impossible)) {
    possible = impossible;
    impossible *= 2;
  }
  constexpr double kPrecision = 0.01;
  while (impossible - possible > kPrecision) {
    const double middle = (possible + impossible) / 2;
    (IsPossible(scenario, classes, middle) ? possible : impossible) = middle;
  }
  return possible;
}

}  // namespace sycamoreford::model
