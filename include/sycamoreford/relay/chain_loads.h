#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// What one daemon tells the others of the load of a chain.
struct ChainLoadReport {
  /// Id of the first endpoint of the chain.
  std::string first_endpoint;
  /// Requests that run or wait there, from all daemons.
  std::uint32_t requests = 0;
  Duration age{0};
};

/// The requests at the first endpoint of each chain, from all daemons.
///
/// The newest report of an endpoint counts, whether it came with a response to
/// this daemon or was told by another one. Requests that this daemon has sent
/// or ended since the report are added or subtracted.
///
/// Thread safety: none.
class ChainLoads {
 public:
  /// How long a report counts; about a tenth of the duration of a stream.
  static constexpr std::chrono::milliseconds kTtl{500};
  /// A report is not told if another one that is less than this much older is
  /// known to all daemons.
  static constexpr std::chrono::milliseconds kTellInterval{150};
  /// Reports of more requests than any endpoint has slots for are not believed.
  static constexpr std::uint32_t kMaxRequests = 100'000;
  /// Loads that are told of further endpoints are not kept.
  static constexpr std::size_t kMaxTold = 1'024;

  /// Called with each response that reports the load of its endpoint.
  void OnReport(const std::string& first,
                std::uint32_t requests,
                TimePoint now);
  /// Called when another daemon told of a load.
  void OnTold(const ChainLoadReport& report, TimePoint now);

  /// Called when this daemon has sent a request, and when one has ended.
  void OnSent(const std::string& first, TimePoint now) {
    Change(first, 1, now);
  }
  void OnEnded(const std::string& first, TimePoint now) {
    Change(first, -1, now);
  }

  /// Requests at the first endpoint of a chain; nothing without a report that
  /// still counts.
  [[nodiscard]] std::optional<double> Requests(const std::string& first,
                                               TimePoint now) const;

  /// Age of the report of an endpoint; `kTtl` without one that still counts.
  [[nodiscard]] Duration Age(const std::string& first, TimePoint now) const;

  /// The report of an endpoint if the other daemons are to be told of it now;
  /// they count as told then.
  [[nodiscard]] std::optional<ChainLoadReport> TakeUntold(
      const std::string& first,
      TimePoint now);

  /// Forgets the endpoints without a report that counts.
  void Expire(TimePoint now);
  /// Number of endpoints with state in memory.
  [[nodiscard]] std::size_t size() const noexcept { return loads_.size(); }

 private:
  struct OwnChange {
    TimePoint at{};
    int requests = 0;
  };

  struct Load {
    std::uint32_t requests = 0;
    TimePoint reported_at{};
    /// Time of the newest report that all daemons know.
    TimePoint told_at{};
    /// What this daemon has sent and ended, no longer ago than `kTtl`.
    std::deque<OwnChange> changes;
  };

  void Change(const std::string& first, int requests, TimePoint now);

  std::map<std::string, Load> loads_;
};

}  // namespace sycamoreford
