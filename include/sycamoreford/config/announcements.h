#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// Pending changes: those that daemons announced to this one before writing
/// them to the table.
///
/// An announcement is pending until its revision or a higher one is in force,
/// until it is withdrawn, or until a read of the table, begun more than
/// `kMaxWriteDuration` after it, does not show the change.
///
/// Thread safety: none; the owner serializes calls.
class Announcements {
 public:
  /// Maximum number of pending announcements; further ones are not
  /// acknowledged.
  static constexpr std::size_t kMaxPending = 256;
  /// Maximum time from an announcement until its write takes effect.
  static constexpr std::chrono::minutes kMaxWriteDuration{5};

  /// Adds an announcement. \returns whether it may be acknowledged.
  bool Add(Revision revision, const std::string& write_id, TimePoint now);

  /// Removes the announcement of a change that was certainly not accepted.
  void Withdraw(const std::string& write_id);

  /// Removes the announcements of revisions up to the one in force.
  void RemoveUpTo(Revision revision);

  /// Removes the announcements made more than `kMaxWriteDuration` before a read
  /// of the table that began at `read_started` and showed the revision in force
  /// as the head.
  void RemoveExpired(TimePoint read_started);

  /// Whether no announcement is pending. While one is, a change above the
  /// revision in force may still be accepted.
  [[nodiscard]] bool empty() const noexcept { return pending_.empty(); }

 private:
  struct Pending {
    Revision revision{};
    TimePoint added_at{};
  };

  std::map<std::string, Pending> pending_;
};

}  // namespace sycamoreford
