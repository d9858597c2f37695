#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/ranked_mutex.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/route/chain.h"
#include "sycamoreford/route/endpoint_load.h"

namespace sycamoreford {

/// Result of an attempt with respect to one endpoint.
enum class AttemptResult {
  kSuccess,
  /// The endpoint failed; it is suspected until a trial request succeeds.
  kFailure,
  /// The chain was slow or stalled. The endpoint gets less traffic, although
  /// another stage may be the cause.
  kSlow,
};

/// State of all endpoints as known to this daemon; shared by the workers.
///
/// Thread safe. Lock rank `kEndpoints`; no other lock of the request path is
/// acquired while it is held.
class EndpointTable {
 public:
  /// Snapshot of the load of all endpoints; models `LoadSource`.
  class View {
   public:
    [[nodiscard]] EndpointLoad LoadOf(const EndpointId& id) const;

   private:
    friend class EndpointTable;
    std::map<EndpointId, EndpointLoad> loads_;
  };

  /// Indices of the stages of a chain at which a request is the trial request
  /// of a suspected endpoint. An endpoint has at most one trial request at a
  /// time.
  using Trials = std::vector<std::size_t>;

  /// Returns a consistent copy of the loads for planning.
  [[nodiscard]] View Snapshot(TimePoint now) const;

  /// Counts a request in flight at every stage of `chain`.
  ///
  /// \returns its trials, to be passed to `End`.
  Trials Begin(const Chain& chain);

  /// Ends a request counted by `Begin`.
  ///
  /// Precondition: `Begin` was called with this chain and returned `trials`.
  void End(const Chain& chain, const Trials& trials = {});

  /// Records the result of an attempt. Each consecutive failure doubles the
  /// time until the endpoint is tried again, up to a maximum; a success after
  /// failures starts a warm-up.
  void Report(const EndpointId& id, AttemptResult result, TimePoint now);

  /// Records the ratio of an attempt's service time to the expected one. An
  /// endpoint whose smoothed ratio is well above the median of all endpoints
  /// loses traffic, and regains it over time or with better ratios.
  ///
  /// Precondition: `ratio` is positive.
  void ReportLatencyRatio(const EndpointId& id, double ratio, TimePoint now);

  /// Records a load report, i.e. the number of requests of other daemons at an
  /// endpoint. Its weight decreases with its age, down to 0.
  void ReportLoad(const EndpointId& id, double requests, TimePoint now);

  /// Records whether an endpoint is leaving, according to itself or to the
  /// platform's list of VMs.
  void SetLeaving(const EndpointId& id, bool is_leaving);

  /// Sets the endpoints of the current configuration. Others are removed unless
  /// they have requests of this daemon in flight. New ones start with a warm-up
  /// unless the table was empty.
  void SetConfigured(const std::set<EndpointId>& configured, TimePoint now);

  /// Requests of this daemon in flight at an endpoint.
  [[nodiscard]] std::uint32_t InFlight(const EndpointId& id) const;

  /// Number of endpoints in the table.
  [[nodiscard]] std::size_t size() const;

 private:
  struct Entry {
    std::uint32_t in_flight = 0;
    bool is_configured = false;
    bool is_leaving = false;
    std::uint32_t failures = 0;
    TimePoint suspected_until{};
    bool has_trial = false;
    /// Smoothed ratio of service time to expected service time; 0 if unknown.
    double latency_ratio = 0;
    TimePoint latency_ratio_at{};
    TimePoint warm_up_start{};
    double reported_requests = 0;
    TimePoint reported_at{};
  };

  [[nodiscard]] double MedianLatencyRatio() const;
  [[nodiscard]] static double SpeedOf(const Entry& entry,
                                      double median,
                                      TimePoint now);
  [[nodiscard]] static double ReportedRequestsOf(const Entry& entry,
                                                 TimePoint now);

  mutable RankedMutex mutex_{LockRank::kEndpoints};
  std::map<EndpointId, Entry> entries_;
};

/// Counts a request in flight at all stages of a chain during its lifetime.
class ChainInFlightGuard {
 public:
  ChainInFlightGuard(EndpointTable& table, Chain chain);
  ~ChainInFlightGuard();
  ChainInFlightGuard(const ChainInFlightGuard&) = delete;
  ChainInFlightGuard& operator=(const ChainInFlightGuard&) = delete;

 private:
  EndpointTable& table_;
  Chain chain_;
  EndpointTable::Trials trials_;
};

}  // namespace sycamoreford
