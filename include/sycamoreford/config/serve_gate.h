#pragma once

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// The newest statement of one daemon, as far as it is known here.
struct PeerStatus {
  /// No later than when the daemon made the statement; empty when it was never
  /// heard of.
  std::optional<TimePoint> reported_at{};
  /// Revision that it had in force.
  Revision revision{};
  /// Whether it reached the table then.
  bool table_reachable = false;
  /// Whether it vouched that no change above its revision had been announced
  /// to it. A daemon that has just started can't: its former life may have
  /// acknowledged an announcement.
  bool guarantees_no_newer_change = false;
};

/// What a daemon knows of itself.
struct LocalStatus {
  /// Revision in force here.
  Revision revision{};
  /// When the table's head was last known to be that revision.
  std::optional<TimePoint> confirmed_at{};
  /// Whether a change above the revision in force was announced here, or is in
  /// force elsewhere.
  bool is_behind = false;
  /// As for `PeerStatus`.
  bool guarantees_no_newer_change = false;
  /// Number of daemons that there are by the largest view heard of, this one
  /// included.
  std::size_t max_members_known = 1;
};

/// Why a daemon may or may not take new requests.
enum class ServeReason {
  /// It read the table's head itself, and has that revision in force.
  kConfirmed,
  /// A majority of the daemons can't reach the table either, and none of them
  /// has a higher revision.
  kTableDownForAll,
  /// It has never had a configuration.
  kNoConfiguration,
  /// It knows of a higher revision than the one in force here.
  kBehind,
  /// It can't tell whether a higher revision was accepted.
  kUnconfirmed,
};

/// Name of a reason in logs, for example `table_down_for_all`.
[[nodiscard]] std::string_view ToString(ServeReason reason) noexcept;

/// A decision of the gate.
struct ServeDecision {
  ServeReason reason = ServeReason::kUnconfirmed;
  /// New requests may be taken before this time; empty for not at all.
  std::optional<TimePoint> until{};
};

/// Decides whether a daemon may go on to take new requests on the
/// configuration that it has in force, and whether it may accept a change.
///
/// The two sides lean on one another. Before a change is written to the table
/// it is announced, and a majority of the known daemons acknowledges that. A
/// daemon without the table serves only on statements of a majority, none older
/// than the grace, which vouch that no change was announced. Two majorities of
/// one set share a member; its statement of after the announcement stops the
/// daemon, so it serves on at most one grace after the change was accepted.
///
/// What remains: the views of daemons may differ while some are new, and two
/// majorities of different sets need not share a member; wall clocks that
/// differ make statements seem younger by the difference at each hop; a machine
/// whose clocks stop while it is suspended needs one tick to notice.
///
/// No I/O and no clock of its own. Thread safe: immutable.
class ServeGate {
 public:
  /// \param grace longest age of a confirmation or a statement.
  explicit ServeGate(Duration grace) : grace_(grace) {}

  /// \param peers all other known daemons, also the silent ones.
  [[nodiscard]] ServeDecision Decide(
      TimePoint now,
      const LocalStatus& local,
      const std::vector<PeerStatus>& peers) const;

  /// Daemons besides this one that make a majority with it.
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
