#pragma once

#include <algorithm>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace sycamoreford {

/// Rows of text, printed in aligned columns. Thread safety: none.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header) {
    rows_.push_back(std::move(header));
  }

  /// Adds a row with as many cells as the header has.
  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

  /// Prints the header and all rows; the last column is not padded.
  void Print(std::ostream& out) const {
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
      for (std::size_t i = 0; i < row.size(); ++i) {
        widths[i] = std::max(widths[i], row[i].size());
      }
    }
    for (const auto& row : rows_) {
      for (std::size_t i = 0; i < row.size(); ++i) {
        const bool is_last = i + 1 == row.size();
        out << row[i]
            << std::string(is_last ? 0 : widths[i] - row[i].size() + 2, ' ');
      }
      out << '\n';
    }
  }

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace sycamoreford
