#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "sycamoreford/table/table_types.h"

namespace sycamoreford::fakes {

/// In-memory table with transactions over versioned rows. Thread safe.
class FakeTable {
 public:
  /// Reads all rows from one consistent state.
  std::vector<TableRow> Read(const TableRead& read) {
    const std::lock_guard lock(mutex_);
    ++reads_;
    std::vector<TableRow> rows;
    for (const std::string& key : read.keys) {
      const auto found = rows_.find(key);
      if (found != rows_.end() && found->second.version > 0) {
        rows.push_back(found->second);
      }
    }
    for (const std::string& prefix : read.prefixes) {
      std::uint32_t count = 0;
      auto row = rows_.lower_bound(prefix);
      for (; row != rows_.end() && row->first.starts_with(prefix); ++row) {
        if (row->first > read.after &&
            (read.limit == 0 || count < read.limit)) {
          rows.push_back(row->second);
          ++count;
        }
      }
    }
    return rows;
  }

  /// Applies all writes when all conditions hold.
  bool Commit(const TableTransaction& transaction) {
    const std::lock_guard lock(mutex_);
    ++commits_;
    for (const TableCondition& condition : transaction.conditions) {
      const auto found = rows_.find(condition.key);
      const std::uint64_t version =
          found == rows_.end() ? 0 : found->second.version;
      if (version != condition.version) {
        return false;
      }
    }
    for (const TableWrite& write : transaction.writes) {
      if (!write.value) {
        rows_.erase(write.key);
        continue;
      }
      TableRow& row = rows_[write.key];
      row = {write.key, *write.value, ++newest_version_};
    }
    return true;
  }

  /// Rows and versions at present.
  struct Copy {
    std::map<std::string, TableRow> rows;
    std::uint64_t newest_version = 0;
  };
  Copy TakeCopy() const {
    const std::lock_guard lock(mutex_);
    return {rows_, newest_version_};
  }
  /// Comes back from a copy, in a new era.
  void Restore(const Copy& copy) {
    const std::lock_guard lock(mutex_);
    rows_ = copy.rows;
    newest_version_ = copy.newest_version;
    ++era_;
  }
  std::uint64_t era() const {
    const std::lock_guard lock(mutex_);
    return era_;
  }
  /// Makes the table state eras from now on.
  void StateEras() {
    const std::lock_guard lock(mutex_);
    era_ = 1;
  }

  /// Number of reads so far.
  std::size_t reads() const {
    const std::lock_guard lock(mutex_);
    return reads_;
  }
  /// Number of attempted commits so far.
  std::size_t commits() const {
    const std::lock_guard lock(mutex_);
    return commits_;
  }

 private:
  mutable std::mutex mutex_;
  std::map<std::string, TableRow> rows_;
  std::uint64_t newest_version_ = 0;
  std::uint64_t era_ = 0;
  std::size_t reads_ = 0;
  std::size_t commits_ = 0;
};

}  // namespace sycamoreford::fakes
