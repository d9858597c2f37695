#include "sycamoreford/config/serve_gate.h"

#include <algorithm>
#include <functional>

namespace sycamoreford {
std::string_view ToString(ServeReason reason) noexcept {
  switch (reason) {
    case ServeReason::kConfirmed:
      return "confirmed";
    case ServeReason::kTableDownForAll:
      return "table_down_for_all";
    case ServeReason::kNoConfiguration:
      return "no_configuration";
    case ServeReason::kBehind:
      return "behind";
    case ServeReason::kUnconfirmed:
      return "unconfirmed";
  }
  return "unconfirmed";
}

ServeDecision ServeGate::Decide(TimePoint now,
                                const LocalStatus& local,
                                const std::vector<PeerStatus>& peers) const {
  if (local.confirmed_at && now < *local.confirmed_at + grace_) {
    return {ServeReason::kConfirmed, *local.confirmed_at + grace_};
  }
  if (local.revision == Revision()) {
    return {ServeReason::kNoConfiguration, {}};
  }
  return DecideByPeers(now, local, peers);
}

ServeDecision ServeGate::DecideByPeers(
    TimePoint now,
    const LocalStatus& local,
    const std::vector<PeerStatus>& peers) const {
  if (local.is_behind) {
    return {ServeReason::kBehind, {}};
  }
  std::vector<TimePoint> agreeing;
  for (const PeerStatus& peer : peers) {
    if (peer.revision > local.revision) {
      return {ServeReason::kBehind, {}};
    }
    const bool is_fresh = peer.reported_at && now < *peer.reported_at + grace_;
    if (is_fresh && !peer.table_reachable && peer.guarantees_no_newer_change) {
      agreeing.push_back(*peer.reported_at);
    }
  }
  const std::size_t needed =
      PeersForMajority(std::max(local.max_members_known, peers.size() + 1)) +
      (local.guarantees_no_newer_change ? 0 : 1);
  if (peers.empty() || agreeing.size() < needed) {
    // A daemon that knows no peers cannot tell an outage of the table from its
    // own loss of connectivity.
    return {ServeReason::kUnconfirmed, {}};
  }
  std::sort(agreeing.begin(), agreeing.end(), std::greater<>());
  return {ServeReason::kTableDownForAll, agreeing[needed - 1] + grace_};
}

}  // namespace sycamoreford
