#pragma once

#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "sycamoreford/adapters/attempt_step.h"
#include "sycamoreford/adapters/background_task.h"
#include "sycamoreford/adapters/wake_signal.h"

namespace sycamoreford {

/// Attempts of one request that run at the same time; those that are left are
/// abandoned on destruction.
///
/// Thread safety: none.
template <class Attempt>
struct PendingAttempts {
  /// An attempt that runs in the background.
  struct Entry {
    std::shared_ptr<Attempt> attempt;
    std::unique_ptr<BackgroundTask<AttemptStep>> task;
  };

  explicit PendingAttempts(const boost::asio::any_io_executor& executor)
      : ended(executor) {}
  PendingAttempts(const PendingAttempts&) = delete;
  PendingAttempts& operator=(const PendingAttempts&) = delete;
  ~PendingAttempts() {
    for (const Entry& pending : attempts) {
      pending.attempt->Abandon();
    }
  }

  /// Notified when an attempt has ended.
  WakeSignal ended;
  std::vector<Entry> attempts;
};

}  // namespace sycamoreford
