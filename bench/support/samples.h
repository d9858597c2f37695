#pragma once

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

namespace sycamoreford::bench {

/// Measured values with their mean and quantiles. Thread safety: none.
class Samples {
 public:
  void Add(double value) { values_.push_back(value); }

  [[nodiscard]] bool empty() const { return values_.empty(); }
  [[nodiscard]] std::size_t size() const { return values_.size(); }

  [[nodiscard]] double Mean() const {
    double sum = 0;
    for (const double value : values_) {
      sum += value;
    }
    return values_.empty() ? 0 : sum / static_cast<double>(values_.size());
  }

  /// The quantile at `fraction` between 0 and 1; 0 without values.
  [[nodiscard]] double Quantile(double fraction) const {
    if (values_.empty()) {
      return 0;
    }
    std::vector<double> sorted = values_;
    std::sort(sorted.begin(), sorted.end());
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(fraction * last))];
  }

  /// Text of the form `mean [min..max]`.
  [[nodiscard]] std::string ToString() const {
    char text[96];
    std::snprintf(text, sizeof(text), "%.3f [%.3f..%.3f]", Mean(), Quantile(0),
                  Quantile(1));
    return text;
  }

 private:
  std::vector<double> values_;
};

}  // namespace sycamoreford::bench
