#include "sycamoreford/fleet/ahead_daemons.h"

#include <algorithm>

namespace sycamoreford {

void AheadDaemons::OnTold(const std::string& address,
                          std::uint64_t revision,
                          TimePoint now) {
  std::erase_if(daemons_, [&](const auto& it) {
    return it.second.heard_at + kTtl <= now;
  });
  Daemon& daemon = daemons_[address];
  daemon.revision = std::max(daemon.revision, revision);
  daemon.heard_at = now;
}

std::uint64_t AheadDaemons::Newest(TimePoint now) const {
  std::uint64_t newest = 0;
  for (const auto& [address, daemon] : daemons_) {
    if (daemon.heard_at + kTtl > now) {
      newest = std::max(newest, daemon.revision);
    }
  }
  return newest;
}

void AheadDaemons::OnFailed(const std::string& address, TimePoint now) {
  const auto found = daemons_.find(address);
  if (found != daemons_.end()) {
    found->second.failed_until = now + kFailureDelay;
  }
}

std::optional<std::string> AheadDaemons::Pick(std::uint64_t in_force,
                                              TimePoint now) {
  std::erase_if(daemons_, [&](const auto& it) {
    return it.second.revision <= in_force || it.second.heard_at + kTtl <= now;
  });
  std::vector<std::string> candidates;
  for (const auto& [address, daemon] : daemons_) {
    if (!address.empty() && daemon.failed_until <= now) {
      candidates.push_back(address);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> distribution(
      0, candidates.size() - 1);
  return candidates[distribution(random_)];
}

}  // namespace sycamoreford
