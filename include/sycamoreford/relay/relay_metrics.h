#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "sycamoreford/metrics/time_histogram.h"

namespace sycamoreford {

/// Counters and times of a relay's requests, by service and by outcome, and
/// counters by customer within a bound.
///
/// Thread safety: none.
class RelayMetrics {
 public:
  /// Customer under which those beyond the bound are counted.
  static constexpr std::string_view kOther = "_other";

  /// A request ended.
  ///
  /// \param service empty when no service was found for it.
  /// \param outcome `answered`, `broken`, or the name of a refusal.
  /// \param time from its arrival to its end.
  /// \param sends to endpoints.
  void OnEnded(const std::string& service,
               const std::string& customer,
               std::string_view outcome,
               Duration time,
               int sends);

  /// The first event of a stream reached its caller.
  void OnFirstEvent(const std::string& service, Duration time);
  /// The longest pause between a stream's events.
  void OnLongestPause(const std::string& service, Duration time);

  /// All series in the Prometheus text format.
  [[nodiscard]] std::string ToPrometheus() const;

 private:
  struct ServiceSeries {
    std::map<std::string, std::uint64_t, std::less<>> outcomes;
    std::uint64_t sends = 0;
    TimeHistogram duration;
    TimeHistogram first_event;
    TimeHistogram longest_pause;
  };

  /// Customers with counters of their own; the target has 880, of which a
  /// daemon sees the active ones.
  static constexpr std::size_t kMaxCustomers = 200;

  std::map<std::string, ServiceSeries> services_;
  std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>>
      customers_;
};

}  // namespace sycamoreford
