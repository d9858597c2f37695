#pragma once

#include <chrono>
#include <condition_variable>
#include <optional>
#include <vector>

#include "sycamoreford/config/config_follower.h"
#include "sycamoreford/core/ranked_mutex.h"

namespace sycamoreford {

/// Shares the configuration in force between all threads of a daemon.
///
/// Thread safe. Lock rank `kConfig`.
class ConfigHolder {
 public:
  /// The configuration in force; never null.
  [[nodiscard]] ConfigurationPtr current() const;

  /// When the configuration was last confirmed to be the newest; empty if it
  /// was never confirmed.
  [[nodiscard]] std::optional<TimePoint> confirmed_at() const;

  /// Copies the confirmation time of `follower` and, if its revision is newer
  /// than the current one, its configuration and recent changes.
  void Publish(const ConfigFollower& follower);

  /// Waits up to `timeout` for a revision newer than `after`; blocks the
  /// calling thread.
  ///
  /// \returns the recent changes newer than `after`, oldest first; older
  ///     changes may be missing because only a limited number is kept.
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
