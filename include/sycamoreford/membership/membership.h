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

/// Decides which daemons there are, from gossip.
///
/// Each daemon makes a statement of itself every interval, under a heartbeat
/// that rises, and sends the freshest statements it knows to one random peer.
/// A statement travels with its age; a higher heartbeat replaces a lower one,
/// so old, doubled and reordered messages change nothing. A member that is
/// silent for long is suspected; its next statement brings it back.
///
/// What relies on the view, and what a wrong view does:
/// - the number of live daemons shares out limits: a daemon missed for a while
///   makes the shares too large by one in that number;
/// - `reported_at` of each member feeds `ServeGate`, which counts the silent
/// ones
///   against the majority, so that a wrong view refuses rather than serves;
/// - addresses spread changes: a wrong one loses a push, and polling repairs.
///
/// No I/O and no clock of its own. Thread safety: none; the owner serializes.
class Membership {
 public:
  /// \param heartbeat above any that this name has used before, such as two
  ///     for each second of the wall clock; a higher one that is met in gossip
  ///     is passed over at once.
  /// \param seed of the choice of peers.
  Membership(MemberInfo self,
             std::uint32_t heartbeat,
             std::uint64_t seed,
             MembershipOptions options = {});

  /// Takes in who a member is, from the table or a peer. An older incarnation
  /// changes nothing.
  ///
  /// \returns `kConflict` when another name has this id, `kTooLarge` when there
  ///     are too many members, `kMalformed` for an empty name.
  Result<void> AddOrUpdateMember(const MemberInfo& info, TimePoint now);

  /// Makes a statement and picks the peer to send to. Call every interval.
  ///
  /// \returns the message, or nothing when no other member is known.
  [[nodiscard]] std::optional<OutgoingMessage> Tick(Instant at,
                                                    const MemberStatus& status);

  /// The message that introduces this daemon to an address outside the view.
  [[nodiscard]] OutgoingMessage JoinMessage(const std::string& address,
                                            Instant at);

  /// Takes a peer's message in.
  ///
  /// \returns the answers to send, or `kMalformed` when the message breaks the
  ///     schema's rules; then nothing of it was taken.
  [[nodiscard]] Result<std::vector<OutgoingMessage>> Receive(
      const v1::PeerMessage& message,
      Instant at);

  /// The last message before a planned exit, to `push_fan_out` peers.
  [[nodiscard]] std::vector<OutgoingMessage> Leave(Instant at,
                                                   MemberStatus status);

  /// Random live peers to pass a change on to; their addresses.
  [[nodiscard]] std::vector<std::string> PushTargets(TimePoint now);

  /// All other known members, in no given order; those that left are absent.
  [[nodiscard]] std::vector<MemberState> OtherMembers(TimePoint now) const;

  /// Number of live daemons, this one included.
  [[nodiscard]] std::size_t LiveCount(TimePoint now) const;

  /// Drops members that were silent for `remove_after`.
  ///
  /// Precondition: the table is in reach; a part of the daemons that is cut off
  /// must go on to count the others.
  ///
  /// \returns the names dropped.
  std::vector<std::string> RemoveSilentMembers(TimePoint now);

  /// Whether this daemon has the lowest id of all live ones, and so tidies the
  /// table's list. Two may think so for a while; tidying twice is harmless.
  [[nodiscard]] bool HasLowestLiveId(TimePoint now) const;

  /// Number of known daemons, this one included, also the silent ones.
  [[nodiscard]] std::size_t members_known() const;

  /// The largest such number that a peer has told of in the last seconds.
  [[nodiscard]] std::size_t max_members_known() const noexcept {
    return max_members_known_;
  }

  /// An empty message of this daemon to an address.
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
  /// Renews the partners and picks one; null when nobody else is alive.
  [[nodiscard]] const Record* PickGossipPeer(TimePoint now);
  /// A member that is silent, now and then, so that parted groups meet again.
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
