#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/table/table_types.h"

namespace sycamoreford {

/// Tracks which daemons are alive by the rows that they renew in the table.
///
/// Only this daemon's clock is used: a daemon is alive if its row was seen to
/// change within `row_ttl` before the last read. While the table cannot be
/// read, the daemons that were alive then stay so. The number of live daemons
/// determines this daemon's share of the limits, so that the shares follow as
/// VMs come and go.
///
/// Thread safety: none.
class DaemonRoster {
 public:
  /// Key prefix of the rows.
  static constexpr std::string_view kPrefix = "daemon/";

  /// Sets the factor by which rows are read and renewed less often, as there
  /// are many daemons.
  ///
  /// Precondition: `factor` is at least 1.
  void SetIntervalFactor(std::uint32_t factor) noexcept { factor_ = factor; }

  /// Interval between two reads of the rows.
  [[nodiscard]] std::chrono::milliseconds read_interval() const noexcept {
    return kReadInterval * factor_;
  }
  /// Interval between renewals of a row. No daemon renews its row more often
  /// than others read it.
  [[nodiscard]] std::chrono::milliseconds renewal_interval() const noexcept {
    return std::max(kMinRenewalInterval, read_interval());
  }
  /// A daemon whose row did not change for this long is considered dead: it has
  /// missed two renewals. A row that is renewed right after a read is seen to
  /// change only at the next one.
  [[nodiscard]] std::chrono::milliseconds row_ttl() const noexcept {
    return 2 * renewal_interval() + read_interval();
  }

  /// Takes the rows that were just read; they replace the earlier ones.
  void OnRows(const std::vector<TableRow>& rows, TimePoint now);

  /// Number of live daemons, including this one; 0 before the first `OnRows`.
  [[nodiscard]] std::uint32_t Count() const;

  /// Zero-based index of a daemon in `Addresses`; the number of live daemons if
  /// it is not one of them.
  [[nodiscard]] std::size_t RankOf(const std::string& address) const;

  /// Whether a live daemon has this address.
  [[nodiscard]] bool Contains(const std::string& address) const;

  /// Addresses of the live daemons, ordered by row key.
  [[nodiscard]] std::vector<std::string> Addresses() const;

 private:
  struct ObservedRow {
    std::uint64_t version = 0;
    TimePoint changed_at{};
    std::string address;
  };

  static constexpr std::chrono::milliseconds kReadInterval{6'000};
  static constexpr std::chrono::milliseconds kMinRenewalInterval{12'000};

  [[nodiscard]] bool IsLive(const ObservedRow& row) const {
    return read_at_ - row.changed_at < row_ttl();
  }

  std::uint32_t factor_ = 1;
  TimePoint read_at_{};
  std::map<std::string, ObservedRow> rows_;
};

}  // namespace sycamoreford
