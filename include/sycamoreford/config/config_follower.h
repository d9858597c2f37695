#pragma once

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
    return recent_;
  }

  /// Offers one change, from the table or from a peer.
  OfferResult OfferChange(const v1::Change& change);

  /// Offers a whole snapshot, from the table or from a peer.
  OfferResult OfferSnapshot(const v1::Snapshot& snapshot);

  /// Offers the rows of one read of the table that began at `started`, as
  /// asked for by `NextRead`.
  ///
  /// \returns the revision of the table's head, or `kMalformed` when a row
  ///     can not be parsed; valid rows before it are taken.
  Result<Revision> OfferRows(const std::vector<TableRow>& rows,
                             TimePoint started);

  /// The read that brings this follower up to date.
  [[nodiscard]] TableRead NextRead() const;

  /// When this daemon last knew that the revision in force was the newest;
  /// empty before the first confirmation.
  [[nodiscard]] std::optional<TimePoint> confirmed_at() const noexcept {
    return confirmed_at_;
  }

 private:
  void Install(Configuration next);

  ConfigurationPtr current_;
  std::vector<v1::Change> recent_;
  std::optional<TimePoint> confirmed_at_;
};

/// The JSON form in which a message is kept in the table.
[[nodiscard]] std::string ToTableJson(const google::protobuf::Message& message);

/// Parses the JSON form; false when it is malformed.
[[nodiscard]] bool FromTableJson(const std::string& json,
                                 google::protobuf::Message& message);

}  // namespace sycamoreford
