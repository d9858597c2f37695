#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sycamoreford {

/// A row of the platform's table. Its version rises with each write and is
/// never used again, also after a deletion; 0 stands for an absent row.
struct TableRow {
  std::string key;
  std::string value;
  std::uint64_t version = 0;
};

/// Demands that a row has a version at commit; 0 demands that it is absent.
struct TableCondition {
  std::string key;
  std::uint64_t version = 0;
};

/// Writes a row, or deletes it when `value` is empty.
struct TableWrite {
  std::string key;
  std::optional<std::string> value;
};

/// A transaction: all writes happen when all conditions hold, else none.
struct TableTransaction {
  std::vector<TableCondition> conditions;
  std::vector<TableWrite> writes;
};

/// Reads rows by key and by prefix, all from one consistent state.
struct TableRead {
  std::vector<std::string> keys;
  std::vector<std::string> prefixes;
  /// Of the prefixed rows only those with a key above this one.
  std::string after;
  /// Most prefixed rows to answer, in the order of keys; 0 for the table's
  /// own bound.
  std::uint32_t limit = 0;
};

}  // namespace sycamoreford
