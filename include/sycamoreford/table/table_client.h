#pragma once

#include <concepts>
#include <cstdint>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/core/failure.h"
#include "sycamoreford/table/table_types.h"

namespace sycamoreford {

/// Client of the platform's table service; tests substitute their own.
///
/// - `Read` returns the rows found, or `kTableUnavailable`.
/// - `Commit` returns true when the transaction took effect and false when a
///   condition did not hold. Errors: `kTableUnavailable` when it certainly did
///   not take effect, `kTableAnswerLost` (outcome `kUnknown`) when it may have.
template <class T>
concept TableClient = requires(T& table,
                               const TableRead& read,
                               const TableTransaction& tx) {
  {
    table.Read(read)
    } -> std::same_as<boost::asio::awaitable<Result<std::vector<TableRow>>>>;
  { table.Commit(tx) } -> std::same_as<boost::asio::awaitable<Result<bool>>>;
};

/// Latest era that a table has stated, if its client tells; 0 otherwise.
///
/// A table that comes back from an older copy of itself begins a new era: rows
/// that were written since are gone, and their versions are given out again.
template <TableClient Table>
[[nodiscard]] std::uint64_t EraOf(const Table& table) {
  if constexpr (requires {
                  { table.era() } -> std::convertible_to<std::uint64_t>;
                }) {
    return table.era();
  }
  return 0;
}

}  // namespace sycamoreford
