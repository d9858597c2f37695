#pragma once

#include <chrono>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "sycamoreford/core/ranked_mutex.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// Status of a lease, for operators.
struct LeaseView {
  std::string name;
  std::string holder;
  FencingToken fencing{};
  /// Time for which this daemon still holds the lease; 0 if it does not.
  std::chrono::milliseconds remaining{};
};

/// The leases as last observed by this daemon. Thread safe; lock rank
/// `kLeases`.
class LeaseViews {
 public:
  /// Replaces all leases.
  void Set(std::vector<LeaseView> views) {
    const std::lock_guard lock(mutex_);
    views_ = std::move(views);
  }
  [[nodiscard]] std::vector<LeaseView> Get() const {
    const std::lock_guard lock(mutex_);
    return views_;
  }

 private:
  mutable RankedMutex mutex_{LockRank::kLeases};
  std::vector<LeaseView> views_;
};

}  // namespace sycamoreford
