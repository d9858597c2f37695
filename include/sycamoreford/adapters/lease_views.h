#pragma once

#include <chrono>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "sycamoreford/core/ranked_mutex.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// A lease as operators see it.
struct LeaseView {
  std::string name;
  std::string holder;
  FencingToken fencing{};
  /// How long this daemon still holds it; 0 when it does not.
  std::chrono::milliseconds remaining{};
};

/// The leases as this daemon knows them. Thread safe; lock rank `kLeases`.
class LeaseViews {
 public:
  /// Replaces all.
  void Set(std::vector<LeaseView> views) {
    const std::lock_guard lock(mutex_);
    views_ = std::move(views);
  }
  /// A copy of all.
  [[nodiscard]] std::vector<LeaseView> Get() const {
    const std::lock_guard lock(mutex_);
    return views_;
  }

 private:
  mutable RankedMutex mutex_{LockRank::kLeases};
  std::vector<LeaseView> views_;
};

}  // namespace sycamoreford
