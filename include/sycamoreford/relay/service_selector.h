#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/fleet/endpoint_directory.h"

namespace sycamoreford {

/// Chooses an endpoint of a plain service by its response time, failure rate
/// and requests in flight.
///
/// Endpoints that become slow or fail some of their requests while they report
/// themselves as healthy lose traffic immediately. They regain it through the
/// few requests that they still receive.
///
/// Thread safety: none.
class ServiceSelector {
 public:
  /// \param data_centre data centre of this daemon.
  explicit ServiceSelector(std::string data_centre)
      : data_centre_(std::move(data_centre)) {}

  /// Returns the endpoint that is expected to respond first.
  ///
  /// \param tried endpoints that the request was already sent to; never chosen.
  /// \param avoid_unhealthy prefer other endpoints to those with a high failure
  ///     rate.
  /// \returns null when none is usable. Valid until the directory changes.
  [[nodiscard]] const KnownEndpoint* Pick(const EndpointDirectory& directory,
                                          const std::string& service,
                                          TimePoint now,
                                          const std::set<std::string>& tried,
                                          bool avoid_unhealthy) const;

  void OnSent(const std::string& id);
  /// Called for a response; `ok` tells whether it counts as a success.
  void OnResponse(const std::string& id, TimePoint now, Duration time, bool ok);
  /// Called when a request, which stays in flight, has taken too long.
  void OnOverdue(const std::string& id, TimePoint now, Duration time);
  /// Called when a request ended without a result that can be attributed to the
  /// endpoint.
  void OnEnded(const std::string& id);

 private:
  struct EndpointScore {
    std::uint32_t in_flight = 0;
    double response_ms = 0;
    double failure_rate = 0;
    TimePoint updated_at{};
  };

  void RecordResult(EndpointScore& score,
                    TimePoint now,
                    Duration time,
                    bool ok) const;
  [[nodiscard]] double FailureRateAt(const EndpointScore& score,
                                     TimePoint now) const;

  std::string data_centre_;
  std::map<std::string, EndpointScore> scores_;
};

}  // namespace sycamoreford
