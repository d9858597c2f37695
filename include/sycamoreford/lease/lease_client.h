#pragma once

#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/lease/lease_machine.h"
#include "sycamoreford/table/table_client.h"

namespace sycamoreford {

/// Acquires, renews and releases one lease in the table, as decided by a
/// `LeaseMachine`.
///
/// Thread safety: none; the owner serializes calls.
template <TableClient Table, Clock TheClock>
class LeaseClient {
 public:
  /// Precondition: `table` and `clock` outlive this object.
  LeaseClient(Table& table, const TheClock& clock, LeaseMachine machine)
      : table_(table), clock_(clock), machine_(std::move(machine)) {}

  /// Executes the step that is due now; makes at most one call to the table.
  ///
  /// \param write_id unique over all daemons; used when a write is due.
  boost::asio::awaitable<void> Step(const std::string& write_id) {
    machine_.OnEra(EraOf(table_));
    switch (machine_.NextStep(clock_.Now())) {
      case LeaseMachine::Step::kWait:
        co_return;
      case LeaseMachine::Step::kRead:
        co_await Read();
        co_return;
      case LeaseMachine::Step::kWrite:
        co_await Write(write_id);
        co_return;
    }
  }

  /// Releases the lease. If the write fails, another daemon can acquire the
  /// lease only after the TTL.
  boost::asio::awaitable<void> Release() {
    const auto transaction = machine_.Release(clock_.Now());
    if (transaction) {
      (void)co_await table_.Commit(*transaction);
    }
  }

  /// Sets the poll interval while this daemon does not hold the lease.
  void SetPollInterval(std::chrono::milliseconds poll_interval) noexcept {
    machine_.SetPollInterval(poll_interval);
  }

  /// Fencing token to send with an order; empty if this daemon does not hold
  /// the lease. Must be read right before each send.
  [[nodiscard]] std::optional<FencingToken> Token() const {
    return EraOf(table_) > machine_.era() && machine_.era() != 0
               ? std::nullopt
               : machine_.TokenAt(clock_.Now());
  }

  [[nodiscard]] const LeaseMachine& machine() const noexcept {
    return machine_;
  }

 private:
  boost::asio::awaitable<void> Read() {
    TableRead read;
    read.keys.push_back(LeaseRowKey(machine_.name()));
    auto rows = co_await table_.Read(read);
    machine_.OnEra(EraOf(table_));
    if (!rows) {
      machine_.OnReadFailed(clock_.Now());
      co_return;
    }
    std::optional<TableRow> row;
    if (!rows->empty()) {
      row = rows->front();
    }
    machine_.OnRow(row, clock_.Now());
  }

  boost::asio::awaitable<void> Write(const std::string& write_id) {
    const TableTransaction transaction =
        machine_.BeginWrite(write_id, clock_.Now());
    auto committed = co_await table_.Commit(transaction);
    machine_.OnEra(EraOf(table_));
    std::optional<bool> answer;
    if (committed) {
      answer = *committed;
    }
    machine_.OnWritten(answer, clock_.Now());
  }

  Table& table_;
  const TheClock& clock_;
  LeaseMachine machine_;
};

}  // namespace sycamoreford
