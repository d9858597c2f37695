#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Detects chains that have stalled or become slow.
///
/// All streams of a chain stop together when one of its stages crashes or
/// freezes, long before the endpoints abort the streams, and a slow stage
/// delays all of them. A lost accelerator can interrupt a hundred streams;
/// early detection lets them be moved while their callers still wait. The
/// maximum pause is derived from the usual pauses of the chain.
///
/// Thread safety: none.
class ChainStallDetector {
 public:
  /// Called when a request is sent to the chain whose first endpoint is
  /// `first`.
  ///
  /// \param target_pause longest pause with which its stream is on time.
  void OnSent(const std::string& first,
              std::chrono::milliseconds target_pause,
              TimePoint now);
  /// Called when any data arrives from the chain.
  void OnProgress(const std::string& first, TimePoint now);
  /// Records the pause between two events of a stream.
  void OnPause(const std::string& first, Duration pause);
  /// Called when a request has ended or left the chain.
  void OnEnded(const std::string& first);

  /// Returns the first endpoints of chains to inspect: chains with requests in
  /// flight from which nothing has arrived for longer than the maximum pause,
  /// or whose mean pause is long. Each is returned again only after an
  /// interval, which doubles up to a maximum until the chain makes progress at
  /// a normal speed.
  ///
  /// \param interval_factor factor on the interval of chains that are slow but
  ///     not silent; daemons tell each other what slows them.
  [[nodiscard]] std::vector<std::string> ChainsToInspect(
      TimePoint now,
      std::uint32_t interval_factor);

 private:
  struct Activity {
    std::uint32_t requests = 0;
    /// Whether anything has arrived since the chain was last idle.
    bool has_progress = false;
    TimePoint last_progress_at{};
    /// Earliest next inspection if the chain is silent, and if it is slow.
    TimePoint next_inspection_at{};
    TimePoint next_slow_inspection_at{};
    Duration inspection_interval{0};
    /// Mean pause from which the chain is slow.
    Duration slow_pause{0};
    /// Moving average of the pauses of the chain's streams, in ms.
    double mean_pause_ms = 0;
  };

  std::map<std::string, Activity> chains_;
};

}  // namespace sycamoreford
