#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sycamoreford/adapters/http_client.h"
#include "sycamoreford/adapters/leaving_recorder.h"
#include "sycamoreford/adapters/quarantine_guard.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/fleet/daemon_duty.h"
#include "sycamoreford/fleet/endpoint_directory.h"
#include "sycamoreford/fleet/fleet_accelerators.h"
#include "sycamoreford/fleet/inspection_cause.h"
#include "sycamoreford/fleet/isolation_detector.h"
#include "sycamoreford/fleet/peer_table.h"
#include "sycamoreford/relay/backoff_source.h"
#include "sycamoreford/relay/chain_selector.h"
#include "sycamoreford/relay/chain_stall_detector.h"
#include "sycamoreford/relay/configuration_wait.h"
#include "sycamoreford/relay/endpoint_gate.h"
#include "sycamoreford/relay/fleet_retry_budget.h"
#include "sycamoreford/relay/manifest.h"
#include "sycamoreford/relay/relay_metrics.h"
#include "sycamoreford/relay/service_selector.h"
#include "sycamoreford/relay/stop_plan.h"

namespace sycamoreford {

/// A request of this daemon that is in flight on a chain or at another daemon.
struct ActiveAttempt {
  std::string request_id;
  /// Empty if it was forwarded to another daemon.
  Chain stages{};
  /// Address of that daemon.
  std::string peer{};
  /// The call to the first endpoint or to the daemon. Outlives this object.
  HttpCall* call = nullptr;
  /// When `call` is interrupted unless something arrives before. Of a chain,
  /// set while a stage is suspected.
  std::optional<TimePoint> next_interrupt_at{};
};

/// State of a daemon that its requests and background loops share.
///
/// Thread safety: none; all users run on the same thread.
class RelayState {
 public:
  /// \param data_centre data centre of this daemon.
  /// \param retry_limits limits for each service.
  RelayState(std::string data_centre, RetryLimits retry_limits);

  /// The configuration in force; null until the first was received.
  [[nodiscard]] const std::shared_ptr<const Manifest>& manifest()
      const noexcept {
    return manifest_;
  }

  /// Puts a configuration in force if its revision is higher than the current
  /// one.
  ///
  /// \returns whether the configuration was accepted.
  bool Accept(std::shared_ptr<const Manifest> manifest);

  /// Sets the function that is called when a configuration was accepted.
  void SetConfigurationObserver(std::function<void()> observer) {
    on_configuration_ = std::move(observer);
  }

  [[nodiscard]] EndpointDirectory& directory() noexcept { return directory_; }
  [[nodiscard]] ServiceSelector& service_selector() noexcept {
    return service_selector_;
  }
  [[nodiscard]] ChainStallDetector& stall_detector() noexcept {
    return stall_detector_;
  }
  [[nodiscard]] QuarantineGuard& quarantine() noexcept { return quarantine_; }
  [[nodiscard]] RelayMetrics& metrics() noexcept { return metrics_; }
  /// What this daemon still sends while it stops.
  [[nodiscard]] StopPlan& stop_plan() noexcept { return stop_plan_; }
  [[nodiscard]] ConfigurationWait& configuration_wait() noexcept {
    return configuration_wait_;
  }

  /// Replaces the retry limits of all services.
  void SetRetryLimits(RetryLimits limits);

  /// The selector for the current chains of a service. Rebuilds them if the
  /// endpoints, their limits or the configuration have changed, or a suspicion
  /// has ended.
  ///
  /// \param requested the service as the request knows it; the configuration in
  ///     force decides unless it no longer contains the service.
  /// Precondition: the service has an engine, and a configuration is in force.
  [[nodiscard]] ChainSelector& ChainSelectorFor(const RelayService& requested,
                                                TimePoint now);

  /// Called when the first endpoint of a chain reported its load with a
  /// response. The other daemons are told from time to time if the service has
  /// several ranks.
  void OnReportedLoad(const std::string& service,
                      const std::string& first,
                      ReportedLoad load,
                      TimePoint now);

  /// Mean age of what is known of the loads of a service's chains.
  [[nodiscard]] Duration ChainKnowledgeAge(const std::string& service,
                                           TimePoint now) const;

  /// Called when another daemon told of the load of a chain.
  void OnToldLoad(const std::string& service,
                  const ChainLoadReport& report,
                  TimePoint now);

  /// Sets the function that tells other daemons of the load of a chain.
  void SetLoadNotifier(std::function<void(const std::string& service,
                                          const ChainLoadReport&)> notify) {
    notify_loads_ = std::move(notify);
  }

  /// The retry budget of a service.
  [[nodiscard]] FleetRetryBudget& RetryBudgetFor(const std::string& service);
  [[nodiscard]] std::map<std::string, FleetRetryBudget>&
  retry_budgets() noexcept {
    return retry_budgets_;
  }

  /// Number of daemons that share limits, including this one. A high estimate
  /// until they have been counted.
  [[nodiscard]] std::uint32_t daemon_count() const noexcept {
    return daemon_count_;
  }
  /// Which daemons do what one of them can do for all.
  [[nodiscard]] DaemonDuty& duty() noexcept { return duty_; }
  /// Position of this daemon in the order of all daemons, from 0. The first
  /// ones take on tasks that only some daemons have.
  [[nodiscard]] std::size_t rank() const noexcept { return rank_; }
  void SetDaemons(std::uint32_t daemon_count, std::size_t rank) {
    daemon_count_ = daemon_count;
    rank_ = rank;
    limits().SetDaemons(daemon_count, interval_factor());
    peers_.SetIntervalFactor(interval_factor());
  }
  /// Factor for the intervals of calls that every daemon makes, so that the
  /// total rate of calls does not grow with the number of daemons.
  [[nodiscard]] std::uint32_t interval_factor() const noexcept {
    constexpr std::uint32_t kManyDaemons = 20;
    return 1 + daemon_count_ / kManyDaemons;
  }

  /// Registers an attempt. The iterator stays valid until `RemoveAttempt`.
  std::list<ActiveAttempt>::iterator AddAttempt(ActiveAttempt attempt);
  void RemoveAttempt(std::list<ActiveAttempt>::iterator attempt);

  /// Sets the function that inspects an endpoint; it is called with the id.
  void SetInspector(
      std::function<void(const std::string&, InspectionCause)> inspect) {
    inspect_ = std::move(inspect);
  }

  /// Sets the function that notifies other daemons of an endpoint. It is called
  /// with the id and the reported slowness, or without a slowness if the
  /// endpoint is suspected of another fault.
  void SetPeerNotifier(
      std::function<void(const std::string&, std::optional<double>)> notify) {
    notify_peers_ = std::move(notify);
  }

  /// Starts an inspection of an endpoint, by this or by another daemon, without
  /// marking it as suspected.
  void Inspect(const std::string& id, InspectionCause cause);

  /// Ids of all stages, including the first, of the chains that start at
  /// `first` and have requests of this daemon in flight.
  [[nodiscard]] std::set<std::string> StagesOfActiveChains(
      const std::string& first) const;

  /// Called when a request met a fault of an endpoint. The endpoint is not used
  /// for a while and is inspected to find out whether it is lost; the other
  /// daemons are notified.
  void OnEndpointFault(const std::string& id, TimePoint now);

  /// Called when an endpoint reported its slowness, which is taken into account
  /// when chains are built, by this and by the other daemons.
  void OnSlowness(const std::string& id, double slowness);

  /// The other daemons to which requests can be forwarded.
  [[nodiscard]] PeerTable& peers() noexcept { return peers_; }

  /// Called when a connection to an endpoint was established.
  ///
  /// \param begun_at when the attempt to connect began.
  void OnConnected(TimePoint begun_at);
  /// Called when a connection to an endpoint was not established.
  void OnUnreachable(const std::string& id, TimePoint now);
  /// Whether this daemon has lost its links to all endpoints.
  [[nodiscard]] bool is_isolated() const noexcept {
    return isolation_.is_isolated();
  }

  /// Whether this daemon has endpoints for a service, at rest or not.
  [[nodiscard]] bool HasEndpointsFor(const RelayService& service,
                                     TimePoint now) {
    return !DestinationsOf(service, now).empty();
  }

  /// Decides whether anything may be sent to an endpoint.
  [[nodiscard]] EndpointGate& gate() noexcept { return gate_; }
  [[nodiscard]] EndpointLimits& limits() noexcept { return gate_.limits(); }

  /// Ids of the endpoints to which requests for a service are sent: the first
  /// endpoints of its chains, or those that are not suspected.
  [[nodiscard]] std::vector<std::string> DestinationsOf(
      const RelayService& service,
      TimePoint now);

  /// Sets the function that sends the due reports on limits to other daemons.
  void SetLimitNotifier(std::function<void()> notify) {
    notify_limits_ = std::move(notify);
  }

  /// What endpoints and other daemons say of endpoints that leave.
  [[nodiscard]] LeavingRecorder& leaving() noexcept { return leaving_; }

  /// Called for each response of an endpoint.
  ///
  /// \param per_second requests per second that the endpoint accepts from all
  ///     daemons together; empty if the response states no limit.
  /// \param sent_at when the request was sent.
  void OnStatedLimit(const std::string& id,
                     std::optional<double> per_second,
                     TimePoint sent_at,
                     TimePoint now);

  /// Called when another daemon reported on the limit of an endpoint.
  void OnLimitReport(const EndpointLimitReport& report,
                     const std::string& daemon,
                     TimePoint now);

  /// Called when a run of an endpoint turned something away and asked for a
  /// pause. The other daemons are not told: it asked this one.
  ///
  /// \param time how long it wants nothing more from this daemon.
  void OnRetryAfter(const EndpointRunId& run,
                    std::chrono::milliseconds time,
                    BackoffSource source,
                    TimePoint now);

  /// Logs and forgets the pauses that have ended.
  void ExpireBackoffs(TimePoint now);

  /// Called for each request, inspection and order that is sent to an endpoint.
  void OnSent(const std::string& id, TimePoint now);

  /// Called when an endpoint did not respond, or responded as if it had lost
  /// its requests. It is not used for a while. It may be sound nonetheless, so
  /// its requests are not ended: the calls on chains that contain it are
  /// interrupted, and their handlers try other chains if they are silent.
  ///
  /// \param reason reason for the log.
  void OnEndpointSuspected(const std::string& id,
                           std::string_view reason,
                           TimePoint now);

  /// Called when other daemons have found that an endpoint does not respond, or
  /// not as the run that is listed. Treated like a suspicion of this daemon,
  /// but not told any further.
  void OnEndpointToldLost(const std::string& id, TimePoint now);

  /// Called when a request whose chain is silent found no other chain of its
  /// service that it could be sent to.
  void OnChainAwaited(const std::string& service, TimePoint now);
  /// Whether requests wait for a chain of this service at present.
  [[nodiscard]] bool IsChainAwaited(const std::string& service,
                                    TimePoint now) const;

  /// Interrupts the calls that are silent since a suspicion, or since another
  /// daemon was last heard of, from time to time, since chains that can take
  /// their requests may have become available.
  void InterruptSilentAttempts(TimePoint now);

 private:
  /// Stops using an endpoint for a while, and interrupts the calls on its
  /// chains.
  void Suspect(const std::string& id, std::string_view reason, TimePoint now);

  /// Logs the limit of an endpoint that has changed.
  void LogLimit(const std::string& id) const;

  struct ServiceChains {
    ChainSelector selector;
    /// Data centres without a chain and the layers missing there, as last
    /// logged.
    std::string missing_layers{};
    std::uint64_t directory_version = 0;
    std::uint64_t revision = 0;
    std::uint64_t gate_version = 0;
    /// Earliest end of a suspicion, after which an endpoint is usable again.
    TimePoint valid_until{};
  };

  std::string data_centre_;
  RetryLimits retry_limits_;
  std::shared_ptr<const Manifest> manifest_;
  EndpointDirectory directory_;
  ServiceSelector service_selector_;
  ChainStallDetector stall_detector_;
  QuarantineGuard quarantine_;
  ConfigurationWait configuration_wait_;
  StopPlan stop_plan_;
  RelayMetrics metrics_;
  LeavingRecorder leaving_{directory_, metrics_};
  std::map<std::string, ServiceChains> chains_;
  std::map<std::string, FleetRetryBudget> retry_budgets_;
  std::list<ActiveAttempt> attempts_;
  /// When requests last found no other chain, by service.
  std::map<std::string, TimePoint> awaited_at_;
  EndpointGate gate_{directory_};
  PeerTable peers_;
  IsolationDetector isolation_;
  std::uint32_t daemon_count_;
  std::size_t rank_ = 0;
  DaemonDuty duty_;
  std::function<void(const std::string&, InspectionCause)> inspect_;
  std::function<void(const std::string&, std::optional<double>)> notify_peers_;
  std::function<void()> notify_limits_;
  std::function<void()> on_configuration_;
  std::function<void(const std::string&, const ChainLoadReport&)> notify_loads_;
};

}  // namespace sycamoreford
