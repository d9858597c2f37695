#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/table/table_types.h"

namespace sycamoreford {

/// Tells which daemons live by the rows that they renew in the table.
///
/// Only this daemon's clock counts: a row lives as long as it was observed to
/// change within a bound. Load answered: shares of limits follow the number of
/// daemons as VMs come and go.
///
/// Thread safety: none.
class DaemonRoster {
 public:
  /// Prefix of the rows.
  static constexpr std::string_view kPrefix = "daemon/";
  /// Time from one renewal of a row to the next.
  static constexpr std::chrono::milliseconds kRenewalInterval{12'000};
  /// A row that did not change for this long belongs to a daemon that is gone:
  /// two renewals were missed.
  static constexpr std::chrono::milliseconds kRowTtl{30'000};

  /// Rows as just read.
  void OnRows(const std::vector<TableRow>& rows, TimePoint now);

  /// Daemons that live, this one included; 0 before the first rows.
  [[nodiscard]] std::uint32_t Count(TimePoint now) const;

  /// Place of a daemon among those that live, from 0; their number when it is
  /// none of them.
  [[nodiscard]] std::size_t RankOf(const std::string& address,
                                   TimePoint now) const;

  /// Addresses of the daemons that live.
  [[nodiscard]] std::vector<std::string> Addresses(TimePoint now) const;

 private:
  struct ObservedRow {
    std::uint64_t version = 0;
    TimePoint changed_at{};
    std::string address;
  };

  std::map<std::string, ObservedRow> rows_;
};

}  // namespace sycamoreford
