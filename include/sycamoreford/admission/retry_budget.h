#pragma once

#include <map>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/ranked_mutex.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// Retry budget of one customer or endpoint: each request and each second adds
/// a fraction of a retry. Not thread safe.
class RetryBudget {
 public:
  /// Records a request, which adds a fraction of a retry.
  void OnRequest(TimePoint now) noexcept;

  /// Whether at least one retry is left.
  [[nodiscard]] bool HasRetry(TimePoint now) noexcept;

  /// Deducts one retry. The balance may become negative, down to a bound.
  void SpendRetry() noexcept;

  /// Whether the balance is at its maximum, as in a new budget.
  [[nodiscard]] bool IsFull(TimePoint now) const noexcept;

 private:
  [[nodiscard]] double BalanceAt(TimePoint now) const noexcept;
  void Refill(TimePoint now) noexcept;

  double balance_ = kMaxBalance;
  TimePoint refilled_at_{};

  static constexpr double kMaxBalance = 10;
};

/// Retry budgets of all customers and endpoints of a daemon. Full budgets are
/// discarded, since a new budget is full as well.
///
/// Thread safe. Lock rank `kAdmission`.
class RetryBudgets {
 public:
  /// Records the first attempt of a request of a customer.
  void OnRequest(const CustomerId& customer, TimePoint now);

  /// Asks for a retry of a customer's request at `endpoints`, and charges it
  /// to the budgets of the customer and of each endpoint if it is allowed.
  ///
  /// \param resumes whether the retry resumes a stream. A resumption is allowed
  ///     even if the budget is spent, and is charged, so that other retries
  ///     have to wait.
  /// \returns whether the retry is allowed.
  [[nodiscard]] bool MayRetry(const CustomerId& customer,
                              const std::vector<EndpointId>& endpoints,
                              bool resumes,
                              TimePoint now);

  /// Number of budgets in memory.
  [[nodiscard]] std::size_t size() const;

 private:
  void Sweep(TimePoint now);

  mutable RankedMutex mutex_{LockRank::kAdmission};
  TimePoint last_sweep_at_{};
  std::map<CustomerId, RetryBudget> customers_;
  std::map<EndpointId, RetryBudget> endpoints_;
};

}  // namespace sycamoreford
