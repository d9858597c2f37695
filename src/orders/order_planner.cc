#include "sycamoreford/orders/order_planner.h"

#include <algorithm>

namespace sycamoreford {
namespace {

/// Whether the transition unloads a model version or an adapter.
bool Unloads(const EngineState& from, const EngineState& to) {
  const bool replaces = !from.version.empty() &&
                        (from.model != to.model || from.version != to.version);
  return replaces || !std::includes(to.adapters.begin(), to.adapters.end(),
                                    from.adapters.begin(), from.adapters.end());
}

}  // namespace

void OrderPlanner::OnLeaseAcquired(FencingToken fencing, TimePoint now) {
  if (fencing <= fencing_) {
    return;
  }
  fencing_ = fencing;
  unload_allowed_at_ = now + limits_.unload_hold_off;
  // States reported under an earlier lease may be outdated.
  observed_.clear();
}

void OrderPlanner::OnState(const EndpointId& endpoint,
                           const EngineState& state,
                           TimePoint /*now*/) {
  observed_[endpoint].state = state;
}

std::uint32_t OrderPlanner::CountLoading(
    const std::vector<DesiredEngine>& desired,
    TimePoint now) const {
  return static_cast<std::uint32_t>(std::count_if(
      desired.begin(), desired.end(), [&](const DesiredEngine& engine) {
        const auto found = observed_.find(engine.endpoint);
        return found != observed_.end() && now < found->second.loading_until &&
               found->second.state != engine.state;
      }));
}

bool OrderPlanner::CanOrder(const DesiredEngine& engine,
                            const ObservedEngine& observed,
                            TimePoint now) const {
  if (observed.state == engine.state || now < observed.loading_until) {
    return false;
  }
  return engine.checks_fencing || !Unloads(observed.state, engine.state) ||
         now >= unload_allowed_at_;
}

std::optional<EngineOrder> OrderPlanner::Next(
    const std::vector<DesiredEngine>& desired,
    FencingToken fencing,
    TimePoint now) {
  while (!recent_loads_.empty() &&
         now - recent_loads_.front() >= std::chrono::minutes(1)) {
    recent_loads_.pop_front();
  }
  if (fencing != fencing_ ||
      recent_loads_.size() >= limits_.max_loads_per_minute ||
      CountLoading(desired, now) >= limits_.max_concurrent_loads) {
    return std::nullopt;
  }
  for (const DesiredEngine& engine : desired) {
    const auto found = observed_.find(engine.endpoint);
    if (found == observed_.end() || !CanOrder(engine, found->second, now)) {
      continue;
    }
    found->second.loading_until = now + limits_.order_timeout;
    recent_loads_.push_back(now);
    return EngineOrder{engine.endpoint, engine.address, fencing, engine.state};
  }
  return std::nullopt;
}

}  // namespace sycamoreford
