#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/failure.h"
#include "sycamoreford/membership/instant.h"
#include "sycamoreford/membership/member_info.h"
#include "sycamoreford/membership/member_state.h"
#include "sycamoreford/membership/membership_options.h"
#include "sycamoreford/membership/outgoing_message.h"

namespace sycamoreford {

/// Gossip-based membership and failure detection among daemons.
///
/// In each interval a daemon makes a status report about itself, with an
/// increasing heartbeat number, and sends the newest reports it knows to one
/// random peer. A report is sent with its age. A report with a higher heartbeat
/// replaces one with a lower, so old, duplicate and reordered messages have no
/// effect. A member without new reports for the suspicion timeout is suspected;
/// its next report makes it alive again.
///
/// Uses of the membership view, and the effect of a wrong view:
/// - Limits are divided by the number of live daemons. With `n` live daemons
///   counted, missing one makes each share too large by `1/n`.
/// - `ServeGate` uses `reported_at` of each member and counts suspected ones
///   against the majority, so a wrong view makes it refuse rather than serve.
/// - Changes are pushed to the addresses of members. A push to a wrong address
///   is lost, and polling makes up for it.
///
/// Does no I/O and reads no clock. Thread safety: none; the owner serializes
/// calls.
class Membership {
 public:
  /// \param heartbeat initial heartbeat; higher than any that a daemon of this
  ///     name has used, for example two for each second of the wall clock. If
  ///     gossip shows a higher one, the count continues from there.
  /// \param seed for the random choice of peers.
  Membership(MemberInfo self,
             std::uint32_t heartbeat,
             std::uint64_t seed,
             MembershipOptions options = {});

  /// Adds or updates a member, from the table or from a peer. An older
  /// incarnation has no effect.
  ///
  /// \returns `kConflict` when another name has this id, `kTooLarge` when there
  ///     are too many members, `kMalformed` for an empty name or address.
  Result<void> AddOrUpdateMember(const MemberInfo& info, TimePoint now);

  /// Makes a status report and picks the peer to send it to. Call every
  /// interval.
  ///
  /// \returns the message, or nothing when no other member is known.
  [[nodiscard]] std::optional<OutgoingMessage> Tick(Instant at,
                                                    const MemberStatus& status);

  /// A message that introduces this daemon to an address that need not belong
  /// to a known member.
  [[nodiscard]] OutgoingMessage JoinMessage(const std::string& address,
                                            Instant at);

  /// Handles a peer's message.
  ///
  /// \returns the answers to send, or `kMalformed` when the message violates
  ///     the schema's rules; then no part of it was applied.
  [[nodiscard]] Result<std::vector<OutgoingMessage>> Receive(
      const v1::PeerMessage& message,
      Instant at);

  /// The last messages before a planned exit, to `push_fan_out` peers.
  [[nodiscard]] std::vector<OutgoingMessage> Leave(Instant at,
                                                   MemberStatus status);

  /// Addresses of random live peers to push a change to.
  [[nodiscard]] std::vector<std::string> PushTargets(TimePoint now);

  /// All other known members in unspecified order, except those that left.
  [[nodiscard]] std::vector<MemberState> OtherMembers(TimePoint now) const;

  /// Number of live daemons, this one included.
  [[nodiscard]] std::size_t LiveCount(TimePoint now) const;

  /// Removes members without a report for `remove_after`.
  ///
  /// Precondition: the table is reachable. Daemons that are cut off from it
  /// must keep counting the others.
  ///
  /// \returns the names of the removed members.
  std::vector<std::string> RemoveSilentMembers(TimePoint now);

  /// Whether this daemon has the lowest id of all live ones. That daemon
  /// removes outdated rows from the list of daemons in the table. Two daemons
  /// may both see themselves as the lowest for a while; removing a row twice is
  /// harmless.
  [[nodiscard]] bool HasLowestLiveId(TimePoint now) const;

  /// Number of known daemons, including this one and suspected ones.
  [[nodiscard]] std::size_t members_known() const;

  /// The largest `members_known()` that a peer reported recently, within about
  /// `suspicion_base`.
  [[nodiscard]] std::size_t max_members_known() const noexcept {
    return max_members_known_;
  }

  /// A message from this daemon to an address, with only the header fields set.
  [[nodiscard]] OutgoingMessage MessageTo(const std::string& address) const;

  [[nodiscard]] const MemberInfo& self() const noexcept { return self_; }

 private:
  struct Record {
    MemberInfo info;
    MemberStatus status;
    std::uint32_t heartbeat = 0;
    std::optional<TimePoint> reported_at{};
    TimePoint added_at{};
  };

  [[nodiscard]] v1::PeerMessage MakeMessage(Instant at) const;
  [[nodiscard]] Duration SuspicionTimeout() const;
  [[nodiscard]] bool IsAlive(const Record& record, TimePoint now) const;
  [[nodiscard]] std::vector<const Record*> LiveMembers(TimePoint now) const;
  /// Refreshes the set of gossip peers and picks one; null when no other member
  /// is alive.
  [[nodiscard]] const Record* PickGossipPeer(TimePoint now);
  /// Picks a suspected member in every 8th interval, or in each one while no
  /// other member is alive, so that the sides of a healed network partition
  /// find each other again; null otherwise.
  [[nodiscard]] const Record* PickSuspectedPeer(TimePoint now);
  void ApplyReport(MemberId id,
                   std::uint32_t heartbeat,
                   TimePoint reported_at,
                   const MemberStatus& status);
  void ApplyGossip(const v1::PeerMessage& message, Instant at);
  void FillAnswer(const v1::PeerMessage& message,
                  OutgoingMessage& answer) const;

  MemberInfo self_;
  MemberId self_id_;
  MembershipOptions options_;
  std::uint32_t heartbeat_;
  MemberStatus status_;
  std::map<MemberId, Record> records_;
  std::vector<MemberId> gossip_peers_;
  std::size_t ticks_ = 0;
  std::size_t max_members_known_ = 0;
  TimePoint max_members_known_at_{};
  std::mt19937_64 random_;
};

}  // namespace sycamoreford
