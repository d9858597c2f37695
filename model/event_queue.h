#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "sycamoreford/core/clock.h"

namespace sycamoreford::model {

/// Virtual time: runs actions in the order of their moments, and those of one
/// moment in the order in which they were added.
///
/// Thread safety: none.
class EventQueue {
 public:
  [[nodiscard]] TimePoint Now() const noexcept { return now_; }

  /// Runs `action` after `delay`; at once but after the present action when it
  /// is not above 0.
  void Schedule(Duration delay, std::function<void()> action);

  /// Runs all actions up to `end` and advances the time to it.
  void RunUntil(TimePoint end);

 private:
  struct Entry {
    TimePoint at{};
    std::uint64_t sequence = 0;
    std::function<void()> action;
  };
  struct IsLater {
    bool operator()(const Entry& a, const Entry& b) const noexcept {
      return a.at != b.at ? a.at > b.at : a.sequence > b.sequence;
    }
  };

  TimePoint now_{};
  std::uint64_t next_sequence_ = 0;
  /// A heap by `IsLater`.
  std::vector<Entry> entries_;
};

}  // namespace sycamoreford::model
