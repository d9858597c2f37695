#include "sycamoreford/relay/fleet_retry_budget.h"

#include <algorithm>

namespace sycamoreford {
namespace {

/// Share of the limits that is used. The rest is a safety margin: requests are
/// counted when they reach a daemon but retries when they reach an endpoint,
/// slightly later, and traffic is distributed unevenly over daemons.
constexpr double kUsedShare = 0.8;

/// How long a usage report is used; long enough for some of them to be lost.
constexpr std::chrono::milliseconds kPeerUsageTtl{2'500};

}  // namespace

FleetRetryBudget::Slice& FleetRetryBudget::CurrentSlice(TimePoint now) {
  const Duration length =
      Duration(limits_.window) / static_cast<std::int64_t>(kWindowSlices);
  const std::int64_t number = now.time_since_epoch() / length;
  Slice& slice = slices_[static_cast<std::size_t>(number) % kSlices];
  if (slice.number != number) {
    slice = {.number = number};
  }
  return slice;
}

void FleetRetryBudget::OnRequest(TimePoint now) {
  ++CurrentSlice(now).requests;
}

RetryUsage FleetRetryBudget::OwnUsage(TimePoint now) {
  const std::int64_t current = CurrentSlice(now).number;
  RetryUsage usage;
  for (const Slice& slice : slices_) {
    if (slice.number > current - static_cast<std::int64_t>(kSlices)) {
      usage.requests += slice.requests;
      usage.retries += slice.retries;
    }
  }
  return usage;
}

bool FleetRetryBudget::TryAcquire(TimePoint now, std::uint32_t daemons) {
  const RetryUsage own = OwnUsage(now);
  const std::uint32_t peers = std::max(1U, daemons) - 1;
  RetryUsage all = own;
  std::uint32_t known_peers = 0;
  for (const auto& [daemon, peer] : peer_usage_) {
    if (now - peer.received_at <= kPeerUsageTtl) {
      ++known_peers;
      all.requests += peer.usage.requests;
      all.retries += peer.usage.retries;
    }
  }
  bool is_allowed = false;
  if (known_peers >= peers) {
    const double allowed =
        kUsedShare * (limits_.ratio * all.requests + limits_.extra);
    is_allowed = all.retries + 1 + (unreported_retries_ + 1) * peers <= allowed;
  }
  if (!is_allowed) {
    const double allowed =
        kUsedShare * (limits_.ratio * own.requests +
                      limits_.extra / static_cast<double>(peers + 1));
    is_allowed = known_peers < peers && own.retries + 1 <= allowed;
  }
  if (is_allowed) {
    ++CurrentSlice(now).retries;
    ++unreported_retries_;
  }
  return is_allowed;
}

RetryUsage FleetRetryBudget::ReportUsage(TimePoint now) {
  unreported_retries_ = 0;
  return OwnUsage(now);
}

void FleetRetryBudget::OnUsageReport(const std::string& daemon,
                                     RetryUsage usage,
                                     TimePoint now) {
  peer_usage_[daemon] = {usage, now};
  std::erase_if(peer_usage_, [&](const auto& it) {
    return now - it.second.received_at > kPeerUsageTtl;
  });
}

}  // namespace sycamoreford
