#include "sycamoreford/placement/placement_scheduler.h"

#include <algorithm>

#include "sycamoreford/placement/chain_builder.h"

namespace sycamoreford {
namespace {

/// The initial placement begins when the number of accelerators has not changed
/// for this long. When a fleet starts, all endpoints announce themselves within
/// a few seconds.
constexpr std::chrono::milliseconds kSettleTime{1'200};
/// With more concurrent loads, the weight storage slows each of them down.
constexpr std::uint32_t kMaxConcurrentLoads = 5;
/// How long an accelerator counts as in use after its chain broke: streams of a
/// broken chain are moved to others within about this time.
constexpr std::chrono::milliseconds kRecentUseWindow{1'000};
/// A pending order expires when its load takes this many times as long as it
/// would alone, since concurrent loads slow each other down, plus
/// `kMaxOrderDelay`.
constexpr int kMaxLoadTimeFactor = 4;
constexpr std::chrono::milliseconds kMaxOrderDelay{3'000};
constexpr std::chrono::milliseconds kRefusedOrderRetryDelay{500};

}  // namespace

std::vector<PlacementChange> PlacementScheduler::NextOrders(
    const EngineProfile& profile,
    std::vector<Accelerator> accelerators,
    const std::vector<std::string>& in_use,
    TimePoint now) {
  std::vector<PlacementChange> orders;
  if (!HasSettled(accelerators, now)) {
    return orders;
  }
  ApplyPending(accelerators, now);
  const std::vector<std::string> used = RecentlyUsed(in_use, now);
  const auto groups = GroupByDataCentre(std::move(accelerators));
  // While layers are missing in any data centre, standby accelerators load
  // nothing: concurrent loads slow each other down.
  const bool are_all_layers_held =
      std::all_of(groups.begin(), groups.end(), [&](const auto& group) {
        return MissingLayers(profile, group.second).empty();
      });
  for (const auto& [data_centre, group] : groups) {
    const auto loading = static_cast<std::uint32_t>(pending_.size());
    const std::uint32_t max_loads =
        are_all_layers_held
            ? kMaxConcurrentLoads - std::min(kMaxConcurrentLoads, loading)
            : 0;
    for (PlacementChange& change :
         PlanPlacement(profile, group, used, max_loads)) {
      const double fraction =
          static_cast<double>(change.layers.size()) / profile.layers;
      const auto max_load_time = std::chrono::duration_cast<Duration>(
          profile.load_time * fraction * kMaxLoadTimeFactor);
      pending_[change.accelerator_id] = {change.layers,
                                         now + max_load_time + kMaxOrderDelay};
      orders.push_back(std::move(change));
    }
  }
  return orders;
}

void PlacementScheduler::OnRefused(const std::string& accelerator_id,
                                   TimePoint now) {
  const auto found = pending_.find(accelerator_id);
  if (found != pending_.end()) {
    found->second.expires_at = now + kRefusedOrderRetryDelay;
  }
}

void PlacementScheduler::ApplyPending(std::vector<Accelerator>& accelerators,
                                      TimePoint now) {
  for (Accelerator& accelerator : accelerators) {
    const auto found = pending_.find(accelerator.id);
    if (found == pending_.end()) {
      continue;
    }
    if (accelerator.layers == found->second.layers ||
        now >= found->second.expires_at) {
      pending_.erase(found);
      continue;
    }
    accelerator.layers = found->second.layers;
    accelerator.is_loading = true;
  }
}

bool PlacementScheduler::HasSettled(
    const std::vector<Accelerator>& accelerators,
    TimePoint now) {
  if (accelerators.size() != last_accelerator_count_) {
    last_accelerator_count_ = accelerators.size();
    count_changed_at_ = now;
  }
  const bool are_all_empty =
      std::all_of(accelerators.begin(), accelerators.end(),
                  [&](const Accelerator& accelerator) {
                    return accelerator.layers.is_empty() &&
                           !pending_.contains(accelerator.id);
                  });
  return !are_all_empty ||
         (!accelerators.empty() && now - count_changed_at_ >= kSettleTime);
}

std::vector<std::string> PlacementScheduler::RecentlyUsed(
    const std::vector<std::string>& in_use,
    TimePoint now) {
  for (const std::string& id : in_use) {
    last_used_at_[id] = now;
  }
  // An accelerator whose chain has just lost another stage still has requests
  // in flight, and it gives up layers only when none are left.
  std::erase_if(last_used_at_, [&](const auto& it) {
    return now - it.second > kRecentUseWindow;
  });
  std::vector<std::string> ids;
  for (const auto& [id, at] : last_used_at_) {
    ids.push_back(id);
  }
  return ids;
}

std::map<std::string, std::vector<Accelerator>> GroupByDataCentre(
    std::vector<Accelerator> accelerators) {
  std::map<std::string, std::vector<Accelerator>> grouped;
  for (Accelerator& accelerator : accelerators) {
    grouped[accelerator.data_centre].push_back(std::move(accelerator));
  }
  return grouped;
}

}  // namespace sycamoreford
