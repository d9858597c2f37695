#include "event_queue.h"

#include <algorithm>
#include <utility>

namespace sycamoreford::model {

void EventQueue::Schedule(Duration delay, std::function<void()> action) {
  entries_.push_back({now_ + std::max(delay, Duration::zero()),
                      next_sequence_++, std::move(action)});
  std::push_heap(entries_.begin(), entries_.end(), IsLater());
}

void EventQueue::RunUntil(TimePoint end) {
  while (!entries_.empty() && entries_.front().at <= end) {
    std::pop_heap(entries_.begin(), entries_.end(), IsLater());
    const Entry entry = std::move(entries_.back());
    entries_.pop_back();
    now_ = entry.at;
    entry.action();
  }
  now_ = std::max(now_, end);
}

}  // namespace sycamoreford::model
