#pragma once

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sycamoreford/config/configuration.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/table/table_types.h"

namespace sycamoreford {

/// Result of offering a change or a snapshot to the follower.
enum class OfferResult {
  /// A higher revision is now in force.
  kApplied,
  /// The offer holds nothing new; the revision in force is unchanged.
  kUnchanged,
  /// The change is above the next revision; those in between are missing.
  kGap,
  /// The offer is invalid or its digest does not match; the revision in force
  /// is unchanged.
  kInvalid,
};

/// Decides which configuration is in force in this daemon.
///
/// Only complete, validated and higher revisions come into force; a revision in
/// force is never replaced by a lower one. Does no I/O and reads no clock.
///
/// Thread safety: none; the owner serializes calls.
class ConfigFollower {
 public:
  ConfigFollower();

  /// The configuration in force; never null.
  [[nodiscard]] const ConfigurationPtr& current() const noexcept {
    return current_;
  }

  /// The newest applied changes, oldest first; limited in number.
  [[nodiscard]] const std::vector<v1::Change>& recent_changes() const noexcept {
    return recent_changes_;
  }

  /// Offers one change, from the table or from a peer.
  OfferResult OfferChange(const v1::Change& change);

  /// Offers a snapshot, from the table or from a peer.
  OfferResult OfferSnapshot(const v1::Snapshot& snapshot);

  /// Offers the rows that the read given by `NextRead` returned. A corrupted
  /// snapshot row is skipped.
  ///
  /// \param started time at which the read began.
  /// \returns the revision of the table's head, or `kMalformed` when the head
  ///     cannot be parsed, or a needed change cannot be parsed or applied. In
  ///     the latter case the changes before it are applied, and `NextRead` also
  ///     reads the snapshot.
  Result<Revision> OfferRows(const std::vector<TableRow>& rows,
                             TimePoint started);

  /// Records that some daemon has this revision in force. A read of the table
  /// that shows an older head is stale and does not count as a confirmation.
  void ObserveRevision(Revision revision) noexcept {
    observed_revision_ = std::max(observed_revision_, revision);
  }

  /// The highest revision known to be in force here or at a peer.
  [[nodiscard]] Revision highest_known_revision() const noexcept {
    return std::max(observed_revision_, current_->revision());
  }

  /// Records that the table's head was the revision in force at `when`.
  void Confirm(TimePoint when) noexcept;

  /// The next read of the table that this follower needs to catch up.
  [[nodiscard]] TableRead NextRead() const;

  /// When the revision in force was last confirmed to be the newest; empty
  /// before the first confirmation.
  [[nodiscard]] std::optional<TimePoint> confirmed_at() const noexcept {
    return confirmed_at_;
  }

 private:
  void Install(Configuration next);
  /// Changes sorted by revision, up to the first corrupted row.
  struct ParsedChanges {
    std::vector<v1::Change> changes;
    bool is_complete = true;
  };
  static ParsedChanges ParseChanges(const std::vector<TableRow>& rows);
  [[nodiscard]] Result<Revision> OfferParsed(const ParsedChanges& parsed,
                                             Revision head,
                                             TimePoint started);

  ConfigurationPtr current_;
  std::vector<v1::Change> recent_changes_;
  std::optional<TimePoint> confirmed_at_;
  Revision observed_revision_{};
  /// Set while a change in the table cannot be applied.
  bool needs_snapshot_ = false;
};

/// Serializes a message to the JSON that the table stores.
[[nodiscard]] std::string ToTableJson(const google::protobuf::Message& message);

/// Parses the JSON that the table stores. \returns false when it is malformed.
[[nodiscard]] bool FromTableJson(const std::string& json,
                                 google::protobuf::Message& message);

}  // namespace sycamoreford
