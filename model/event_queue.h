#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "sycamoreford/core/clock.h"

namespace sycamoreford::model {

/// Event queue in virtual time: runs actions in the order of their times, and
/// those with equal times in the order in which they were scheduled.
///
/// Thread safety: none.
class EventQueue {
 public:
  [[nodiscard]] TimePoint Now() const noexcept { return now_; }

  /// Schedules `action` after `delay`. With a delay of 0 or less it runs at the
  /// current time, after the current action.
  void Schedule(Duration delay, std::function<void()> action);

  /// Runs all actions up to and including `end` and advances the time to it.
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
  /// A heap ordered by `IsLater`; the earliest entry is at the front.
  std::vector<Entry> entries_;
};

}  // namespace sycamoreford::model
