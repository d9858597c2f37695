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

/// What an offer to the follower did.
enum class OfferResult {
  /// A higher revision is now in force.
  kApplied,
  /// Nothing new; the present revision stays.
  kUnchanged,
  /// The offer starts above the next revision; changes between are missing.
  kGap,
  /// The offer is not valid or its digest differs; the present revision stays.
  kInvalid,
};

/// Decides which configuration is in force in this daemon.
///
/// Only higher revisions are taken, whole and validated; a revision once in
/// force is never replaced by a lower one. No I/O and no clock of its own.
///
/// Thread safety: none; the owner serializes calls.
class ConfigFollower {
 public:
  ConfigFollower();

  /// The configuration in force; never null.
  [[nodiscard]] const ConfigurationPtr& current() const noexcept {
    return current_;
  }

  /// The newest changes applied, oldest first; bounded in number.
  [[nodiscard]] const std::vector<v1::Change>& recent_changes() const noexcept {
    return recent_changes_;
  }

  /// Offers one change, from the table or from a peer.
  OfferResult OfferChange(const v1::Change& change);

  /// Offers a whole snapshot, from the table or from a peer.
  OfferResult OfferSnapshot(const v1::Snapshot& snapshot);

  /// Offers the rows of one read of the table that began at `started`, as
  /// asked for by `NextRead`. A corrupted snapshot row is passed over.
  ///
  /// \returns the revision of the table's head, or `kMalformed` when the head
  ///     or a needed change can not be parsed or does not follow; the changes
  ///     before it are taken, and `NextRead` asks for the snapshot.
  Result<Revision> OfferRows(const std::vector<TableRow>& rows,
                             TimePoint started);

  /// Notes that a daemon has this revision in force. A read of the table that
  /// shows an older head is stale and confirms nothing.
  void ObserveRevision(Revision revision) noexcept {
    observed_revision_ = std::max(observed_revision_, revision);
  }

  /// The highest revision heard of, in force here or elsewhere.
  [[nodiscard]] Revision highest_known_revision() const noexcept {
    return std::max(observed_revision_, current_->revision());
  }

  /// Notes that the table's head was the revision in force at `when`.
  void Confirm(TimePoint when) noexcept;

  /// The read that brings this follower up to date.
  [[nodiscard]] TableRead NextRead() const;

  /// When this daemon last knew that the revision in force was the newest;
  /// empty before the first confirmation.
  [[nodiscard]] std::optional<TimePoint> confirmed_at() const noexcept {
    return confirmed_at_;
  }

 private:
  void Install(Configuration next);
  /// Parses the rows of changes, sorted by revision; stops before the first
  /// that is corrupted.
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
  /// Set while a change in the table can not be taken.
  bool needs_snapshot_ = false;
};

/// The JSON form in which a message is kept in the table.
[[nodiscard]] std::string ToTableJson(const google::protobuf::Message& message);

/// Parses the JSON form; false when it is malformed.
[[nodiscard]] bool FromTableJson(const std::string& json,
                                 google::protobuf::Message& message);

}  // namespace sycamoreford
