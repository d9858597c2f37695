#include "sycamoreford/adapters/config_holder.h"

#include <mutex>

namespace sycamoreford {

ConfigurationPtr ConfigHolder::current() const {
  const std::lock_guard lock(mutex_);
  return current_;
}

std::optional<TimePoint> ConfigHolder::confirmed_at() const {
  const std::lock_guard lock(mutex_);
  return confirmed_at_;
}

void ConfigHolder::Publish(const ConfigFollower& follower) {
  const std::lock_guard lock(mutex_);
  confirmed_at_ = follower.confirmed_at();
  if (follower.current()->revision() <= current_->revision()) {
    return;
  }
  current_ = follower.current();
  recent_changes_ = follower.recent_changes();
  changed_.notify_all();
}

std::vector<v1::Change> ConfigHolder::WaitForChanges(
    Revision after,
    std::chrono::milliseconds timeout) const {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, timeout,
                    [&] { return current_->revision() > after; });
  std::vector<v1::Change> changes;
  for (const v1::Change& change : recent_changes_) {
    if (change.revision() > after.value()) {
      changes.push_back(change);
    }
  }
  return changes;
}

}  // namespace sycamoreford
