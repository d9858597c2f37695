#pragma once

#include <chrono>
#include <condition_variable>
#include <optional>
#include <vector>

#include "sycamoreford/config/config_follower.h"
#include "sycamoreford/core/ranked_mutex.h"

namespace sycamoreford {

/// The configuration in force, shared by all threads of a daemon.
///
/// Thread safe. Lock rank `kConfig`.
class ConfigHolder {
 public:
  /// The configuration in force; never null.
  [[nodiscard]] ConfigurationPtr current() const;

  /// When it was last known to be the newest; empty before the first time.
  [[nodiscard]] std::optional<TimePoint> confirmed_at() const;

  /// Takes over what `follower` holds. A lower revision is ignored.
  void Publish(const ConfigFollower& follower);

  /// The changes above `after` that are kept, oldest first; waits up to
  /// `timeout` for one. Blocks the calling thread.
  [[nodiscard]] std::vector<v1::Change> WaitForChanges(
      Revision after,
      std::chrono::milliseconds timeout) const;

 private:
  mutable RankedMutex mutex_{LockRank::kConfig};
  mutable std::condition_variable_any changed_;
  ConfigurationPtr current_ = std::make_shared<const Configuration>();
  std::vector<v1::Change> recent_changes_;
  std::optional<TimePoint> confirmed_at_;
};

}  // namespace sycamoreford
