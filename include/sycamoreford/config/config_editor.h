#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/config/config_follower.h"
#include "sycamoreford/config/config_keys.h"
#include "sycamoreford/table/table_client.h"

namespace sycamoreford {

/// Who asks for a change, when and why.
struct ChangeOrigin {
  std::string author;
  std::chrono::system_clock::time_point time;
  std::string note;
  /// Unique to this attempt over all daemons.
  std::string write_id;
};

/// What an operator asks for.
struct ChangeRequest {
  std::vector<v1::Edit> edits;
  /// Revision that the operator looked at; 0 makes no demand.
  Revision expected{};
  bool dry_run = false;
};

/// Writes operators' changes to the table.
///
/// A change is accepted when its transaction is durable in the table; a lost
/// answer is settled by reading the change back by its write id. The head row
/// is the compare-and-set point: each change follows exactly the revision it
/// was checked against.
///
/// Thread safety: none; the owner serializes calls.
template <TableClient Table>
class ConfigEditor {
 public:
  /// Precondition: `table` outlives this object.
  explicit ConfigEditor(Table& table) : table_(table) {}

  /// Applies a change on top of the newest revision in the table.
  ///
  /// \param follower brought up to date with the table on the way.
  /// \param now time at which the call starts.
  /// \returns the accepted change; in a dry run the change that would be made.
  ///     Errors: `kConflict` when `expected` is not the newest revision or
  ///     another change came first; validation errors of
  ///     `Configuration::Apply`; `kTableUnavailable` (not accepted);
  ///     `kTableAnswerLost` (unknown) when reading back failed as well.
  boost::asio::awaitable<Result<v1::Change>> Apply(ConfigFollower& follower,
                                                   const ChangeRequest& request,
                                                   const ChangeOrigin& origin,
                                                   TimePoint now) {
    auto caught_up = co_await CatchUp(follower, now);
    if (!caught_up) {
      co_return caught_up.error();
    }
    const Revision head = follower.current()->revision();
    if (request.expected != Revision() && request.expected != head) {
      co_return Failure{.code = Errc::kConflict, .where = "expected_revision"};
    }
    v1::Change change = MakeChange(head, request, origin);
    Result<Configuration> next = follower.current()->Apply(change);
    if (!next) {
      co_return next.error();
    }
    change.set_digest(next->digest());
    if (request.dry_run) {
      co_return change;
    }
    co_return co_await Write(follower, *next, change, now);
  }

 private:
  /// Changes between two snapshot rows.
  static constexpr std::uint64_t kSnapshotInterval = 64;
  static constexpr int kReadBackTries = 3;

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
    for (;;) {
      const Revision before = follower.current()->revision();
      auto rows = co_await table_.Read(follower.NextRead());
      if (!rows) {
        co_return rows.error();
      }
      auto head = follower.OfferRows(*rows, now);
      if (!head) {
        co_return head.error();
      }
      if (*head <= follower.current()->revision()) {
        head_version_ = VersionOf(*rows, kConfigHeadKey);
        co_return *head;
      }
      if (follower.current()->revision() == before) {
        co_return Failure{.code = Errc::kMalformed, .where = "config changes"};
      }
    }
  }

  static std::uint64_t VersionOf(const std::vector<TableRow>& rows,
                                 const std::string& key) {
    for (const TableRow& row : rows) {
      if (row.key == key) {
        return row.version;
      }
    }
    return 0;
  }

  boost::asio::awaitable<Result<v1::Change>> Write(ConfigFollower& follower,
                                                   const Configuration& next,
                                                   const v1::Change& change,
                                                   TimePoint now) {
    TableTransaction transaction;
    const std::string key = ConfigChangeKey(next.revision());
    transaction.conditions.push_back({kConfigHeadKey, head_version_});
    transaction.conditions.push_back({key, 0});
    transaction.writes.push_back(
        {kConfigHeadKey, std::to_string(next.revision().value())});
    transaction.writes.push_back({key, ToTableJson(change)});
    if (next.revision().value() % kSnapshotInterval == 0) {
      transaction.writes.push_back(
          {kConfigSnapshotKey, ToTableJson(next.ToSnapshot())});
    }
    auto committed = co_await table_.Commit(transaction);
    if (committed && *committed) {
      follower.OfferChange(change);
      co_return change;
    }
    if (!committed && committed.error().code != Errc::kTableAnswerLost) {
      co_return committed.error();
    }
    co_return co_await ReadBack(follower, change, now, committed.has_value());
  }

  /// Settles a write that was refused or whose answer was lost.
  boost::asio::awaitable<Result<v1::Change>> ReadBack(ConfigFollower& follower,
                                                      const v1::Change& change,
                                                      TimePoint now,
                                                      bool refused) {
    const std::string key = ConfigChangeKey(Revision(change.revision()));
    TableRead read;
    read.keys.push_back(key);
    for (int i = 0; i < kReadBackTries; ++i) {
      auto rows = co_await table_.Read(read);
      if (!rows) {
        continue;
      }
      v1::Change found;
      const bool taken =
          !rows->empty() && FromTableJson(rows->front().value, found);
      if (taken && found.write_id() == change.write_id()) {
        (void)co_await CatchUp(follower, now);
        co_return change;
      }
      if (taken || refused) {
        (void)co_await CatchUp(follower, now);
        co_return Failure{.code = Errc::kConflict, .where = "revision"};
      }
      // The row is absent: the write may still be under way. Taking the row
      // under the same condition settles whether it can ever take effect.
      auto fenced = co_await Fence();
      if (fenced && *fenced) {
        co_return Failure{.code = Errc::kTableUnavailable, .where = "table"};
      }
    }
    co_return Failure{.code = Errc::kTableAnswerLost,
                      .outcome = Outcome::kUnknown,
                      .where = "table"};
  }

  /// Rewrites the head row with its own value, so that a delayed write under
  /// the old version can no longer take effect.
  boost::asio::awaitable<Result<bool>> Fence() {
    TableRead read;
    read.keys.emplace_back(kConfigHeadKey);
    auto rows = co_await table_.Read(read);
    if (!rows) {
      co_return rows.error();
    }
    const std::uint64_t version = VersionOf(*rows, kConfigHeadKey);
    if (version != head_version_) {
      co_return false;
    }
    TableTransaction rewrite;
    rewrite.conditions.push_back({kConfigHeadKey, version});
    rewrite.writes.push_back(
        {kConfigHeadKey, rows->empty() ? "0" : rows->front().value});
    co_return co_await table_.Commit(rewrite);
  }

  Table& table_;
  std::uint64_t head_version_ = 0;
};

}  // namespace sycamoreford
