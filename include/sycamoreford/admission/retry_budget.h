#pragma once

#include <map>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/ranked_mutex.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// Retries that a customer, or an endpoint, has left: a part of its requests
/// plus a few each second. Not thread safe.
class RetryBudget {
 public:
  /// A request was begun, which earns a part of a retry.
  void OnRequest(TimePoint now) noexcept;

  /// Whether a retry is left.
  [[nodiscard]] bool HasRetry(TimePoint now) noexcept;

  /// Takes one retry; may leave a debt, down to a bound.
  void SpendRetry() noexcept;

  /// Whether it is as full as when it was new.
  [[nodiscard]] bool IsFull(TimePoint now) const noexcept;

 private:
  [[nodiscard]] double BalanceAt(TimePoint now) const noexcept;
  void Refill(TimePoint now) noexcept;

  double balance_ = kMaxBalance;
  TimePoint refilled_at_{};

  static constexpr double kMaxBalance = 10;
};

/// The retry budgets of all customers and endpoints of a daemon.
///
/// Thread safe. Lock rank `kAdmission`.
class RetryBudgets {
 public:
  /// Notes a first attempt of a customer.
  void OnRequest(const CustomerId& customer, TimePoint now);

  /// Asks for a further attempt of a customer at some endpoints.
  ///
  /// \param resumes whether a stream that has begun goes on; it is allowed
  ///     beyond the budget and charged to it, so that other retries wait.
  /// \returns whether it may be made; it is charged then.
  [[nodiscard]] bool MayRetry(const CustomerId& customer,
                              const std::vector<EndpointId>& endpoints,
                              bool resumes,
                              TimePoint now);

  /// Budgets that it holds.
  [[nodiscard]] std::size_t size() const;

 private:
  void Sweep(TimePoint now);

  mutable RankedMutex mutex_{LockRank::kAdmission};
  TimePoint last_sweep_at_{};
  std::map<CustomerId, RetryBudget> customers_;
  std::map<EndpointId, RetryBudget> endpoints_;
};

}  // namespace sycamoreford
