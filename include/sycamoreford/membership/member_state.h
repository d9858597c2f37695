#pragma once

#include <optional>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/membership/member_info.h"

namespace sycamoreford {

/// The content of a daemon's status report.
struct MemberStatus {
  /// Revision in force at the daemon.
  Revision revision{};
  /// Whether its last attempt to read the table reached it.
  bool table_reachable = false;
  /// Whether it guarantees that no change above its revision was announced to
  /// it.
  bool guarantees_no_newer_change = false;
  bool draining = false;
  /// Set in the last report before a planned exit.
  bool left = false;
};

/// A member as another daemon sees it.
struct MemberState {
  MemberInfo info;
  MemberStatus status;
  /// Lower bound of the time of the newest status report; empty before the
  /// first report.
  std::optional<TimePoint> reported_at{};
  /// Its newest report is within the suspicion timeout, and it has not left.
  bool is_alive = false;
};

}  // namespace sycamoreford
