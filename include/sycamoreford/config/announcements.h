#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// Changes that daemons are about to write to the table, as told to this one.
///
/// An announcement stands until its revision is in force, until it is
/// withdrawn, or until the table has been read for long without it.
///
/// Thread safety: none; the owner serializes calls.
class Announcements {
 public:
  /// Most announcements that stand at once; more are not acknowledged.
  static constexpr std::size_t kMaxPending = 256;
  /// How long a write may be under way after its announcement.
  static constexpr std::chrono::minutes kMaxWriteDuration{5};

  /// Notes an announcement. \returns whether it may be acknowledged.
  bool Add(Revision revision, const std::string& write_id, TimePoint now);

  /// Notes that a change certainly was not accepted.
  void Withdraw(const std::string& write_id);

  /// Drops what the revision in force has passed.
  void RemoveUpTo(Revision revision);

  /// Drops what was announced long before a read of the table that began at
  /// `started` and showed the revision in force as the head.
  void RemoveExpired(TimePoint read_started);

  /// Whether a change above the revision in force may be accepted.
  [[nodiscard]] bool empty() const noexcept { return pending_.empty(); }

 private:
  struct Pending {
    Revision revision{};
    TimePoint added_at{};
  };

  std::map<std::string, Pending> pending_;
};

}  // namespace sycamoreford
