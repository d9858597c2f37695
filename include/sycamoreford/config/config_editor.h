#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/config/config_follower.h"
#include "sycamoreford/config/config_keys.h"
#include "sycamoreford/config/read_config.h"
#include "sycamoreford/table/table_client.h"

namespace sycamoreford {

/// Author, time and reason of a change.
struct ChangeOrigin {
  std::string author;
  std::chrono::system_clock::time_point time;
  std::string note;
  /// Identifies this attempt to write the change; unique across all daemons.
  std::string write_id;
};

/// A change requested by an operator.
struct ChangeRequest {
  std::vector<v1::Edit> edits;
  /// Revision that the change is based on; a different newest revision is a
  /// conflict. 0 disables the check.
  Revision expected_revision{};
  bool dry_run = false;
};

/// Writes operators' changes to the table.
///
/// A change is accepted when its transaction is durable in the table. Each
/// transaction compares and sets the head row, so that a change directly
/// follows the revision it was validated against. Row versions are never
/// reused, so a write that is conditional on an old version of the head can
/// never take effect.
///
/// When the answer to a commit is lost, one consistent read of the change's row
/// and the head row resolves the outcome:
/// - The change's row exists: its content shows whether it is this change.
/// - The row is absent and the head has a newer version: the write can no
///   longer take effect.
/// - The row is absent and the head is unchanged: the write may still take
///   effect, so the head row is rewritten first, which makes that impossible.
///
/// Thread safety: none; the owner serializes calls. One change at a time.
template <TableClient Table>
class ConfigEditor {
 public:
  /// Precondition: `table` outlives this object.
  explicit ConfigEditor(Table& table) : table_(table) {}

  /// Builds and validates the change on top of the newest revision in the
  /// table.
  ///
  /// \param follower is brought up to date with the table.
  /// \param now time at which the call starts.
  /// \returns the change as it would be written. Errors: `kConflict` when
  ///     `expected_revision` is not the newest revision; validation errors of
  ///     `Configuration::Apply`; `kTableUnavailable`; `kMalformed`.
  boost::asio::awaitable<Result<v1::Change>> Prepare(
      ConfigFollower& follower,
      const ChangeRequest& request,
      const ChangeOrigin& origin,
      TimePoint now) {
    auto caught_up = co_await CatchUp(follower, now);
    if (!caught_up) {
      co_return caught_up.error();
    }
    const Revision head = follower.current()->revision();
    if (request.expected_revision != Revision() &&
        request.expected_revision != head) {
      co_return Failure{.code = Errc::kConflict, .where = "expected_revision"};
    }
    v1::Change change = MakeChange(head, request, origin);
    Result<Configuration> next = follower.current()->Apply(change);
    if (!next) {
      co_return next.error();
    }
    change.set_digest(next->digest());
    pending_ = change;
    next_configuration_ = std::move(*next);
    co_return change;
  }

  /// Writes the change that `Prepare` made.
  ///
  /// Precondition: `Prepare` returned a change.
  /// \returns the accepted change. Errors: `kConflict` when another change
  ///     was accepted first; `kTableUnavailable` (certainly not accepted);
  ///     `kTableAnswerLost` (outcome unknown) when reading the table back
  ///     failed as well: call `ResolveOutcome` until it returns anything else.
  boost::asio::awaitable<Result<v1::Change>> Commit(ConfigFollower& follower,
                                                    TimePoint now) {
    co_return co_await Write(follower, next_configuration_, now);
  }

  /// `Prepare`, and `Commit` unless it is a dry run.
  boost::asio::awaitable<Result<v1::Change>> Apply(ConfigFollower& follower,
                                                   const ChangeRequest& request,
                                                   const ChangeOrigin& origin,
                                                   TimePoint now) {
    auto change = co_await Prepare(follower, request, origin, now);
    if (!change || request.dry_run) {
      co_return change;
    }
    co_return co_await Commit(follower, now);
  }

  /// Finds out whether a change of unknown outcome was accepted, and prevents
  /// it from being accepted later when it was not. Returns as `Commit`.
  ///
  /// Precondition: `Commit` returned `kTableAnswerLost`.
  boost::asio::awaitable<Result<v1::Change>> ResolveOutcome(
      ConfigFollower& follower,
      TimePoint now) {
    for (int i = 0; i < kMaxReadBackAttempts; ++i) {
      auto resolved = co_await ReadBack(follower, now);
      if (resolved || resolved.error().code != Errc::kTableAnswerLost) {
        co_return resolved;
      }
    }
    co_return UnknownOutcome();
  }

 private:
  /// The snapshot row is rewritten once in this many revisions.
  static constexpr std::uint64_t kSnapshotInterval = 64;
  static constexpr int kMaxReadBackAttempts = 3;

  static Failure UnknownOutcome() {
    return {.code = Errc::kTableAnswerLost,
            .outcome = Outcome::kUnknown,
            .where = "table"};
  }

  static v1::Change MakeChange(Revision head,
                               const ChangeRequest& request,
                               const ChangeOrigin& origin) {
    v1::Change change;
    change.set_revision(head.value() + 1);
    change.set_author(origin.author);
    change.set_time_us(std::chrono::duration_cast<std::chrono::microseconds>(
                           origin.time.time_since_epoch())
                           .count());
    change.set_note(origin.note);
    change.set_write_id(origin.write_id);
    for (const v1::Edit& edit : request.edits) {
      *change.add_edits() = edit;
    }
    return change;
  }

  boost::asio::awaitable<Result<Revision>> CatchUp(ConfigFollower& follower,
                                                   TimePoint now) {
    auto head = co_await ReadConfig(table_, follower, now);
    if (!head) {
      co_return head.error();
    }
    head_version_ = head->version;
    co_return head->revision;
  }

  static const TableRow* FindRow(const std::vector<TableRow>& rows,
                                 const std::string& key) {
    for (const TableRow& row : rows) {
      if (row.key == key) {
        return &row;
      }
    }
    return nullptr;
  }

  static std::uint64_t VersionOf(const std::vector<TableRow>& rows,
                                 const std::string& key) {
    const TableRow* row = FindRow(rows, key);
    return row == nullptr ? 0 : row->version;
  }

  boost::asio::awaitable<Result<v1::Change>> Write(ConfigFollower& follower,
                                                   const Configuration& next,
                                                   TimePoint now) {
    TableTransaction transaction;
    const std::string key = ConfigChangeKey(next.revision());
    transaction.conditions.push_back({kConfigHeadKey, head_version_});
    transaction.conditions.push_back({key, 0});
    transaction.writes.push_back(
        {kConfigHeadKey, std::to_string(next.revision().value())});
    transaction.writes.push_back({key, ToTableJson(pending_)});
    if (next.revision().value() % kSnapshotInterval == 0) {
      transaction.writes.push_back(
          {kConfigSnapshotKey, ToTableJson(next.ToSnapshot())});
    }
    auto committed = co_await table_.Commit(transaction);
    if (committed && *committed) {
      follower.OfferChange(pending_);
      co_return pending_;
    }
    if (committed) {
      (void)co_await CatchUp(follower, now);
      co_return Failure{.code = Errc::kConflict, .where = "revision"};
    }
    if (committed.error().code != Errc::kTableAnswerLost) {
      co_return committed.error();
    }
    co_return co_await ResolveOutcome(follower, now);
  }

  /// Makes one attempt to find out whether the pending change was accepted.
  boost::asio::awaitable<Result<v1::Change>> ReadBack(ConfigFollower& follower,
                                                      TimePoint now) {
    const std::string key = ConfigChangeKey(Revision(pending_.revision()));
    TableRead read;
    read.keys = {kConfigHeadKey, key};
    auto rows = co_await table_.Read(read);
    if (!rows) {
      co_return UnknownOutcome();
    }
    if (const TableRow* row = FindRow(*rows, key)) {
      const bool is_ours = row->value == ToTableJson(pending_);
      if (is_ours) {
        follower.OfferChange(pending_);
      }
      (void)co_await CatchUp(follower, now);
      if (is_ours) {
        co_return pending_;
      }
      co_return Failure{.code = Errc::kConflict, .where = "revision"};
    }
    const TableRow* head = FindRow(*rows, kConfigHeadKey);
    const std::uint64_t version = VersionOf(*rows, kConfigHeadKey);
    if (version < head_version_) {
      // A stale read that shows the table before the write proves nothing.
      co_return UnknownOutcome();
    }
    if (version > head_version_) {
      co_return Failure{.code = Errc::kTableUnavailable, .where = "table"};
    }
    TableTransaction fencing_write;
    fencing_write.conditions.push_back({kConfigHeadKey, head_version_});
    fencing_write.writes.push_back(
        {kConfigHeadKey, head == nullptr ? "0" : head->value});
    auto fenced = co_await table_.Commit(fencing_write);
    if (fenced && *fenced) {
      co_return Failure{.code = Errc::kTableUnavailable, .where = "table"};
    }
    co_return UnknownOutcome();
  }

  Table& table_;
  std::uint64_t head_version_ = 0;
  v1::Change pending_;
  Configuration next_configuration_;
};

}  // namespace sycamoreford
