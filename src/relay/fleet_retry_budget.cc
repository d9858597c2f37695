#include "sycamoreford/relay/fleet_retry_budget.h"

#include <algorithm>

namespace sycamoreford {
namespace {

/// Part of the allowance that is used: requests are counted when they reach a
/// daemon and repeats when they reach an endpoint, a little later, and traffic
/// is spread unevenly over daemons.
constexpr double kUsedPart = 0.8;

/// What a daemon told is used for this long; some tellings may be lost.
constexpr std::chrono::milliseconds kToldFor{2'500};

}  // namespace

FleetRetryBudget::Slice& FleetRetryBudget::At(TimePoint now) {
  const Duration length =
      Duration(allowance_.window) / static_cast<std::int64_t>(kWindowSlices);
  const std::int64_t number = now.time_since_epoch() / length;
  Slice& slice = slices_[static_cast<std::size_t>(number) % kSlices];
  if (slice.number != number) {
    slice = {.number = number};
  }
  return slice;
}

void FleetRetryBudget::OnRequest(TimePoint now) {
  ++At(now).requests;
}

RetryUsage FleetRetryBudget::Own(TimePoint now) {
  const std::int64_t current = At(now).number;
  RetryUsage usage;
  for (const Slice& slice : slices_) {
    if (slice.number > current - static_cast<std::int64_t>(kSlices)) {
      usage.requests += slice.requests;
      usage.repeats += slice.repeats;
    }
  }
  return usage;
}

bool FleetRetryBudget::TryTake(TimePoint now, std::uint32_t daemons) {
  const RetryUsage own = Own(now);
  const std::uint32_t others = std::max(1U, daemons) - 1;
  RetryUsage all = own;
  std::uint32_t heard = 0;
  for (const auto& [daemon, told] : told_) {
    if (now - told.at <= kToldFor) {
      ++heard;
      all.requests += told.usage.requests;
      all.repeats += told.usage.repeats;
    }
  }
  bool may = false;
  if (heard >= others) {
    const double allowed =
        kUsedPart * (allowance_.ratio * all.requests + allowance_.extra);
    may = all.repeats + 1 + (untold_ + 1) * others <= allowed;
  }
  if (!may) {
    const double allowed =
        kUsedPart * (allowance_.ratio * own.requests +
                     allowance_.extra / static_cast<double>(others + 1));
    may = heard < others && own.repeats + 1 <= allowed;
  }
  if (may) {
    ++At(now).repeats;
    ++untold_;
  }
  return may;
}

RetryUsage FleetRetryBudget::Tell(TimePoint now) {
  untold_ = 0;
  return Own(now);
}

void FleetRetryBudget::OnTold(const std::string& daemon,
                              RetryUsage usage,
                              TimePoint now) {
  told_[daemon] = {usage, now};
  std::erase_if(told_,
                [&](const auto& it) { return now - it.second.at > kToldFor; });
}

}  // namespace sycamoreford
