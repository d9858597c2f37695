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
                                const OwnStatement& own,
                                const std::vector<PeerStatement>& peers) const {
  if (own.confirmed_at && now < *own.confirmed_at + grace_) {
    return {ServeReason::kConfirmed, *own.confirmed_at + grace_};
  }
  if (own.revision == Revision()) {
    return {ServeReason::kNoConfiguration, {}};
  }
  return DecideByPeers(now, own, peers);
}

ServeDecision ServeGate::DecideByPeers(
    TimePoint now,
    const OwnStatement& own,
    const std::vector<PeerStatement>& peers) const {
  if (own.is_behind) {
    return {ServeReason::kBehind, {}};
  }
  std::vector<TimePoint> agreeing;
  for (const PeerStatement& peer : peers) {
    if (peer.revision > own.revision) {
      return {ServeReason::kBehind, {}};
    }
    const bool is_fresh = peer.made_at && now < *peer.made_at + grace_;
    if (is_fresh && !peer.table_reachable && peer.vouches) {
      agreeing.push_back(*peer.made_at);
    }
  }
  const std::size_t needed =
      OthersForMajority(std::max(own.known, peers.size() + 1)) +
      (own.vouches ? 0 : 1);
  if (peers.empty() || agreeing.size() < needed) {
    // A daemon that knows of no other can't tell an outage from its own cut.
    return {ServeReason::kUnconfirmed, {}};
  }
  std::sort(agreeing.begin(), agreeing.end(), std::greater<>());
  return {ServeReason::kTableDownForAll, agreeing[needed - 1] + grace_};
}

}  // namespace sycamoreford
