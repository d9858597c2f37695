#pragma once

#include <optional>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/membership/member_info.h"

namespace sycamoreford {

/// What a daemon states of itself.
struct MemberStatus {
  /// Revision that it has in force.
  Revision revision{};
  /// Whether it reached the table in its last confirmation interval.
  bool table_reachable = false;
  /// Whether it vouches that no change above its revision was announced to it.
  bool guarantees_no_newer_change = false;
  bool draining = false;
  /// Set in the last statement before a planned exit.
  bool left = false;
};

/// A member as another daemon sees it.
struct MemberState {
  MemberInfo info;
  MemberStatus status;
  /// No later than when it made the statement; empty before the first.
  std::optional<TimePoint> reported_at{};
  /// Heard of within the suspicion bound, and has not left.
  bool is_alive = false;
};

}  // namespace sycamoreford
