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

/// What became of an attempt, as far as one endpoint is concerned.
enum class AttemptResult {
  kSuccess,
  /// It failed; it is suspected until a trial succeeds.
  kFailure,
  /// It was in a chain that was slow or silent; it gets less traffic, though
  /// another stage may be to blame.
  kSlow,
};

/// What this daemon knows of all endpoints; shared by the workers.
///
/// Thread safe. Lock rank `kEndpoints`; a leaf in the request path.
class EndpointTable {
 public:
  /// Load as seen at one moment; models `LoadSource`.
  class View {
   public:
    [[nodiscard]] EndpointLoad LoadOf(const EndpointId& id) const;

   private:
    friend class EndpointTable;
    std::map<EndpointId, EndpointLoad> loads_;
  };

  /// Stages of a chain, by index, at which a request is a suspected endpoint's
  /// only trial.
  using Trials = std::vector<std::size_t>;

  /// A consistent copy for planning.
  [[nodiscard]] View Snapshot(TimePoint now) const;

  /// Counts a request at every stage of `chain`.
  ///
  /// \returns its trials, to be handed to `End`.
  Trials Begin(const Chain& chain);

  /// Uncounts a request. Precondition: `Begin` was called with this chain and
  /// returned `trials`.
  void End(const Chain& chain, const Trials& trials = {});

  /// Records how an endpoint behaved. Failures in a row lengthen the time
  /// until it is tried again, up to a bound; a success after failures makes it
  /// warm up.
  void Report(const EndpointId& id, AttemptResult result, TimePoint now);

  /// Records the service time of an attempt as a multiple of what was
  /// expected. An endpoint whose smoothed multiple is well above the median of
  /// all loses traffic, and wins it back with time or better reports.
  ///
  /// Precondition: `ratio` is positive.
  void ReportLatencyRatio(const EndpointId& id, double ratio, TimePoint now);

  /// Records a late load report: requests of other daemons at an endpoint.
  /// It counts less as it ages and not at all after a bound.
  void ReportLoad(const EndpointId& id, double requests, TimePoint now);

  /// Records what an endpoint or the platform's list says of leaving.
  void SetLeaving(const EndpointId& id, bool is_leaving);

  /// Takes over the endpoints of a configuration: forgets all others once they
  /// run nothing of this daemon, and makes new ones warm up unless the table
  /// was empty.
  void SetConfigured(const std::set<EndpointId>& configured, TimePoint now);

  /// Requests of this daemon that run at an endpoint now.
  [[nodiscard]] std::uint32_t InFlight(const EndpointId& id) const;

  /// Number of endpoints that it holds.
  [[nodiscard]] std::size_t size() const;

 private:
  struct Entry {
    std::uint32_t in_flight = 0;
    bool is_configured = false;
    bool is_leaving = false;
    std::uint32_t failures = 0;
    TimePoint suspected_until{};
    bool has_trial = false;
    /// Smoothed service time as a multiple of the expected; 0 is unknown.
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

/// Counts a request at the stages of a chain for as long as it lives.
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
