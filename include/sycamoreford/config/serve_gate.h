#pragma once

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// The newest status report of a peer that is known here.
struct PeerStatus {
  /// Lower bound of the time of the report; empty when none was ever received.
  std::optional<TimePoint> reported_at{};
  /// Revision in force at the peer.
  Revision revision{};
  /// Whether the peer could reach the table.
  bool table_reachable = false;
  /// Whether the peer guarantees that no change above its revision was
  /// announced to it. It cannot guarantee this right after a start, as it may
  /// have acknowledged an announcement before the restart.
  bool guarantees_no_newer_change = false;
};

/// What a daemon knows about itself.
struct LocalStatus {
  /// Revision in force here.
  Revision revision{};
  /// When the table's head was last confirmed to be that revision.
  std::optional<TimePoint> confirmed_at{};
  /// Whether a change above the revision in force was announced here, or is in
  /// force elsewhere.
  bool is_behind = false;
  /// As for `PeerStatus`.
  bool guarantees_no_newer_change = false;
  /// Number of daemons in the largest membership view that a peer reported,
  /// this daemon included.
  std::size_t max_members_known = 1;
};

/// Why a daemon may or may not accept new requests.
enum class ServeReason {
  /// It read the table's head recently and has that revision in force.
  kConfirmed,
  /// A majority of the daemons cannot reach the table, and none of them has a
  /// higher revision.
  kTableDownForAll,
  /// It has no configuration yet.
  kNoConfiguration,
  /// It knows of a higher revision than the one it has in force.
  kBehind,
  /// It cannot tell whether a higher revision was accepted.
  kUnconfirmed,
};

/// Name of a reason in logs, for example `table_down_for_all`.
[[nodiscard]] std::string_view ToString(ServeReason reason) noexcept;

/// A decision of `ServeGate`.
struct ServeDecision {
  ServeReason reason = ServeReason::kUnconfirmed;
  /// New requests may be accepted until this time; empty when they may not.
  std::optional<TimePoint> until{};
};

/// Decides whether a daemon may accept new requests with the configuration that
/// it has in force, and how many peers have to acknowledge a change.
///
/// The two rules rely on each other. A change is announced before it is written
/// to the table, and a majority of the known daemons has to acknowledge the
/// announcement. A daemon that cannot reach the table serves only while it has
/// status reports of a majority, none older than `grace`, that guarantee that
/// no change was announced. Any two majorities of the same set share a member.
/// Once that member has acknowledged the announcement, its reports no longer
/// give the guarantee, so a daemon serves with the old configuration for at
/// most `grace` after the change was accepted.
///
/// Known limits:
/// - While daemons are being added, their views may differ, and majorities of
///   different sets need not share a member.
/// - Wall clocks that differ make reports seem younger by the difference, at
///   each hop.
/// - A machine whose clocks stop while it is suspended needs one tick to
///   notice.
///
/// Does no I/O and reads no clock. Thread safe: immutable.
class ServeGate {
 public:
  /// \param grace maximum age of a confirmation or a status report.
  explicit ServeGate(Duration grace) : grace_(grace) {}

  /// \param peers all other known daemons, including suspected ones.
  [[nodiscard]] ServeDecision Decide(
      TimePoint now,
      const LocalStatus& local,
      const std::vector<PeerStatus>& peers) const;

  /// Number of peers that form a majority together with this daemon.
  [[nodiscard]] static std::size_t PeersForMajority(std::size_t members_known) {
    return members_known / 2;
  }

 private:
  [[nodiscard]] ServeDecision DecideByPeers(
      TimePoint now,
      const LocalStatus& local,
      const std::vector<PeerStatus>& peers) const;

  Duration grace_;
};

}  // namespace sycamoreford
