#pragma once

#include <chrono>
#include <cstddef>

namespace sycamoreford {

/// Bounds of the gossip among daemons. With the defaults a daemon sends and
/// takes about two messages a second of at most some 600 bytes.
struct MembershipOptions {
  /// Time between two messages that a daemon sends.
  std::chrono::milliseconds interval{500};
  /// Most statements in one message; the freshest are sent.
  std::size_t max_reports = 44;
  /// A member is suspected after `suspicion_base` and `suspicion_per_member`
  /// for each known member without a new statement.
  std::chrono::milliseconds suspicion_base{10'000};
  std::chrono::milliseconds suspicion_per_member{130};
  /// A silent member is forgotten after this time, while the table is in reach.
  std::chrono::milliseconds remove_after{3'600'000};
  /// Gossip of a sender whose wall clock is further ahead is dropped.
  std::chrono::milliseconds max_clock_skew{1'000};
  /// Most introductions, or asks for them, in one message.
  std::size_t max_introductions = 16;
  /// Most members that are kept.
  std::size_t max_members = 4'096;
  /// Peers that a daemon sends its gossip to by turns, over kept connections.
  std::size_t max_gossip_peers = 8;
  /// Intervals until one partner is replaced by another.
  std::size_t gossip_peer_intervals = 30;
  /// Peers that each daemon passes a new change on to.
  std::size_t push_fan_out = 3;
};

}  // namespace sycamoreford
