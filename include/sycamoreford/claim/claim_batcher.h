#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <exception>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/ranked_mutex.h"
#include "sycamoreford/table/table_client.h"

namespace sycamoreford {

/// Limits of a `ClaimBatcher`.
struct ClaimBatchLimits {
  /// Mean interval between commits under load.
  std::chrono::milliseconds interval{100};
  /// Number of commits that may be sent without delay after an idle period.
  std::uint32_t burst = 4;
  /// Maximum number of transactions in one commit.
  std::size_t max_transactions = 1024;
  /// Maximum size of the keys and values in one commit. A single transaction
  /// that is larger is committed alone.
  std::size_t max_bytes = 1024UL * 1024;
  /// Maximum number of waiting transactions; further ones fail with
  /// `kTableUnavailable`.
  std::size_t max_waiting = 4096;
};

/// Group commit: merges the transactions of many claims into one, which limits
/// the commit rate regardless of the number of claims. A conflict of one
/// transaction does not fail the others of its batch.
///
/// Models `TableClient`. Thread safe; lock rank `kClaims`. It must outlive the
/// coroutines that use it.
template <TableClient Table>
class ClaimBatcher {
 public:
  /// Precondition: `table` outlives this object.
  explicit ClaimBatcher(Table& table, ClaimBatchLimits limits = {})
      : table_(table), limits_(limits) {}

  boost::asio::awaitable<Result<std::vector<TableRow>>> Read(
      const TableRead& read) {
    return table_.Read(read);
  }

  boost::asio::awaitable<Result<bool>> Commit(
      const TableTransaction& transaction) {
    const boost::asio::any_io_executor executor =
        co_await boost::asio::this_coro::executor;
    auto waiter = std::make_shared<Waiter>(executor, transaction);
    bool starts_flush = false;
    {
      const std::lock_guard lock(mutex_);
      if (waiting_.size() >= limits_.max_waiting) {
        co_return Failure{.code = Errc::kTableUnavailable, .where = "claims"};
      }
      waiting_.push_back(waiter);
      starts_flush = !std::exchange(is_flushing_, true);
    }
    if (starts_flush) {
      boost::asio::co_spawn(executor, Flush(), boost::asio::detached);
    }
    co_return co_await waiter->channel.async_receive(
        boost::asio::use_awaitable);
  }

 private:
  using Channel = boost::asio::experimental::concurrent_channel<
      void(boost::system::error_code, Result<bool>)>;

  struct Waiter {
    Waiter(const boost::asio::any_io_executor& executor, TableTransaction tx)
        : transaction(std::move(tx)), channel(executor, 1) {}

    TableTransaction transaction;
    Channel channel;
  };
  using Batch = std::vector<std::shared_ptr<Waiter>>;

  static void Complete(Waiter& waiter, const Result<bool>& result) {
    waiter.channel.try_send(boost::system::error_code(), result);
  }

  static void CompleteAll(const Batch& batch, const Result<bool>& result) {
    for (const auto& waiter : batch) {
      Complete(*waiter, result);
    }
  }

  static std::size_t BytesOf(const TableTransaction& transaction) {
    std::size_t bytes = 0;
    for (const TableWrite& write : transaction.writes) {
      bytes += write.key.size() + (write.value ? write.value->size() : 0);
    }
    return bytes;
  }

  static TableTransaction Merge(const Batch& batch) {
    TableTransaction merged;
    for (const auto& waiter : batch) {
      const TableTransaction& one = waiter->transaction;
      merged.conditions.insert(merged.conditions.end(), one.conditions.begin(),
                               one.conditions.end());
      merged.writes.insert(merged.writes.end(), one.writes.begin(),
                           one.writes.end());
    }
    return merged;
  }

  /// Commits batches until no transaction is waiting.
  boost::asio::awaitable<void> Flush() {
    while (HasWaiting()) {
      co_await WaitForCommitSlot();
      const Batch batch = NextBatch();
      try {
        co_await CommitBatch(batch);
      } catch (const std::exception&) {
        // Waiters that are already completed keep their result.
        CompleteAll(batch, Failure{.code = Errc::kTableAnswerLost,
                                   .outcome = Outcome::kUnknown,
                                   .where = "claims"});
      }
    }
  }

  /// Clears `is_flushing_` when no transaction is waiting.
  bool HasWaiting() {
    const std::lock_guard lock(mutex_);
    is_flushing_ = !waiting_.empty();
    return is_flushing_;
  }

  /// Takes the oldest transactions that use distinct rows, within the limits.
  Batch NextBatch() {
    const std::lock_guard lock(mutex_);
    Batch batch;
    Batch remaining;
    std::set<std::string> rows;
    std::size_t bytes = 0;
    for (auto& waiter : waiting_) {
      const std::string& row = waiter->transaction.conditions.front().key;
      const std::size_t size = BytesOf(waiter->transaction);
      const bool fits =
          batch.empty() || (batch.size() < limits_.max_transactions &&
                            bytes + size <= limits_.max_bytes);
      if (!fits || !rows.insert(row).second) {
        remaining.push_back(std::move(waiter));
        continue;
      }
      bytes += size;
      batch.push_back(std::move(waiter));
    }
    waiting_ = std::move(remaining);
    return batch;
  }

  boost::asio::awaitable<void> CommitBatch(Batch batch) {
    for (;;) {
      const auto committed = co_await table_.Commit(Merge(batch));
      const bool is_conflict = committed && !*committed;
      if (!is_conflict || batch.size() == 1) {
        CompleteAll(batch, committed);
        co_return;
      }
      // No transaction of the batch was applied: complete those whose condition
      // fails and retry the others.
      const auto rows = co_await table_.Read(RowsOf(batch));
      if (!rows) {
        CompleteAll(batch, rows.error());
        co_return;
      }
      const std::size_t before = batch.size();
      RemoveConflicting(batch, *rows);
      if (batch.size() == before) {
        // A conflicting row was deleted between the commit and the read; none
        // of these transactions was applied.
        CompleteAll(
            batch, Failure{.code = Errc::kTableUnavailable, .where = "claims"});
        co_return;
      }
      if (batch.empty()) {
        co_return;
      }
      co_await WaitForCommitSlot();
    }
  }

  static TableRead RowsOf(const Batch& batch) {
    TableRead read;
    for (const auto& waiter : batch) {
      read.keys.push_back(waiter->transaction.conditions.front().key);
    }
    return read;
  }

  static void RemoveConflicting(Batch& batch,
                                const std::vector<TableRow>& rows) {
    std::erase_if(batch, [&rows](const std::shared_ptr<Waiter>& waiter) {
      const TableCondition& condition = waiter->transaction.conditions.front();
      const auto row = std::find_if(
          rows.begin(), rows.end(),
          [&](const TableRow& one) { return one.key == condition.key; });
      const std::uint64_t version = row == rows.end() ? 0 : row->version;
      if (version == condition.version) {
        return false;
      }
      Complete(*waiter, false);
      return true;
    });
  }

  /// Waits until the rate limit permits another commit.
  boost::asio::awaitable<void> WaitForCommitSlot() {
    const TimePoint now = clock_.Now();
    const auto credit = limits_.interval * (limits_.burst - 1);
    next_commit_at_ = std::max(next_commit_at_, now - credit);
    const TimePoint commit_at = next_commit_at_;
    next_commit_at_ += limits_.interval;
    if (commit_at > now) {
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                      commit_at);
      co_await timer.async_wait(boost::asio::use_awaitable);
    }
  }

  Table& table_;
  const ClaimBatchLimits limits_;
  SteadyClock clock_;
  RankedMutex mutex_{LockRank::kClaims};
  /// Both guarded by `mutex_`.
  Batch waiting_;
  bool is_flushing_ = false;
  /// Accessed only by the coroutine that runs `Flush`.
  TimePoint next_commit_at_{};
};

}  // namespace sycamoreford
