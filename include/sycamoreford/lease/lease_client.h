#pragma once

#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/lease/lease_machine.h"
#include "sycamoreford/table/table_client.h"

namespace sycamoreford {

/// Takes, renews and releases one lease in the table, as its machine decides.
///
/// Thread safety: none; the owner serializes calls.
template <TableClient Table, Clock TheClock>
class LeaseClient {
 public:
  /// Precondition: `table` and `clock` outlive this object.
  LeaseClient(Table& table, const TheClock& clock, LeaseMachine machine)
      : table_(table), clock_(clock), machine_(std::move(machine)) {}

  /// Does what is due now, one call of the table at most.
  ///
  /// \param write_id unique over all daemons; used when a write is due.
  boost::asio::awaitable<void> Step(const std::string& write_id) {
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

  /// Gives the lease up at once; without an answer of the table the next
  /// holder waits for the TTL.
  boost::asio::awaitable<void> Release() {
    const auto transaction = machine_.Release(clock_.Now());
    if (transaction) {
      (void)co_await table_.Commit(*transaction);
    }
  }

  /// Changes how often this daemon looks while it does not hold the lease.
  void SetPollInterval(std::chrono::milliseconds poll_interval) noexcept {
    machine_.SetPollInterval(poll_interval);
  }

  /// The number to send with an order now; ask right before each send.
  [[nodiscard]] std::optional<FencingToken> Token() const {
    return machine_.TokenAt(clock_.Now());
  }

  [[nodiscard]] const LeaseMachine& machine() const noexcept {
    return machine_;
  }

 private:
  boost::asio::awaitable<void> Read() {
    TableRead read;
    read.keys.push_back(LeaseRowKey(machine_.name()));
    auto rows = co_await table_.Read(read);
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
