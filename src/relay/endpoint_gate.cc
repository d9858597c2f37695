#include "sycamoreford/relay/endpoint_gate.h"

#include <algorithm>

namespace sycamoreford {

Duration EndpointGate::BackoffLeft(const std::string& id, TimePoint now) const {
  const KnownEndpoint* known = directory_.Find(id);
  return known == nullptr ? Duration::zero()
                          : backoffs_.TimeLeft(RunOf(known->record), now);
}

bool EndpointGate::IsLeaving(const std::string& id) const {
  const KnownEndpoint* known = directory_.Find(id);
  return known != nullptr && known->record.is_leaving;
}

bool EndpointGate::MaySend(const std::string& id,
                           SendKind kind,
                           TimePoint now) {
  if (BackoffLeft(id, now) > Duration::zero()) {
    return false;
  }
  switch (kind) {
    case SendKind::kRequest:
      return limits_.MaySend(id, now);
    case SendKind::kInspection:
      return limits_.MayOverdraw(id, now);
    case SendKind::kChosenRequest:
      return !IsLeaving(id);
    case SendKind::kOrder:
      return true;
  }
  return false;
}

std::set<std::string> EndpointGate::Closed(TimePoint now) {
  std::set<std::string> closed = limits_.Exhausted(now);
  for (const std::string& id : backoffs_.Ids(now)) {
    if (!MaySend(id, SendKind::kRequest, now)) {
      closed.insert(id);
    }
  }
  return closed;
}

Duration EndpointGate::TimeUntilOpen(const std::string& id, TimePoint now) {
  return std::max(BackoffLeft(id, now), limits_.TimeUntilAvailable(id, now));
}

GateOpening EndpointGate::NextOpening(const std::vector<std::string>& ids,
                                      TimePoint now) {
  GateOpening next{.time_left = Duration::max(),
                   .are_all_closed = !ids.empty()};
  for (const std::string& id : ids) {
    const Duration time_left = TimeUntilOpen(id, now);
    if (time_left <= Duration::zero()) {
      next.are_all_closed = false;
    } else if (time_left < next.time_left) {
      next.time_left = time_left;
      next.is_backoff = BackoffLeft(id, now) >= time_left;
    }
  }
  if (next.time_left == Duration::max()) {
    next.time_left = Duration::zero();
  }
  return next;
}

std::set<std::string> EndpointGate::Restricted(TimePoint now) const {
  std::set<std::string> ids = limits_.InForce();
  ids.merge(backoffs_.Ids(now));
  return ids;
}

}  // namespace sycamoreford
