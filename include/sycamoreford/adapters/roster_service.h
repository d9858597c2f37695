#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/core/log.h"
#include "sycamoreford/fleet/daemon_roster.h"
#include "sycamoreford/table/table_client.h"

namespace sycamoreford {

/// Renews this daemon's row in the table and counts the daemons by their rows.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <TableClient Table, Clock TheClock>
class RosterService {
 public:
  /// Precondition: all references outlive this object.
  ///
  /// \param vm name of this VM; one daemon runs on each.
  /// \param address IP address and port at which other daemons reach this one.
  RosterService(RelayState& state,
                Table& table,
                const TheClock& clock,
                const std::string& vm,
                std::string address)
      : state_(state),
        table_(table),
        clock_(clock),
        key_(std::string(DaemonRoster::kPrefix) + vm),
        address_(std::move(address)) {}

  /// Keeps the row and the count up to date; does not return.
  boost::asio::awaitable<void> Run() {
    TimePoint renew_at{};
    started_at_ = clock_.Now();
    for (;;) {
      if ((clock_.Now() >= renew_at || IsRowLost()) && co_await RenewRow()) {
        renew_at = clock_.Now() + roster_.renewal_interval();
      }
      is_count_requested_ = false;
      co_await CountDaemons();
      if (!is_count_settled_) {
        co_await Pause(kStartupCountInterval);
        continue;
      }
      const TimePoint next = clock_.Now() + roster_.read_interval();
      do {
        co_await Pause(kMinCountInterval * state_.interval_factor());
      } while (clock_.Now() < next && !is_count_requested_ && !IsRowLost());
    }
  }

  /// Counts the daemons at the next opportunity, since one may have been added.
  void CountSoon() noexcept { is_count_requested_ = true; }

  /// Sets a function that is called each time the daemons were counted.
  void SetCountObserver(std::function<void()> observer) {
    on_counted_ = std::move(observer);
  }

  [[nodiscard]] const DaemonRoster& roster() const noexcept { return roster_; }

 private:
  /// Interval between two counts if a daemon may have been added, with few
  /// daemons.
  static constexpr std::chrono::milliseconds kMinCountInterval{500};
  /// Time after the start during which daemons are counted more often.
  static constexpr std::chrono::milliseconds kStartupPeriod{1'500};
  /// Interval between two counts during that time, and after it until a count
  /// succeeds.
  static constexpr std::chrono::milliseconds kStartupCountInterval{500};

  /// Whether the table may lack the row, as it has begun a new era.
  [[nodiscard]] bool IsRowLost() const {
    return EraOf(table_) > written_in_era_;
  }

  boost::asio::awaitable<bool> RenewRow() {
    TableTransaction transaction;
    transaction.writes.push_back({key_, address_});
    const auto written = co_await table_.Commit(transaction);
    if (written) {
      written_in_era_ = EraOf(table_);
    }
    if (!written) {
      LogEvent(Severity::kWarning, "roster_not_renewed")
          .With("reason", written.error().where);
    }
    co_return written.has_value();
  }

  boost::asio::awaitable<void> CountDaemons() {
    TableRead read;
    read.prefixes.emplace_back(DaemonRoster::kPrefix);
    const auto rows = co_await table_.Read(read);
    if (!rows) {
      LogEvent(Severity::kWarning, "roster_not_read")
          .With("reason", rows.error().where);
      co_return;
    }
    roster_.OnRows(*rows, clock_.Now());
    // If all daemons start together, the rows of others may still be missing.
    is_count_settled_ = clock_.Now() - started_at_ > kStartupPeriod;
    const std::uint32_t count = std::max(1U, roster_.Count());
    if (count != state_.daemon_count()) {
      LogEvent(Severity::kInfo, "daemons")
          .With("before", state_.daemon_count())
          .With("now", count);
    }
    state_.SetDaemons(count, roster_.RankOf(address_));
    roster_.SetIntervalFactor(state_.interval_factor());
    if (on_counted_) {
      on_counted_();
    }
  }

  RelayState& state_;
  Table& table_;
  const TheClock& clock_;
  std::string key_;
  std::string address_;
  DaemonRoster roster_;
  std::function<void()> on_counted_;
  bool is_count_settled_ = false;
  bool is_count_requested_ = false;
  TimePoint started_at_{};
  std::uint64_t written_in_era_ = 0;
};

}  // namespace sycamoreford
