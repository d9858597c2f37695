#include "sycamoreford/fleet/peer_table.h"

#include <algorithm>
#include <limits>

namespace sycamoreford {

void PeerTable::OnStatus(const std::string& address,
                         const std::string& service,
                         const PeerStatus& status,
                         TimePoint now) {
  Expire(now);
  Peer& peer = peers_[address];
  peer.data_centre = status.data_centre;
  peer.active_requests = status.active_requests;
  peer.heard_at = now;
  if (status.serves) {
    peer.served_at[service] = now;
  } else {
    peer.served_at.erase(service);
  }
}

std::optional<std::string> PeerTable::Pick(const std::string& service,
                                           const std::set<std::string>& tried,
                                           TimePoint now) const {
  std::optional<std::string> best;
  std::uint32_t best_cost = std::numeric_limits<std::uint32_t>::max();
  for (const auto& [address, peer] : peers_) {
    const auto served = peer.served_at.find(service);
    if (served == peer.served_at.end() ||
        now - served->second > kStatusTtl * interval_factor_ ||
        now < peer.refused_until || tried.contains(address)) {
      continue;
    }
    const std::uint32_t cost =
        peer.active_requests + peer.own_requests +
        (peer.data_centre == data_centre_ ? 0 : kRemotePenalty);
    if (cost < best_cost) {
      best_cost = cost;
      best = address;
    }
  }
  return best;
}

bool PeerTable::IsHeard(const std::string& address, TimePoint now) const {
  const auto found = peers_.find(address);
  return found != peers_.end() &&
         now - found->second.heard_at <= kStatusTtl * interval_factor_;
}

void PeerTable::OnSent(const std::string& address) {
  ++peers_[address].own_requests;
}

void PeerTable::OnEnded(const std::string& address) {
  const auto found = peers_.find(address);
  if (found != peers_.end() && found->second.own_requests > 0) {
    --found->second.own_requests;
  }
}

void PeerTable::OnRefused(const std::string& address, TimePoint now) {
  const auto found = peers_.find(address);
  if (found != peers_.end()) {
    found->second.refused_until = now + kRefusalDelay;
  }
}

void PeerTable::OnBackoff(const std::string& service,
                          Duration time,
                          TimePoint now) {
  TimePoint& until = backoff_until_[service];
  until = until > now ? std::min(until, now + time) : now + time;
}

Duration PeerTable::BackoffLeft(const std::string& service,
                                TimePoint now) const {
  const auto found = backoff_until_.find(service);
  return found == backoff_until_.end()
             ? Duration::zero()
             : std::max<Duration>(found->second - now, Duration::zero());
}

void PeerTable::Expire(TimePoint now) {
  std::erase_if(peers_, [&](const auto& it) {
    return it.second.own_requests == 0 && !IsHeard(it.first, now);
  });
}

}  // namespace sycamoreford
