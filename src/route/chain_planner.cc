#include "sycamoreford/route/chain_planner.h"

#include <algorithm>
#include <limits>
#include <map>

namespace sycamoreford {

bool IsCover(const Chain& chain, std::uint32_t layers) noexcept {
  std::uint32_t next = 0;
  for (const ChainStage& stage : chain) {
    if (stage.layers.first != next || stage.layers.is_empty()) {
      return false;
    }
    next = stage.layers.end;
  }
  return next == layers && layers > 0;
}

namespace impl {

double StageCost(const v1::Endpoint& endpoint,
                 const EndpointLoad& load,
                 std::uint32_t bytes_per_token) noexcept {
  const double rate = std::max(endpoint.tokens_per_second(), 1.0);
  double cost = (load.in_flight + 1) / rate;
  if (endpoint.link_bytes_per_second() > 0) {
    cost += bytes_per_token / endpoint.link_bytes_per_second();
  }
  return cost;
}

Result<Chain> CheapestCover(const std::vector<PlanStep>& steps,
                            std::uint32_t layers) {
  struct Reached {
    double cost = std::numeric_limits<double>::infinity();
    const PlanStep* step = nullptr;
  };
  std::vector<PlanStep> sorted = steps;
  std::sort(sorted.begin(), sorted.end(),
            [](const PlanStep& a, const PlanStep& b) {
              return a.endpoint->first_layer() < b.endpoint->first_layer();
            });
  std::map<std::uint32_t, Reached> reached;
  reached[0].cost = 0;
  for (const PlanStep& step : sorted) {
    const auto from = reached.find(step.endpoint->first_layer());
    if (from == reached.end() ||
        step.endpoint->end_layer() <= step.endpoint->first_layer()) {
      continue;
    }
    Reached& to = reached[step.endpoint->end_layer()];
    const double cost = from->second.cost + step.cost;
    if (cost < to.cost) {
      to = {cost, &step};
    }
  }
  Chain chain;
  std::uint32_t at = layers;
  while (at > 0) {
    const auto found = reached.find(at);
    if (found == reached.end()) {
      return Failure{.code = Errc::kNoEndpoint, .where = "chain"};
    }
    const v1::Endpoint& endpoint = *found->second.step->endpoint;
    chain.push_back({EndpointId(endpoint.name()),
                     endpoint.address(),
                     {endpoint.first_layer(), endpoint.end_layer()}});
    at = endpoint.first_layer();
  }
  std::reverse(chain.begin(), chain.end());
  if (!IsCover(chain, layers)) {
    return Failure{.code = Errc::kNoEndpoint, .where = "chain"};
  }
  return chain;
}

}  // namespace impl
}  // namespace sycamoreford
