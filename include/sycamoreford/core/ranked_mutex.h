#pragma once

#include <mutex>

namespace sycamoreford {

/// Rank of a mutex in the global lock order. A thread acquires mutexes in
/// ascending rank only, to rule out deadlocks.
enum class LockRank : int {
  kConfig = 10,
  kMembership = 20,
  kEndpoints = 30,
  kAdmission = 40,
  kClaims = 50,
  kLeases = 60,
  kMetrics = 90,
};

/// A mutex that checks the lock order.
///
/// Unless `NDEBUG` is defined, the program aborts when a thread acquires
/// mutexes out of order. Thread safe; satisfies BasicLockable.
class RankedMutex {
 public:
  explicit RankedMutex(LockRank rank) noexcept : rank_(rank) {}

  /// Precondition: the calling thread holds no mutex of this rank or higher.
  void lock();
  /// Precondition: the calling thread holds this mutex.
  void unlock();

 private:
  std::mutex mutex_;
  LockRank rank_;
};

}  // namespace sycamoreford
