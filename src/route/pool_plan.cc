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

using Classes = std::map<LayerRange, std::vector<PlanStage>>;

PlanStage ToStep(const v1::Endpoint& endpoint, const v1::ModelVersion& version) {
  PlanStage stage;
  stage.endpoint = EndpointId(endpoint.name());
  stage.address = endpoint.address();
  stage.layers = {endpoint.first_layer(), endpoint.end_layer()};
  stage.rate = std::max(endpoint.tokens_per_second(), 1.0);
  const bool passes_on = endpoint.end_layer() < version.layers();
  if (passes_on && endpoint.link_bytes_per_second() > 0 &&
      version.bytes_per_token() > 0) {
    stage.link_seconds =
        version.bytes_per_token() / endpoint.link_bytes_per_second();
    stage.rate = std::min(stage.rate, 1 / stage.link_seconds);
  }
  stage.slots = endpoint.slots() > 0 ? endpoint.slots() : kDefaultSlots;
  stage.hash = XXH3_64bits(endpoint.name().data(), endpoint.name().size());
  return stage;
}

Classes ToClasses(const v1::Pool& pool, const v1::ModelVersion& version) {
  Classes classes;
  for (const v1::Endpoint& endpoint : pool.endpoints()) {
    PlanStage stage = ToStep(endpoint, version);
    if (!endpoint.leaving() && !stage.layers.is_empty()) {
      classes[stage.layers].push_back(std::move(stage));
    }
  }
  return classes;
}

/// Solves the flow with the sum of `part` over a class as its capacity.
template <class Part>
std::vector<FlowArc> ToArcs(const Classes& classes, const Part& part) {
  std::vector<FlowArc> arcs;
  for (const auto& [layers, stages] : classes) {
    double capacity = 0;
    for (const PlanStage& stage : stages) {
      capacity += part(stage);
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
      ToArcs(classes, [](const PlanStage& stage) { return stage.slots; });
  plan.concurrency_ = SolveMaxFlow(slots, plan.layers_);
  std::vector<FlowArc> arcs =
      ToArcs(classes, [](const PlanStage& stage) { return stage.rate; });
  plan.bound_ = SolveMaxFlow(arcs, plan.layers_);
  auto arc = arcs.begin();
  double busy = 0;
  for (const auto& [layers, stages] : classes) {
    const auto count = static_cast<std::uint32_t>(stages.size());
    const std::uint64_t seed =
        (std::uint64_t{layers.first} << 32U) | layers.end;
    const double share = std::max(arc->flow / arc->capacity, kIdleShare);
    for (const std::uint32_t index :
         SubsetOf(fleet, count, SubsetSize(fleet.count, count), seed)) {
      PlanStage stage = stages[index];
      stage.weight = stage.rate * share;
      plan.stages_.push_back(std::move(stage));
    }
    for (const PlanStage& stage : stages) {
      const double flow = arc->flow * stage.rate / arc->capacity;
      busy += flow * (1 / stage.rate + stage.link_seconds);
    }
    ++arc;
  }
  plan.token_seconds_ = plan.bound_ > 0 ? busy / plan.bound_ : 0;
  return plan;
}

}  // namespace sycamoreford
