#include "sycamoreford/relay/fleet_retry_budget.h"

#include <algorithm>

namespace sycamoreford {
namespace {

/// Part of the allowance that is used: requests are counted when they reach a
/// daemon and repeats when they reach an endpoint, a little later, and traffic
/// is spread unevenly over daemons.
constexpr double kUsedPart = 0.8;

}  // namespace

FleetRetryBudget::Slice& FleetRetryBudget::At(TimePoint now) {
  const auto length = Duration(allowance_.window) / kWindowSlices;
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

bool FleetRetryBudget::TryTake(TimePoint now, std::uint32_t daemons) {
  Slice& current = At(now);
  double requests = 0;
  double repeats = 0;
  for (const Slice& slice : slices_) {
    if (slice.number > current.number - static_cast<std::int64_t>(kSlices)) {
      requests += slice.requests;
      repeats += slice.repeats;
    }
  }
  const double allowed = kUsedPart * (allowance_.ratio * requests +
                                      allowance_.extra / std::max(1U, daemons));
  if (repeats + 1 > allowed) {
    return false;
  }
  ++current.repeats;
  return true;
}

void FleetRetryBudget::GiveBack(TimePoint now) {
  Slice& slice = At(now);
  slice.repeats -= slice.repeats > 0 ? 1 : 0;
}

}  // namespace sycamoreford
