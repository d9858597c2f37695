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

/// What the requests of one daemon share to decide on admission, chains and
/// retries. Thread safe.
class EntryPolicy {
 public:
  /// Precondition: `endpoints` outlives this object.
  explicit EntryPolicy(EndpointTable& endpoints) : endpoints_(endpoints) {}

  /// Tells of this daemon's place among the live ones.
  void SetFleet(const FleetPosition& fleet);
  [[nodiscard]] FleetPosition fleet() const;

  /// The customer whose API key this is; null when there is none.
  [[nodiscard]] const v1::Resource* FindCustomer(const ConfigurationPtr& config,
                                                 const std::string& api_key) {
    return keys_.Find(config, api_key);
  }

  /// Waits for a place for an answer and completes `order` with its plan,
  /// wishes and retry budget. Errors as of `AdmissionController::Submit`.
  ///
  /// \param route name of the route, which the configuration holds.
  [[nodiscard]] boost::asio::awaitable<Result<AdmissionTicket>> AdmitAnswer(
      const CallerRequest& caller,
      const std::string& route,
      AnswerRequest& request);

  /// Waits for a place for a call to a plain service.
  ///
  /// \param pool name of its pool, which the configuration holds.
  [[nodiscard]] boost::asio::awaitable<Result<AdmissionTicket>>
  AdmitServiceCall(const CallerRequest& caller, const std::string& pool);

  /// Asks for a further attempt of a call at an endpoint.
  [[nodiscard]] bool MayRetry(const CallerRequest& caller,
                              const EndpointId& endpoint);

 private:
  /// The plans of a configuration; when it is the first to use it, endpoints
  /// that left are forgotten.
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
  RetryBudgets retries_;
  AdmissionGate gate_;
  std::atomic<FleetPosition> fleet_{FleetPosition{}};
  std::atomic<std::uint64_t> configured_revision_{0};
};

}  // namespace sycamoreford
