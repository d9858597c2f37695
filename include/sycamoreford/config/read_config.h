#pragma once

#include <cstdint>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/config/config_follower.h"
#include "sycamoreford/config/config_keys.h"
#include "sycamoreford/table/table_client.h"

namespace sycamoreford {

/// The table's head row.
struct ConfigHead {
  Revision revision{};
  /// Version of the row; 0 when it is absent.
  std::uint64_t version = 0;
};

/// Reads the table until the follower's revision equals that of the table's
/// head.
///
/// \param now no later than the start of the first read.
/// \returns the head. Errors: `kTableUnavailable`, also when the table keeps
///     returning a head older than the revision in force; `kMalformed` when
///     neither the changes nor the snapshot lead to the head. The changes read
///     until then are in force.
template <TableClient Table>
boost::asio::awaitable<Result<ConfigHead>> ReadConfig(Table& table,
                                                      ConfigFollower& follower,
                                                      TimePoint now) {
  constexpr int kMaxReadsWithoutProgress = 3;
  for (int reads_without_progress = 0;
       reads_without_progress < kMaxReadsWithoutProgress;) {
    const Revision before = follower.current()->revision();
    auto rows = co_await table.Read(follower.NextRead());
    if (!rows) {
      co_return rows.error();
    }
    auto head = follower.OfferRows(*rows, now);
    const Revision after = follower.current()->revision();
    if (head && *head == after) {
      ConfigHead found{*head, 0};
      for (const TableRow& row : *rows) {
        if (row.key == kConfigHeadKey) {
          found.version = row.version;
        }
      }
      co_return found;
    }
    if (after > before) {
      continue;
    }
    ++reads_without_progress;
    if (reads_without_progress < kMaxReadsWithoutProgress) {
      continue;
    }
    if (!head) {
      co_return head.error();
    }
    if (*head > after) {
      co_return Failure{.code = Errc::kMalformed, .where = "config changes"};
    }
  }
  co_return Failure{.code = Errc::kTableUnavailable, .where = "stale head"};
}

}  // namespace sycamoreford
