#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/admission_gate.h"
#include "sycamoreford/adapters/caller_request.h"
#include "sycamoreford/admission/customer_keys.h"
#include "sycamoreford/admission/retry_budget.h"
#include "sycamoreford/route/endpoint_table.h"
#include "sycamoreford/route/plan_cache.h"
#include "sycamoreford/stream/answer_driver.h"

namespace sycamoreford {

/// Admission, chain and retry decisions for the requests of one daemon. Thread
/// safe.
class EntryPolicy {
 public:
  /// Precondition: `endpoints` outlives this object.
  explicit EntryPolicy(EndpointTable& endpoints) : endpoints_(endpoints) {}

  /// Sets this daemon's position among the live daemons.
  void SetFleet(const FleetPosition& fleet);
  [[nodiscard]] FleetPosition fleet() const;

  /// The customer with this API key; null if there is none.
  [[nodiscard]] const v1::Resource* FindCustomer(const ConfigurationPtr& config,
                                                 const std::string& api_key) {
    return keys_.Find(config, api_key);
  }

  /// Waits for admission of a model request and sets the plan, chain options
  /// and retry check of `request`. Errors as for
  /// `AdmissionController::Submit`.
  ///
  /// \param route name of a route of the caller's configuration.
  [[nodiscard]] boost::asio::awaitable<Result<AdmissionTicket>> AdmitAnswer(
      const CallerRequest& caller,
      const std::string& route,
      AnswerRequest& request);

  /// Waits for admission of a call to a plain service. Errors as for
  /// `AdmissionController::Submit`.
  ///
  /// \param pool name of a pool of the caller's configuration.
  [[nodiscard]] boost::asio::awaitable<Result<AdmissionTicket>>
  AdmitServiceCall(const CallerRequest& caller, const std::string& pool);

  /// Whether a call may be retried at an endpoint. A retry that is allowed is
  /// charged to the retry budgets of the customer and the endpoint.
  [[nodiscard]] bool MayRetry(const CallerRequest& caller,
                              const EndpointId& endpoint);

 private:
  /// The plans of a configuration. The first call with a newer configuration
  /// also updates the configured endpoints of the endpoint table.
  std::shared_ptr<const PlanSet> PlansFor(const ConfigurationPtr& config);
  [[nodiscard]] AdmissionRequest ToAdmissionRequest(
      const CallerRequest& caller,
      const std::string& pool,
      double concurrency,
      double max_tokens_per_second,
      double unit_seconds) const;

  EndpointTable& endpoints_;
  SteadyClock clock_;
  CustomerKeys keys_;
  PlanCache plans_;
  RetryBudgets retry_budgets_;
  AdmissionGate gate_;
  std::atomic<FleetPosition> fleet_{FleetPosition{}};
  std::atomic<std::uint64_t> configured_revision_{0};
};

}  // namespace sycamoreford
