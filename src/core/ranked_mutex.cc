#include "sycamoreford/core/ranked_mutex.h"

#ifndef NDEBUG
#include <cstdio>
#include <cstdlib>
#include <vector>
#endif

namespace sycamoreford {

#ifndef NDEBUG
namespace {
thread_local std::vector<LockRank> held_ranks;
}  // namespace
#endif

void RankedMutex::lock() {
#ifndef NDEBUG
  if (!held_ranks.empty() && held_ranks.back() >= rank_) {
    std::fputs("mutexes locked out of order\n", stderr);
    std::abort();
  }
  held_ranks.push_back(rank_);
#endif
  mutex_.lock();
}

void RankedMutex::unlock() {
  mutex_.unlock();
#ifndef NDEBUG
  held_ranks.pop_back();
#endif
}

}  // namespace sycamoreford
