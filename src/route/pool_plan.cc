#include "sycamoreford/route/pool_plan.h"

#include <algorithm>
#include <limits>
#include <map>

#include <xxhash.h>

#include "sycamoreford/route/max_flow.h"
#include "sycamoreford/route/subset.h"

namespace sycamoreford {
namespace {

constexpr std::uint32_t kDefaultSlots = 16;
/// Part of its rate at which an endpoint without flow counts.
constexpr double kIdleShare = 0.02;

using Classes = std::map<LayerRange, std::vector<PlanStep>>;

PlanStep ToStep(const v1::Endpoint& endpoint, const v1::ModelVersion& version) {
  PlanStep step;
  step.endpoint = EndpointId(endpoint.name());
  step.address = endpoint.address();
  step.layers = {endpoint.first_layer(), endpoint.end_layer()};
  step.rate = std::max(endpoint.tokens_per_second(), 1.0);
  const bool passes_on = endpoint.end_layer() < version.layers();
  if (passes_on && endpoint.link_bytes_per_second() > 0 &&
      version.bytes_per_token() > 0) {
    step.link_seconds =
        version.bytes_per_token() / endpoint.link_bytes_per_second();
    step.rate = std::min(step.rate, 1 / step.link_seconds);
  }
  step.slots = endpoint.slots() > 0 ? endpoint.slots() : kDefaultSlots;
  step.hash = XXH3_64bits(endpoint.name().data(), endpoint.name().size());
  return step;
}

Classes ToClasses(const v1::Pool& pool, const v1::ModelVersion& version) {
  Classes classes;
  for (const v1::Endpoint& endpoint : pool.endpoints()) {
    PlanStep step = ToStep(endpoint, version);
    if (!endpoint.leaving() && !step.layers.is_empty()) {
      classes[step.layers].push_back(std::move(step));
    }
  }
  return classes;
}

/// Solves the flow with the sum of `part` over a class as its capacity.
template <class Part>
std::vector<FlowArc> ToArcs(const Classes& classes, const Part& part) {
  std::vector<FlowArc> arcs;
  for (const auto& [layers, steps] : classes) {
    double capacity = 0;
    for (const PlanStep& step : steps) {
      capacity += part(step);
    }
    arcs.push_back({layers, capacity, 0});
  }
  return arcs;
}

}  // namespace

PoolPlan PoolPlan::Compute(const v1::Pool& pool,
                           const v1::ModelVersion& version,
                           const FleetView& fleet) {
  PoolPlan plan;
  plan.layers_ = version.layers();
  const Classes classes = ToClasses(pool, version);
  std::vector<FlowArc> slots =
      ToArcs(classes, [](const PlanStep& step) { return step.slots; });
  plan.concurrency_ = SolveMaxFlow(slots, plan.layers_);
  std::vector<FlowArc> arcs =
      ToArcs(classes, [](const PlanStep& step) { return step.rate; });
  plan.bound_ = SolveMaxFlow(arcs, plan.layers_);
  auto arc = arcs.begin();
  double busy = 0;
  for (const auto& [layers, steps] : classes) {
    const auto count = static_cast<std::uint32_t>(steps.size());
    const std::uint64_t seed =
        (std::uint64_t{layers.first} << 32U) | layers.end;
    const double share = std::max(arc->flow / arc->capacity, kIdleShare);
    for (const std::uint32_t index :
         SubsetOf(fleet, count, SubsetSize(fleet.count, count), seed)) {
      PlanStep step = steps[index];
      step.weight = step.rate * share;
      plan.steps_.push_back(std::move(step));
    }
    for (const PlanStep& step : steps) {
      const double flow = arc->flow * step.rate / arc->capacity;
      busy += flow * (1 / step.rate + step.link_seconds);
    }
    ++arc;
  }
  plan.token_seconds_ = plan.bound_ > 0 ? busy / plan.bound_ : 0;
  return plan;
}

}  // namespace sycamoreford
