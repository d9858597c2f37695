#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/claim/claim.h"
#include "sycamoreford/table/table_client.h"

namespace sycamoreford {

/// The right to run a piece of work, or the answer it already had.
struct ClaimGrant {
  std::string row_key;
  std::uint64_t version = 0;
  Claim claim;
  /// Set when the work has ended before; it must not run again.
  std::optional<ClaimAnswer> replay{};
};

/// Takes and ends claims in the table, so that work under one idempotency key
/// runs at most once over all daemons.
///
/// Thread safety: as for `Table`; holds no state of its own.
template <TableClient Table>
class ClaimStore {
 public:
  /// Precondition: `table` outlives this object.
  explicit ClaimStore(Table& table) : table_(table) {}

  /// Takes the claim before the work is dispatched.
  ///
  /// \param claim state `kTaken`; `write_id` unique over all daemons.
  /// \param now wall-clock time.
  /// \returns a grant; when it holds a replay the work must not run. Errors,
  ///     all with outcome `kNotRun` for this call: `kIdempotencyKeyReused`,
  ///     `kInProgress`, `kTableUnavailable`; and `kOutcomeUnknown` (unknown)
  ///     when an earlier call's owner never told its end.
  boost::asio::awaitable<Result<ClaimGrant>> Take(
      const ClaimKey& key,
      const Claim& claim,
      std::chrono::system_clock::time_point now) {
    const std::string row_key = ClaimRowKey(key);
    auto committed =
        co_await table_.Commit(WriteRow(row_key, 0, SerializeClaim(claim)));
    if (!committed && committed.error().code != Errc::kTableAnswerLost) {
      co_return Unavailable();
    }
    TableRead read;
    read.keys.push_back(row_key);
    for (int i = 0; i < kReadTries; ++i) {
      auto rows = co_await table_.Read(read);
      if (!rows) {
        continue;
      }
      if (rows->empty()) {
        // Not there and perhaps still under way: this call never runs the
        // work, so a late effect blocks repeats but runs nothing.
        co_return Unavailable();
      }
      co_return Judge(row_key, rows->front(), claim, now);
    }
    co_return Unavailable();
  }

  /// Keeps the answer for repeats.
  ///
  /// \returns whether it is kept; the work has run either way.
  boost::asio::awaitable<bool> Finish(const ClaimGrant& grant,
                                      ClaimAnswer answer) {
    Claim claim = grant.claim;
    claim.state = ClaimState::kAnswered;
    claim.answer = std::move(answer);
    auto committed = co_await table_.Commit(
        WriteRow(grant.row_key, grant.version, SerializeClaim(claim)));
    co_return committed&&* committed;
  }

  /// Gives the claim back. Precondition: the work was proved not run.
  boost::asio::awaitable<bool> Release(const ClaimGrant& grant) {
    auto committed = co_await table_.Commit(
        WriteRow(grant.row_key, grant.version, std::nullopt));
    co_return committed&&* committed;
  }

 private:
  static constexpr int kReadTries = 2;
  static constexpr std::chrono::milliseconds kRetryAfter{1'000};

  static TableTransaction WriteRow(const std::string& key,
                                   std::uint64_t version,
                                   std::optional<std::string> value) {
    TableTransaction transaction;
    transaction.conditions.push_back({key, version});
    transaction.writes.push_back({key, std::move(value)});
    return transaction;
  }

  static Failure Unavailable() {
    return {.code = Errc::kTableUnavailable,
            .where = "claim",
            .retry_after = kRetryAfter};
  }

  static Result<ClaimGrant> Judge(const std::string& row_key,
                                  const TableRow& row,
                                  const Claim& mine,
                                  std::chrono::system_clock::time_point now) {
    auto found = ParseClaim(row.value);
    if (!found) {
      return found.error();
    }
    if (found->digest != mine.digest) {
      return Failure{.code = Errc::kIdempotencyKeyReused,
                     .where = "idempotency-key"};
    }
    if (found->state == ClaimState::kAnswered) {
      return ClaimGrant{row_key, row.version, *found, found->answer};
    }
    if (found->write_id == mine.write_id) {
      return ClaimGrant{row_key, row.version, *found};
    }
    if (now < found->deadline) {
      return Failure{.code = Errc::kInProgress,
                     .outcome = Outcome::kUnknown,
                     .where = "idempotency-key",
                     .retry_after = kRetryAfter};
    }
    return Failure{.code = Errc::kOutcomeUnknown,
                   .outcome = Outcome::kUnknown,
                   .where = "idempotency-key"};
  }

  Table& table_;
};

}  // namespace sycamoreford
