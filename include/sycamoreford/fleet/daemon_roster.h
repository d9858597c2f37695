#pragma once

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
/// change within `kRowTtl`. The number of live daemons determines this daemon's
/// share of the limits, so that the shares follow as VMs come and go.
///
/// Thread safety: none.
class DaemonRoster {
 public:
  /// Key prefix of the rows.
  static constexpr std::string_view kPrefix = "daemon/";
  /// Interval between renewals of a row.
  static constexpr std::chrono::milliseconds kRenewalInterval{12'000};
  /// A daemon whose row did not change for this long is considered dead: it has
  /// missed two renewals.
  static constexpr std::chrono::milliseconds kRowTtl{30'000};

  /// Takes the rows that were just read; they replace the earlier ones.
  void OnRows(const std::vector<TableRow>& rows, TimePoint now);

  /// Number of live daemons, including this one; 0 before the first `OnRows`.
  [[nodiscard]] std::uint32_t Count(TimePoint now) const;

  /// Zero-based index of a daemon in `Addresses`; the number of live daemons if
  /// it is not one of them.
  [[nodiscard]] std::size_t RankOf(const std::string& address,
                                   TimePoint now) const;

  /// Whether a live daemon has this address.
  [[nodiscard]] bool Contains(const std::string& address, TimePoint now) const;

  /// Addresses of the live daemons, ordered by row key.
  [[nodiscard]] std::vector<std::string> Addresses(TimePoint now) const;

 private:
  struct ObservedRow {
    std::uint64_t version = 0;
    TimePoint changed_at{};
    std::string address;

    [[nodiscard]] bool IsLive(TimePoint now) const {
      return now - changed_at < kRowTtl;
    }
  };

  std::map<std::string, ObservedRow> rows_;
};

}  // namespace sycamoreford
