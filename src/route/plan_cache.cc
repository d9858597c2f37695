#include "sycamoreford/route/plan_cache.h"

#include <utility>

namespace sycamoreford {

std::shared_ptr<const PlanSet> PlanSet::Compute(ConfigurationPtr config,
                                                const FleetPosition& fleet,
                                                const PlanSet* previous) {
  auto set = std::make_shared<PlanSet>();
  set->fleet_ = fleet;
  for (const v1::Resource* route : config->List(v1::KIND_ROUTE)) {
    const v1::Resource* pool =
        config->Find(v1::KIND_POOL, route->route().pool());
    const v1::Resource* version =
        config->Find(v1::KIND_MODEL_VERSION, route->route().model_version());
    const Source source{pool->name(), pool->revision(), version->name(),
                        version->revision()};
    PoolPlanPtr& plan = set->plans_[source];
    if (plan == nullptr && previous != nullptr && previous->fleet_ == fleet) {
      const auto found = previous->plans_.find(source);
      plan = found == previous->plans_.end() ? nullptr : found->second;
    }
    if (plan == nullptr) {
      plan = std::make_shared<const PoolPlan>(
          PoolPlan::Compute(pool->pool(), version->model_version(), fleet));
    }
    set->routes_[route->name()] = plan;
  }
  set->config_ = std::move(config);
  return set;
}

PoolPlanPtr PlanSet::Find(const std::string& route) const {
  const auto found = routes_.find(route);
  return found == routes_.end() ? nullptr : found->second;
}

std::shared_ptr<const PlanSet> PlanCache::Get(const ConfigurationPtr& config,
                                              const FleetPosition& fleet) {
  const std::lock_guard lock(mutex_);
  if (newest_ != nullptr && newest_->revision() == config->revision() &&
      newest_->fleet() == fleet) {
    return newest_;
  }
  auto plans = PlanSet::Compute(config, fleet, newest_.get());
  if (newest_ == nullptr || newest_->revision() <= config->revision()) {
    newest_ = plans;
  }
  return plans;
}

}  // namespace sycamoreford
