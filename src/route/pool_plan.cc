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
/// Minimum weight of an endpoint as a share of its rate, used for endpoints
/// without flow.
constexpr double kMinFlowShare = 0.02;

using StagesByLayers = std::map<LayerRange, std::vector<PlanStage>>;

PlanStage ToPlanStage(const v1::Endpoint& endpoint,
                      const v1::ModelVersion& version) {
  PlanStage stage;
  stage.endpoint = EndpointId(endpoint.name());
  stage.address = endpoint.address();
  stage.layers = {endpoint.first_layer(), endpoint.end_layer()};
  stage.rate = std::max(endpoint.tokens_per_second(), 1.0);
  const bool has_next_stage = endpoint.end_layer() < version.layers();
  if (has_next_stage && endpoint.link_bytes_per_second() > 0 &&
      version.bytes_per_token() > 0) {
    stage.link_seconds =
        version.bytes_per_token() / endpoint.link_bytes_per_second();
    stage.rate = std::min(stage.rate, 1 / stage.link_seconds);
  }
  stage.slots = endpoint.slots() > 0 ? endpoint.slots() : kDefaultSlots;
  stage.hash = XXH3_64bits(endpoint.name().data(), endpoint.name().size());
  return stage;
}

StagesByLayers GroupByLayers(const v1::Pool& pool,
                             const v1::ModelVersion& version) {
  StagesByLayers stages_by_layers;
  for (const v1::Endpoint& endpoint : pool.endpoints()) {
    PlanStage stage = ToPlanStage(endpoint, version);
    if (!endpoint.leaving() && !stage.layers.is_empty()) {
      stages_by_layers[stage.layers].push_back(std::move(stage));
    }
  }
  return stages_by_layers;
}

/// Returns one arc per range of layers; its capacity is the sum of
/// `capacity_of` over the stages of the range.
template <class CapacityOf>
std::vector<FlowArc> ToArcs(const StagesByLayers& stages_by_layers,
                            const CapacityOf& capacity_of) {
  std::vector<FlowArc> arcs;
  for (const auto& [layers, stages] : stages_by_layers) {
    double capacity = 0;
    for (const PlanStage& stage : stages) {
      capacity += capacity_of(stage);
    }
    arcs.push_back({layers, capacity, 0});
  }
  return arcs;
}

}  // namespace

PoolPlan PoolPlan::Compute(const v1::Pool& pool,
                           const v1::ModelVersion& version,
                           const FleetPosition& fleet) {
  PoolPlan plan;
  plan.layers_ = version.layers();
  const StagesByLayers stages_by_layers = GroupByLayers(pool, version);
  std::vector<FlowArc> slot_arcs = ToArcs(
      stages_by_layers, [](const PlanStage& stage) { return stage.slots; });
  plan.max_concurrency_ = SolveMaxFlow(slot_arcs, plan.layers_);
  std::vector<FlowArc> rate_arcs = ToArcs(
      stages_by_layers, [](const PlanStage& stage) { return stage.rate; });
  plan.max_tokens_per_second_ = SolveMaxFlow(rate_arcs, plan.layers_);
  auto rate_arc = rate_arcs.begin();
  double busy_seconds = 0;
  for (const auto& [layers, stages] : stages_by_layers) {
    const auto count = static_cast<std::uint32_t>(stages.size());
    const std::uint64_t seed =
        (std::uint64_t{layers.first} << 32U) | layers.end;
    const double share =
        std::max(rate_arc->flow / rate_arc->capacity, kMinFlowShare);
    for (const std::uint32_t index :
         SubsetOf(fleet, count, SubsetSize(fleet.count, count), seed)) {
      PlanStage stage = stages[index];
      stage.weight = stage.rate * share;
      plan.stages_.push_back(std::move(stage));
    }
    for (const PlanStage& stage : stages) {
      const double flow = rate_arc->flow * stage.rate / rate_arc->capacity;
      busy_seconds += flow * (1 / stage.rate + stage.link_seconds);
    }
    ++rate_arc;
  }
  plan.token_seconds_ = plan.max_tokens_per_second_ > 0
                            ? busy_seconds / plan.max_tokens_per_second_
                            : 0;
  return plan;
}

}  // namespace sycamoreford
