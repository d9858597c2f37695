#include "sycamoreford/orders/order_planner.h"

#include <algorithm>

namespace sycamoreford {
namespace {

/// Whether going from `from` to `to` takes something away.
bool Unloads(const EngineState& from, const EngineState& to) {
  const bool replaces = !from.version.empty() &&
                        (from.model != to.model || from.version != to.version);
  return replaces || !std::includes(to.adapters.begin(), to.adapters.end(),
                                    from.adapters.begin(), from.adapters.end());
}

}  // namespace

void OrderPlanner::OnLeaseGained(FencingToken fencing, TimePoint now) {
  if (fencing <= fencing_) {
    return;
  }
  fencing_ = fencing;
  unload_from_ = now + limits_.hold_off;
  // What was seen under an older number may have changed since.
  known_.clear();
}

void OrderPlanner::OnState(const EndpointId& endpoint,
                           const EngineState& state,
                           TimePoint /*now*/) {
  known_[endpoint].state = state;
}

std::uint32_t OrderPlanner::Loading(const std::vector<DesiredEngine>& desired,
                                    TimePoint now) const {
  return static_cast<std::uint32_t>(std::count_if(
      desired.begin(), desired.end(), [&](const DesiredEngine& engine) {
        const auto found = known_.find(engine.endpoint);
        return found != known_.end() && now < found->second.loading_until &&
               found->second.state != engine.state;
      }));
}

bool OrderPlanner::MayGive(const DesiredEngine& engine,
                           const Known& known,
                           TimePoint now) const {
  if (known.state == engine.state || now < known.loading_until) {
    return false;
  }
  return engine.checks_fencing || !Unloads(known.state, engine.state) ||
         now >= unload_from_;
}

std::optional<EngineOrder> OrderPlanner::Next(
    const std::vector<DesiredEngine>& desired,
    FencingToken fencing,
    TimePoint now) {
  while (!loads_.empty() && now - loads_.front() >= std::chrono::minutes(1)) {
    loads_.pop_front();
  }
  if (fencing != fencing_ || loads_.size() >= limits_.loads_per_minute ||
      Loading(desired, now) >= limits_.loads_at_once) {
    return std::nullopt;
  }
  for (const DesiredEngine& engine : desired) {
    const auto found = known_.find(engine.endpoint);
    if (found == known_.end() || !MayGive(engine, found->second, now)) {
      continue;
    }
    found->second.loading_until = now + limits_.order_timeout;
    loads_.push_back(now);
    return EngineOrder{engine.endpoint, engine.address, fencing, engine.state};
  }
  return std::nullopt;
}

}  // namespace sycamoreford
