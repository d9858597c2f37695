#include "sycamoreford/config/serve_gate.h"

#include <algorithm>
#include <functional>

namespace sycamoreford {
namespace {

/// Daemons besides this one that make a majority of `peers` and this one.
std::size_t OthersForMajority(std::size_t peers) {
  return (peers + 1) / 2;
}

}  // namespace

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

bool ServeGate::IsFresh(TimePoint now, const PeerStatement& peer) const {
  return peer.made_at && now - *peer.made_at < grace_;
}

ServeDecision ServeGate::Decide(TimePoint now,
                                Revision revision,
                                std::optional<TimePoint> confirmed_at,
                                const std::vector<PeerStatement>& peers) const {
  if (confirmed_at && now < *confirmed_at + grace_) {
    return {ServeReason::kConfirmed, *confirmed_at + grace_};
  }
  if (revision == Revision()) {
    return {ServeReason::kNoConfiguration, {}};
  }
  return DecideByPeers(now, revision, peers);
}

ServeDecision ServeGate::DecideByPeers(
    TimePoint now,
    Revision revision,
    const std::vector<PeerStatement>& peers) const {
  std::vector<TimePoint> without_table;
  for (const PeerStatement& peer : peers) {
    if (peer.revision > revision) {
      return {ServeReason::kBehind, {}};
    }
    if (IsFresh(now, peer) && !peer.table_reachable) {
      without_table.push_back(*peer.made_at);
    }
  }
  const std::size_t needed = OthersForMajority(peers.size());
  if (needed == 0 || without_table.size() < needed) {
    // A daemon that knows of no other can't tell an outage from its own cut.
    return {ServeReason::kUnconfirmed, {}};
  }
  std::sort(without_table.begin(), without_table.end(), std::greater<>());
  return {ServeReason::kTableDownForAll, without_table[needed - 1] + grace_};
}

bool ServeGate::HearsMajority(TimePoint now,
                              const std::vector<PeerStatement>& peers) const {
  const auto heard = std::count_if(
      peers.begin(), peers.end(),
      [&](const PeerStatement& peer) { return IsFresh(now, peer); });
  return static_cast<std::size_t>(heard) >= OthersForMajority(peers.size());
}

}  // namespace sycamoreford
