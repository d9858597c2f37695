#pragma once

#include <concepts>
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

}  // namespace sycamoreford
