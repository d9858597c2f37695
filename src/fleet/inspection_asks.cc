#include "sycamoreford/fleet/inspection_asks.h"

#include <utility>

namespace sycamoreford {

bool InspectionAsks::MayAsk(const std::string& endpoint, TimePoint now) {
  std::erase_if(asked_at_, [&](const auto& it) {
    return now - it.second >= kAskInterval;
  });
  if (asked_at_.size() >= kMaxEndpoints) {
    return false;
  }
  if (!asked_at_.try_emplace(endpoint, now).second) {
    wanted_.insert(endpoint);
    return false;
  }
  wanted_.erase(endpoint);
  overdue_at_.try_emplace(endpoint, now + kReplyTime);
  return true;
}

std::optional<std::string> InspectionAsks::TakeDue(TimePoint now) {
  for (auto it = wanted_.begin(); it != wanted_.end(); ++it) {
    const auto asked = asked_at_.find(*it);
    if (asked == asked_at_.end() || now - asked->second >= kAskInterval) {
      return std::move(wanted_.extract(it).value());
    }
  }
  return std::nullopt;
}

std::optional<std::string> InspectionAsks::TakeOverdue(TimePoint now) {
  for (auto it = overdue_at_.begin(); it != overdue_at_.end(); ++it) {
    if (now >= it->second) {
      std::string endpoint = it->first;
      overdue_at_.erase(it);
      return endpoint;
    }
  }
  return std::nullopt;
}

void InspectionAsks::OnAsked(const std::string& endpoint,
                             const std::string& from) {
  if (askers_.size() >= kMaxEndpoints && !askers_.contains(endpoint)) {
    return;
  }
  auto& askers = askers_[endpoint];
  if (askers.size() < kMaxAskersPerEndpoint) {
    askers.insert(from);
  }
}

std::vector<std::string> InspectionAsks::TakeAskers(
    const std::string& endpoint) {
  const auto found = askers_.find(endpoint);
  if (found == askers_.end()) {
    return {};
  }
  std::vector<std::string> taken(found->second.begin(), found->second.end());
  askers_.erase(found);
  return taken;
}

}  // namespace sycamoreford
