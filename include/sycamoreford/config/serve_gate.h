#pragma once

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// The newest statement of one daemon, as far as it is known here.
struct PeerStatement {
  /// No later than when the daemon made the statement; empty when it was never
  /// heard of.
  std::optional<TimePoint> made_at{};
  /// Revision that it had in force.
  Revision revision{};
  /// Whether it reached the table then.
  bool table_reachable = false;
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
/// The two sides lean on one another. A daemon without the table serves only
/// on statements of a majority, none older than the grace. A change is accepted
/// only by a daemon that hears from a majority, which is sent the change at
/// once. Two majorities of one set of daemons share a member, whose statement
/// after it took the change shows a higher revision.
///
/// What remains: the daemons' views may differ while daemons are new or have
/// been forgotten, and then two majorities need not share a member; a majority
/// may lose the push and not be polling; a machine whose monotonic clock stops
/// while it is suspended sees statements as younger than they are.
///
/// No I/O and no clock of its own. Thread safe: immutable.
class ServeGate {
 public:
  /// \param grace longest age of a confirmation or a statement.
  explicit ServeGate(Duration grace) : grace_(grace) {}

  /// \param revision in force here. \param confirmed_at when the table's head
  ///     was last known to be it. \param peers all other known daemons, also
  ///     those never heard of or silent.
  [[nodiscard]] ServeDecision Decide(
      TimePoint now,
      Revision revision,
      std::optional<TimePoint> confirmed_at,
      const std::vector<PeerStatement>& peers) const;

  /// Whether a majority of the known daemons, this one included, is heard.
  [[nodiscard]] bool HearsMajority(
      TimePoint now,
      const std::vector<PeerStatement>& peers) const;

 private:
  [[nodiscard]] bool IsFresh(TimePoint now, const PeerStatement& peer) const;
  [[nodiscard]] ServeDecision DecideByPeers(
      TimePoint now,
      Revision revision,
      const std::vector<PeerStatement>& peers) const;

  Duration grace_;
};

}  // namespace sycamoreford
