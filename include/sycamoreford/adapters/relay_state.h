#pragma once

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
#include "sycamoreford/core/clock.h"
#include "sycamoreford/fleet/endpoint_directory.h"
#include "sycamoreford/relay/chain_selector.h"
#include "sycamoreford/relay/chain_stall_detector.h"
#include "sycamoreford/relay/fleet_retry_budget.h"
#include "sycamoreford/relay/manifest.h"
#include "sycamoreford/relay/relay_metrics.h"
#include "sycamoreford/relay/service_selector.h"

namespace sycamoreford {

/// A request that an endpoint works on for this daemon.
struct ActiveAttempt {
  std::string request_id;
  Chain stages;
  /// Ends the exchange when `Abort` is called; outlives this object.
  HttpCall* call = nullptr;
  /// It was given up here, since a stage is lost.
  bool is_aborted = false;
};

/// What one daemon knows and shares between its requests and loops.
///
/// Thread safety: none; everything runs on one thread.
class RelayState {
 public:
  /// \param data_centre of this daemon.
  RelayState(std::string data_centre, RetryLimits retry_limits);

  /// The configuration in force; nothing before the first was read.
  [[nodiscard]] const std::shared_ptr<const Manifest>& manifest()
      const noexcept {
    return manifest_;
  }

  /// Takes a configuration into force, unless it is not newer.
  ///
  /// \returns whether it was taken.
  bool Accept(std::shared_ptr<const Manifest> manifest);

  [[nodiscard]] EndpointDirectory& directory() noexcept { return directory_; }
  [[nodiscard]] ServiceSelector& service_selector() noexcept {
    return service_selector_;
  }
  [[nodiscard]] ChainStallDetector& stall_detector() noexcept {
    return stall_detector_;
  }
  [[nodiscard]] RelayMetrics& metrics() noexcept { return metrics_; }

  /// Replaces the allowance of all services' retries.
  void SetRetryLimits(RetryLimits limits);

  /// The chains of a service as of now, rebuilt when its endpoints changed.
  /// Precondition: the service runs a model.
  [[nodiscard]] ChainSelector& Chains(const RelayService& service,
                                      TimePoint now);

  /// A service's retries.
  [[nodiscard]] FleetRetryBudget& RetryBudgetFor(const std::string& service);
  [[nodiscard]] std::map<std::string, FleetRetryBudget>&
  retry_budgets() noexcept {
    return retry_budgets_;
  }

  /// Daemons that share limits, this one included; a high guess before they
  /// were counted.
  [[nodiscard]] std::uint32_t daemon_count() const noexcept {
    return daemon_count_;
  }
  /// Place of this daemon among them, from 0; it decides who takes duties.
  [[nodiscard]] std::size_t rank() const noexcept { return rank_; }
  void SetDaemons(std::uint32_t daemon_count, std::size_t rank) noexcept {
    daemon_count_ = daemon_count;
    rank_ = rank;
  }
  /// How much rarer a daemon makes calls that all daemons make, so that their
  /// sum does not grow with their number.
  [[nodiscard]] std::uint32_t interval_factor() const noexcept {
    constexpr std::uint32_t kManyDaemons = 20;
    return 1 + daemon_count_ / kManyDaemons;
  }

  /// Lists an attempt until `Remove`. The reference stays valid until then.
  std::list<ActiveAttempt>::iterator AddAttempt(ActiveAttempt attempt);
  void RemoveAttempt(std::list<ActiveAttempt>::iterator attempt);

  /// Sets what is called with an endpoint that a request had trouble with.
  void SetInspector(std::function<void(std::string)> inspect) {
    inspect_ = std::move(inspect);
  }

  /// Sets what tells other daemons of an endpoint that there is trouble with,
  /// or how slow it states to be.
  void SetPeerNotifier(
      std::function<void(const std::string&, std::optional<double>)> notify) {
    notify_peers_ = std::move(notify);
  }

  /// Has an endpoint looked at, without a suspicion.
  void Inspect(const std::string& id);

  /// Endpoints that requests of this daemon pass behind this first one.
  [[nodiscard]] std::set<std::string> StagesOfActiveChains(
      const std::string& first) const;

  /// A request had trouble with an endpoint: it is not used for a while, and
  /// looked at to learn whether it is lost.
  void OnEndpointFault(const std::string& id, TimePoint now);

  /// An endpoint stated how slow it is: chains weigh it by that, here and at
  /// the other daemons.
  void OnSlowness(const std::string& id, double slowness);

  /// An endpoint is lost: it is not used for a while, and the requests that
  /// pass it are given up there.
  ///
  /// \param reason for the log.
  void OnEndpointLost(const std::string& id,
                      std::string_view reason,
                      TimePoint now);

 private:
  struct ServiceChains {
    ChainSelector selector;
    /// Data centres without a chain and the layers that are missing there, as
    /// last logged.
    std::string missing_layers;
    std::uint64_t directory_version = 0;
    std::uint64_t revision = 0;
    /// When a suspicion ends, which brings an endpoint back.
    TimePoint valid_until{};
  };

  std::string data_centre_;
  RetryLimits retry_limits_;
  std::shared_ptr<const Manifest> manifest_;
  EndpointDirectory directory_;
  ServiceSelector service_selector_;
  ChainStallDetector stall_detector_;
  RelayMetrics metrics_;
  std::map<std::string, ServiceChains> chains_;
  std::map<std::string, FleetRetryBudget> retry_budgets_;
  std::list<ActiveAttempt> attempts_;
  std::uint32_t daemon_count_;
  std::size_t rank_ = 0;
  std::function<void(std::string)> inspect_;
  std::function<void(const std::string&, std::optional<double>)> notify_peers_;
};

/// The cards of a service among its endpoints.
///
/// \param only_usable leaves out those that are suspected or leaving.
[[nodiscard]] std::vector<Accelerator> AcceleratorsOf(
    const EndpointDirectory& directory,
    const RelayService& service,
    TimePoint now,
    bool only_usable);

}  // namespace sycamoreford
