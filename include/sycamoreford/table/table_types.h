#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sycamoreford {

/// A row of the platform's table. Its version increases with each write and is
/// not reused within an era, not even after a deletion. Version 0 means that
/// the row does not exist.
struct TableRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
};

/// Requires a row to have this version at commit; 0 requires that it does not
/// exist.
struct TableCondition {
  std::string key;
  std::uint64_t version = 0;
};

/// Writes a row, or deletes it when `value` is `std::nullopt`.
struct TableWrite {
  std::string key;
  std::optional<std::string> value;
};

/// An atomic transaction: all writes take effect if all conditions hold, and
/// none otherwise.
struct TableTransaction {
  std::vector<TableCondition> conditions;
  std::vector<TableWrite> writes;
};

/// A read of rows by key and by prefix, from one consistent snapshot.
struct TableRead {
  std::vector<std::string> keys;
  std::vector<std::string> prefixes;
  /// Only return rows found by prefix whose key is greater than this one.
  std::string after;
  /// Maximum number of rows found by prefix, in key order; 0 means the table's
  /// own limit.
  std::uint32_t limit = 0;
};

}  // namespace sycamoreford
