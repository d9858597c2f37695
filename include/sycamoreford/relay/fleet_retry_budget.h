#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Limits on the retries of a service over all daemons together.
struct RetryLimits {
  /// Maximum number of retries per request received from callers.
  double ratio = 0.1;
  /// Additional retries, over all daemons.
  double extra = 0;
  /// Sliding window over which requests and retries are counted.
  std::chrono::milliseconds window{10'000};
};

/// Requests received and retries sent by one daemon for a service within the
/// window.
struct RetryUsage {
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
};

/// The retry budget of one service, as enforced by one of several daemons.
///
/// Daemons report their usage to each other. Between two reports each daemon
/// assumes that every other one retries as much as itself, since a lost
/// endpoint affects all of them at once. While a report of any daemon is
/// missing, this one limits itself to its own share: the ratio of its own
/// requests, and `extra` divided by the number of daemons.
///
/// This keeps the sum of all retries within the limits when many endpoints fail
/// at once, even if callers reach only a few of the daemons.
///
/// Thread safety: none.
class FleetRetryBudget {
 public:
  explicit FleetRetryBudget(RetryLimits limits) : limits_(limits) {}

  /// Replaces the limits.
  ///
  /// Precondition: the window is unchanged, or losing the counts is acceptable.
  void SetLimits(RetryLimits limits) { limits_ = limits; }

  /// Called for each request received from a caller.
  void OnRequest(TimePoint now);

  /// Acquires one retry and counts it if it is allowed.
  ///
  /// \param daemons number of daemons that share the limits; at least 1.
  /// \returns whether the retry may be sent.
  [[nodiscard]] bool TryAcquire(TimePoint now, std::uint32_t daemons);

  /// Returns the usage of this daemon, to be sent to the others. Later retries
  /// count as unreported.
  [[nodiscard]] RetryUsage ReportUsage(TimePoint now);

  /// Records a usage report of another daemon.
  void OnUsageReport(const std::string& daemon,
                     RetryUsage usage,
                     TimePoint now);

 private:
  /// The window is counted in slices. One more is kept, because the window
  /// covers only a part of the oldest one.
  static constexpr std::size_t kWindowSlices = 20;
  static constexpr std::size_t kSlices = kWindowSlices + 1;

  struct Slice {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  struct PeerUsage {
    RetryUsage usage;
    TimePoint received_at{};
  };

  Slice& CurrentSlice(TimePoint now);
  [[nodiscard]] RetryUsage OwnUsage(TimePoint now);

  RetryLimits limits_;
  std::array<Slice, kSlices> slices_{};
  std::map<std::string, PeerUsage> peer_usage_;
  /// Retries since the last `ReportUsage`.
  std::uint32_t unreported_retries_ = 0;
};

}  // namespace sycamoreford
