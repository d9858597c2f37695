#pragma once

#include <mutex>

namespace sycamoreford {

/// Place of a shared table's lock in the lock order. A thread takes locks in
/// rising rank only.
enum class LockRank : int {
  kConfig = 10,
  kMembership = 20,
  kEndpoints = 30,
  kAdmission = 40,
  kClaims = 50,
  kLeases = 60,
  kMetrics = 90,
};

/// A mutex with a place in the lock order.
///
/// In builds with assertions a thread that locks out of order is aborted.
/// Thread safe; satisfies BasicLockable.
class RankedMutex {
 public:
  explicit RankedMutex(LockRank rank) noexcept : rank_(rank) {}

  /// Precondition: the calling thread holds no lock of this rank or higher.
  void lock();
  /// Precondition: the calling thread holds this lock.
  void unlock();

 private:
  std::mutex mutex_;
  LockRank rank_;
};

}  // namespace sycamoreford
