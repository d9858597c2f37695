#include "run_scenario.h"

#include "router_model.h"

namespace sycamoreford::model {

std::vector<std::string> PolicyNames() {
  return {"product", "one_chain", "pairs"};
}

std::optional<RunResult> RunScenario(std::string_view policy,
                                     const Scenario& scenario,
                                     std::uint64_t seed) {
  if (policy == "product") {
    return RouterModel<PlacementScheduler>(scenario, seed).Run();
  }
  if (policy == "one_chain") {
    return RouterModel<FixedLayout<OneChainLayout>>(scenario, seed).Run();
  }
  if (policy == "pairs") {
    return RouterModel<FixedLayout<PairLayout>>(scenario, seed).Run();
  }
  return std::nullopt;
}

}  // namespace sycamoreford::model
