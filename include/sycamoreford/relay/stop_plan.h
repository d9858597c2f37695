#pragma once

#include <optional>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// What a stopping daemon still sends: nothing that it would have to cut off.
///
/// Answers the load of a load balancer that goes on sending for a while, and of
/// callers that use connections that are open, until the process ends.
///
/// Thread safety: none.
class StopPlan {
 public:
  /// The parts of a request that decide.
  struct Request {
    /// End of its time limit.
    TimePoint deadline{};
    Duration target_latency{};
    /// Whether it may be sent again after an endpoint may have run it.
    bool may_run_again = false;
  };

  /// Called when the listener is closed: from now on callers that are refused
  /// reach other daemons.
  ///
  /// \param ends_at when the requests in flight are ended.
  void OnListenerClosed(TimePoint ends_at) noexcept { ends_at_ = ends_at; }

  /// Whether a request may be sent to an endpoint. Once the listener is closed,
  /// one that runs at most once only if its whole time limit is left, and any
  /// other if it can be answered on time.
  [[nodiscard]] bool MaySend(const Request& request,
                             TimePoint now) const noexcept {
    if (!ends_at_) {
      return true;
    }
    return request.may_run_again ? now + request.target_latency <= *ends_at_
                                 : request.deadline <= *ends_at_;
  }

 private:
  std::optional<TimePoint> ends_at_;
};

}  // namespace sycamoreford
