#pragma once

#include <chrono>
#include <cmath>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// A sum in which what was added counts less the longer ago it was.
///
/// Precondition of all methods: `now` never decreases between calls.
///
/// Thread safety: none.
class DecayingSum {
 public:
  /// \param time_constant time in which what was added falls to 37 of 100.
  explicit DecayingSum(std::chrono::seconds time_constant)
      : time_constant_(time_constant) {}

  void Add(double amount, TimePoint now) {
    sum_ = Value(now) + amount;
    updated_at_ = now;
  }

  [[nodiscard]] double Value(TimePoint now) const {
    return sum_ * std::exp(-((now - updated_at_) / time_constant_));
  }

  /// What was added per second.
  [[nodiscard]] double PerSecond(TimePoint now) const {
    return Value(now) / time_constant_.count();
  }

 private:
  std::chrono::duration<double> time_constant_;
  double sum_ = 0;
  TimePoint updated_at_{};
};

}  // namespace sycamoreford
