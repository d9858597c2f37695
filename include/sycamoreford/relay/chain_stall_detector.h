#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Notices chains on which nothing moves any more, or that have become slow.
///
/// All streams of a chain stop together when one of its stages dies or freezes,
/// long before the endpoints give the streams up; a slow stage holds all of
/// them up. Load answered: a lost card cuts a hundred streams, which are moved
/// while their callers still wait. The pause that is allowed follows the
/// chain's own pace.
///
/// Thread safety: none.
class ChainStallDetector {
 public:
  /// A request was sent to the chain that begins with `first`.
  void OnSent(const std::string& first, TimePoint now);
  /// Something arrived from the chain.
  void OnProgress(const std::string& first, TimePoint now);
  /// A stream got its next event after a pause.
  void OnPause(const std::string& first, Duration pause);
  /// The request ended or left the chain.
  void OnEnded(const std::string& first);

  /// Chains to look at: they carry requests, and either nothing arrived for
  /// longer than a chain's usual pause, or their pauses are long. Each is named
  /// again only after a while, which grows as long as nothing is found.
  [[nodiscard]] std::vector<std::string> ChainsToInspect(TimePoint now);

 private:
  struct Activity {
    std::uint32_t requests = 0;
    /// Whether anything has arrived since it was last idle.
    bool has_progress = false;
    TimePoint last_progress_at{};
    TimePoint next_inspection_at{};
    Duration inspection_interval{0};
    /// Running mean of the pauses of its streams, in ms.
    double mean_pause_ms = 0;
  };

  std::map<std::string, Activity> chains_;
};

}  // namespace sycamoreford
