#include "sycamoreford/route/endpoint_table.h"

#include <algorithm>
#include <utility>

namespace sycamoreford {
namespace {

constexpr std::chrono::milliseconds kFirstSuspicion{500};
constexpr std::uint32_t kMostDoublings = 5;

}  // namespace

EndpointLoad EndpointTable::View::LoadOf(const EndpointId& id) const {
  const auto found = loads_.find(id);
  return found == loads_.end() ? EndpointLoad{} : found->second;
}

EndpointTable::View EndpointTable::Snapshot(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  View view;
  for (const auto& [id, entry] : entries_) {
    view.loads_[id] = {.in_flight = entry.in_flight,
                       .is_leaving = entry.is_leaving,
                       .is_suspected = now < entry.suspected_until};
  }
  return view;
}

void EndpointTable::Begin(const Chain& chain) {
  const std::lock_guard lock(mutex_);
  for (const ChainStage& stage : chain) {
    ++entries_[stage.endpoint].in_flight;
  }
}

void EndpointTable::End(const Chain& chain) {
  const std::lock_guard lock(mutex_);
  for (const ChainStage& stage : chain) {
    --entries_[stage.endpoint].in_flight;
  }
}

void EndpointTable::Report(const EndpointId& id,
                           EndpointVerdict verdict,
                           TimePoint now) {
  const std::lock_guard lock(mutex_);
  Entry& entry = entries_[id];
  switch (verdict) {
    case EndpointVerdict::kGood:
      entry.failures = 0;
      entry.suspected_until = {};
      return;
    case EndpointVerdict::kSlow:
      return;
    case EndpointVerdict::kBad:
      const std::uint32_t doublings = std::min(entry.failures, kMostDoublings);
      entry.suspected_until = now + kFirstSuspicion * (1U << doublings);
      ++entry.failures;
      return;
  }
}

void EndpointTable::SetLeaving(const EndpointId& id, bool is_leaving) {
  const std::lock_guard lock(mutex_);
  entries_[id].is_leaving = is_leaving;
}

ChainHold::ChainHold(EndpointTable& table, Chain chain)
    : table_(table), chain_(std::move(chain)) {
  table_.Begin(chain_);
}

ChainHold::~ChainHold() {
  table_.End(chain_);
}

}  // namespace sycamoreford
