#pragma once

#include <chrono>
#include <cstddef>

namespace sycamoreford {

/// Parameters of the gossip among daemons. With the defaults a daemon sends and
/// receives about two messages per second of at most about 600 bytes each.
struct MembershipOptions {
  /// Time between two gossip messages of a daemon.
  std::chrono::milliseconds interval{500};
  /// Maximum number of status reports in one message; the newest are sent.
  std::size_t max_reports = 44;
  /// A member is suspected when there is no new report about it for
  /// `suspicion_base` plus `suspicion_per_member` for each known member.
  std::chrono::milliseconds suspicion_base{10'000};
  std::chrono::milliseconds suspicion_per_member{130};
  /// A member without reports is removed after this time, while the table is
  /// reachable.
  std::chrono::milliseconds remove_after{3'600'000};
  /// Gossip from a sender whose wall clock is further ahead is dropped.
  std::chrono::milliseconds max_clock_skew{1'000};
  /// Maximum number of introductions in one message (`members` of
  /// `PeerMessage`), and of requests for them (`unknown_ids`).
  std::size_t max_introductions = 16;
  /// Maximum number of known members.
  std::size_t max_members = 4'096;
  /// Maximum size of the set of live peers that a daemon gossips with, kept
  /// small so that connections are reused.
  std::size_t max_gossip_peers = 8;
  /// Number of intervals after which one gossip peer is replaced by another.
  std::size_t gossip_peer_intervals = 30;
  /// Number of peers that each daemon pushes a new change to.
  std::size_t push_fan_out = 3;
};

}  // namespace sycamoreford
