#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "sycamoreford/metrics/time_histogram.h"

namespace sycamoreford {

/// Counters and latency histograms of a relay's requests by service and
/// outcome, and counters by customer for a limited number of customers.
///
/// Thread safety: none.
class RelayMetrics {
 public:
  /// Label under which customers beyond the limit are counted together.
  static constexpr std::string_view kOther = "_other";

  /// Records a completed request.
  ///
  /// \param service empty when no service was found for the request.
  /// \param outcome `answered`, `endpoint_failed`, `broken`, `caller_left`,
  ///     `caller_left_unsent`, or the name of a refusal.
  /// \param time time from the arrival of the request to its end.
  /// \param sends how often the request was sent to an endpoint.
  void OnEnded(const std::string& service,
               const std::string& customer,
               std::string_view outcome,
               Duration time,
               int sends);

  /// Records how long a request lay unread at this daemon.
  void OnRead(const std::string& service, Duration unread_time);
  /// Records how much later than due a periodic task of the daemon ran.
  void OnTick(Duration lateness) { tick_lateness_.Record(lateness); }
  /// Records the time that it took to decode a configuration.
  void OnConfigurationDecoded(Duration time) { decoding_.Record(time); }

  /// Records the time until the first event of a stream reached its caller.
  void OnFirstEvent(const std::string& service, Duration time);
  /// Records the longest pause between two events of a stream.
  void OnLongestPause(const std::string& service, Duration time);

  /// Records a response that was lost after the request had been sent.
  ///
  /// \param has_begun whether the endpoint had begun to respond.
  void OnResponseLost(const std::string& service, bool has_begun);

  /// Records that a request is forwarded to another daemon.
  void OnForwarded(const std::string& service) {
    ++services_[service].forwarded;
  }
  /// Records a request that another daemon has forwarded to this one.
  void OnReceivedFromPeer(const std::string& service) {
    ++services_[service].from_peers;
  }

  /// Records that the load of a chain was told to the other daemons.
  void OnLoadTold(const std::string& service) {
    ++services_[service].loads_told;
  }
  /// Records that another daemon told of the load of a chain.
  void OnLoadHeard(const std::string& service) {
    ++services_[service].loads_heard;
  }

  /// Records what became of a request that needed room on a chain where
  /// requests of several ranks compete.
  ///
  /// \param outcome `started` or `refused`.
  /// \param waited time that it waited for room.
  void OnAdmission(const std::string& service,
                   std::uint32_t rank,
                   std::string_view outcome,
                   Duration waited);

  /// Records that an endpoint was found to be leaving.
  ///
  /// \param source name of a `LeavingSource`.
  void OnLeaving(std::string_view source) { ++leaving_[std::string(source)]; }

  /// Records that an endpoint is inspected.
  ///
  /// \param cause name of an `InspectionCause`.
  void OnInspection(std::string_view cause) {
    ++inspections_[std::string(cause)];
  }
  [[nodiscard]] const std::map<std::string, std::uint64_t>& inspections()
      const noexcept {
    return inspections_;
  }

  /// Records that an endpoint asked for a pause.
  ///
  /// \param source name of a `BackoffSource`.
  void OnBackoff(std::string_view source) { ++backoffs_[std::string(source)]; }

  /// Records that a request or an order was not sent after all, since the
  /// endpoint had asked for a pause meanwhile.
  ///
  /// \param kind `request` or `order`.
  void OnWithheld(std::string_view kind) { ++withheld_[std::string(kind)]; }

  /// All series in the Prometheus text format.
  [[nodiscard]] std::string ToPrometheus() const;

 private:
  struct RankSeries {
    std::map<std::string, std::uint64_t, std::less<>> outcomes;
    TimeHistogram waited;
  };

  struct ServiceSeries {
    std::map<std::string, std::uint64_t, std::less<>> outcomes;
    std::uint64_t sends = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t from_peers = 0;
    std::uint64_t loads_told = 0;
    std::uint64_t loads_heard = 0;
    /// Responses lost before and after the endpoint had begun to respond.
    std::uint64_t lost_before_begin = 0;
    std::uint64_t lost_after_begin = 0;
    std::map<std::uint32_t, RankSeries> ranks;
    TimeHistogram duration;
    TimeHistogram unread;
    TimeHistogram first_event;
    TimeHistogram longest_pause;
  };

  /// Maximum number of customers with counters of their own. The deployment
  /// that this is sized for has 880, of which a daemon sees only the active
  /// ones.
  static constexpr std::size_t kMaxCustomers = 200;

  std::map<std::string, ServiceSeries> services_;
  TimeHistogram tick_lateness_;
  TimeHistogram decoding_;
  /// Endpoints found to be leaving, by source.
  std::map<std::string, std::uint64_t> leaving_;
  /// Inspections of endpoints, by cause.
  std::map<std::string, std::uint64_t> inspections_;
  /// Pauses that endpoints asked for, by source.
  std::map<std::string, std::uint64_t> backoffs_;
  /// What was not sent after all, by kind.
  std::map<std::string, std::uint64_t> withheld_;
  std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>>
      customers_;
};

}  // namespace sycamoreford
