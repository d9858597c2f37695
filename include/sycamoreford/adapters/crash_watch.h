#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sycamoreford/adapters/quarantine_guard.h"

namespace sycamoreford {

/// What one send of a request tells about the traits of the request.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
class CrashWatch {
 public:
  /// Precondition: `guard` outlives this object.
  CrashWatch(QuarantineGuard& guard,
             std::vector<RequestTrait> traits,
             std::string endpoint,
             EndpointRun run)
      : guard_(guard),
        traits_(std::move(traits)),
        endpoint_(std::move(endpoint)),
        run_(run) {}

  /// Called when events of the response have arrived.
  void OnEvents(TimePoint now);
  /// Called when the response is known to be complete.
  void OnComplete(TimePoint now);
  /// Called when the connection was lost before the response was complete.
  void OnConnectionLost(TimePoint now) const;

 private:
  void ReportSound(TimePoint now);

  QuarantineGuard& guard_;
  std::vector<RequestTrait> traits_;
  std::string endpoint_;
  EndpointRun run_;
  std::optional<TimePoint> first_event_at_;
  bool is_sound_ = false;
};

}  // namespace sycamoreford
