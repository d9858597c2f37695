#pragma once

#include <chrono>
#include <optional>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "sycamoreford/claim/claim_machine.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/table/table_client.h"

namespace sycamoreford {

/// Executes the steps of a `ClaimMachine` against the table.
///
/// Thread safety: that of `Table`; the class has no mutable state. A machine
/// must be used by one coroutine at a time.
template <TableClient Table>
class ClaimStore {
 public:
  /// Precondition: `table` outlives this object.
  explicit ClaimStore(Table& table) : table_(table) {}

  /// Takes the claim before the request is run. Afterwards either the machine's
  /// step is `kDispatch` and the request may run, or `reply` is set.
  boost::asio::awaitable<void> Take(ClaimMachine& machine) {
    while (!machine.reply() && machine.step() != ClaimStep::kDispatch) {
      co_await Perform(machine, std::chrono::system_clock::now());
    }
  }

  /// Tries once to store the final state. Precondition: the machine was told
  /// the outcome of the request, or has set its reply.
  ///
  /// \returns whether the machine has ended, so that `StoreFinalState` has
  ///     nothing left to do.
  boost::asio::awaitable<bool> TryStoreFinalState(ClaimMachine& machine) {
    while (machine.step() == ClaimStep::kRead ||
           machine.step() == ClaimStep::kWrite) {
      co_await Perform(machine, std::chrono::system_clock::now());
    }
    co_return machine.step() == ClaimStep::kEnd;
  }

  /// Stores the final state, with retries while the table fails, until the
  /// machine's `max_store_time` has passed.
  boost::asio::awaitable<void> StoreFinalState(ClaimMachine& machine) {
    for (;;) {
      const bool is_done = co_await TryStoreFinalState(machine);
      if (is_done || machine.step() != ClaimStep::kWait) {
        co_return;
      }
      boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                      machine.backoff());
      co_await timer.async_wait(boost::asio::use_awaitable);
      (void)machine.OnWaited(clock_.Now());
    }
  }

  /// Executes one `kRead` or `kWrite` step and passes the result to the
  /// machine.
  ///
  /// \param now wall-clock time.
  boost::asio::awaitable<void> Perform(
      ClaimMachine& machine,
      std::chrono::system_clock::time_point now) {
    if (machine.step() == ClaimStep::kWrite) {
      const auto committed = co_await table_.Commit(machine.transaction());
      (void)machine.OnWritten(ResultOf(committed), clock_.Now());
      co_return;
    }
    TableRead read;
    read.keys.push_back(machine.row_key());
    const auto rows = co_await table_.Read(read);
    if (!rows) {
      (void)machine.OnReadFailed(clock_.Now());
      co_return;
    }
    std::optional<TableRow> row;
    if (!rows->empty()) {
      row = rows->front();
    }
    (void)machine.OnRow(row, clock_.Now(), now);
  }

 private:
  static ClaimWriteResult ResultOf(const Result<bool>& committed) {
    if (committed) {
      return *committed ? ClaimWriteResult::kCommitted
                        : ClaimWriteResult::kConflict;
    }
    return committed.error().code == Errc::kTableUnavailable
               ? ClaimWriteResult::kUnavailable
               : ClaimWriteResult::kAnswerLost;
  }

  Table& table_;
  SteadyClock clock_;
};

}  // namespace sycamoreford
