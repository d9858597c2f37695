#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "fakes/fake_table.h"
#include "sycamoreford/core/failure.h"

namespace sycamoreford::fakes {

/// How one call to the table fails.
enum class TableFault {
  kNone,
  /// Returns an error; a commit is not applied.
  kUnavailable,
  /// A commit is applied, but its answer is lost.
  kAppliedAnswerLost,
  /// A commit's answer is lost, and the commit is applied only later, by
  /// `ApplyLateCommits` or `ApplyOneLateCommit`.
  kAppliedLate,
};

/// A `TableClient` over a `FakeTable` whose calls fail as planned.
/// Thread safety: none.
class FaultyTable {
 public:
  explicit FaultyTable(FakeTable& table) : table_(table) {}

  /// Makes the call with this zero-based index fail.
  void PlanFault(std::size_t call, TableFault fault) {
    planned_faults_[call] = fault;
  }

  /// Sets the fault of all further calls that have no planned fault; `kNone`
  /// for none.
  void SetFault(TableFault fault) { default_fault_ = fault; }

  /// Removes all planned faults.
  void ClearPlannedFaults() { planned_faults_.clear(); }

  /// Applies all commits that were held back.
  void ApplyLateCommits() {
    for (const TableTransaction& transaction : late_commits_) {
      table_.Commit(transaction);
    }
    late_commits_.clear();
  }

  /// Applies one of the commits that were held back, if there is any.
  void ApplyOneLateCommit(std::size_t index) {
    if (late_commits_.empty()) {
      return;
    }
    const auto chosen =
        late_commits_.begin() +
        static_cast<std::ptrdiff_t>(index % late_commits_.size());
    table_.Commit(*chosen);
    late_commits_.erase(chosen);
  }

  [[nodiscard]] std::uint64_t era() const { return table_.era(); }

  /// Number of calls so far.
  [[nodiscard]] std::size_t calls() const noexcept { return calls_; }

  boost::asio::awaitable<Result<std::vector<TableRow>>> Read(
      const TableRead& read) {
    if (NextFault() != TableFault::kNone) {
      co_return Unavailable();
    }
    co_return table_.Read(read);
  }

  boost::asio::awaitable<Result<bool>> Commit(
      const TableTransaction& transaction) {
    switch (NextFault()) {
      case TableFault::kNone:
        co_return table_.Commit(transaction);
      case TableFault::kUnavailable:
        co_return Unavailable();
      case TableFault::kAppliedAnswerLost:
        table_.Commit(transaction);
        co_return AnswerLost();
      case TableFault::kAppliedLate:
        late_commits_.push_back(transaction);
        co_return AnswerLost();
    }
    co_return Unavailable();
  }

 private:
  static Failure Unavailable() {
    return {.code = Errc::kTableUnavailable, .where = "table"};
  }
  static Failure AnswerLost() {
    return {.code = Errc::kTableAnswerLost,
            .outcome = Outcome::kUnknown,
            .where = "table"};
  }

  TableFault NextFault() {
    const auto planned = planned_faults_.find(calls_++);
    return planned == planned_faults_.end() ? default_fault_ : planned->second;
  }

  FakeTable& table_;
  std::map<std::size_t, TableFault> planned_faults_;
  TableFault default_fault_ = TableFault::kNone;
  std::size_t calls_ = 0;
  std::vector<TableTransaction> late_commits_;
};

}  // namespace sycamoreford::fakes
