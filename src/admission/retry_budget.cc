#include "sycamoreford/admission/retry_budget.h"

#include <algorithm>

namespace sycamoreford {
namespace {

/// Retries that each request adds.
constexpr double kRetriesPerRequest = 0.1;
/// Retries that each second adds.
constexpr double kRetriesPerSecond = 0.5;
/// Tolerance for floating-point error in sums of fractions of a retry.
constexpr double kRoundingTolerance = 1e-6;
constexpr std::chrono::seconds kSweepInterval{1};

}  // namespace

double RetryBudget::BalanceAt(TimePoint now) const noexcept {
  if (refilled_at_ == TimePoint{}) {
    return balance_;
  }
  const std::chrono::duration<double> elapsed = now - refilled_at_;
  return std::min(kMaxBalance, balance_ + kRetriesPerSecond * elapsed.count());
}

void RetryBudget::Refill(TimePoint now) noexcept {
  balance_ = BalanceAt(now);
  refilled_at_ = now;
}

void RetryBudget::OnRequest(TimePoint now) noexcept {
  Refill(now);
  balance_ = std::min(kMaxBalance, balance_ + kRetriesPerRequest);
}

bool RetryBudget::HasRetry(TimePoint now) noexcept {
  Refill(now);
  return balance_ >= 1 - kRoundingTolerance;
}

void RetryBudget::SpendRetry() noexcept {
  balance_ = std::max(balance_ - 1, -kMaxBalance);
}

bool RetryBudget::IsFull(TimePoint now) const noexcept {
  return BalanceAt(now) >= kMaxBalance;
}

void RetryBudgets::OnRequest(const CustomerId& customer, TimePoint now) {
  const std::lock_guard lock(mutex_);
  Sweep(now);
  const auto found = customers_.find(customer);
  if (found != customers_.end()) {
    found->second.OnRequest(now);
  }
}

bool RetryBudgets::MayRetry(const CustomerId& customer,
                            const std::vector<EndpointId>& endpoints,
                            bool resumes,
                            TimePoint now) {
  const std::lock_guard lock(mutex_);
  std::vector<RetryBudget*> budgets = {&customers_[customer]};
  for (const EndpointId& endpoint : endpoints) {
    budgets.push_back(&endpoints_[endpoint]);
  }
  const bool allowed =
      std::all_of(budgets.begin(), budgets.end(),
                  [&](RetryBudget* budget) { return budget->HasRetry(now); });
  if (!allowed && !resumes) {
    return false;
  }
  for (RetryBudget* budget : budgets) {
    budget->SpendRetry();
  }
  return true;
}

void RetryBudgets::Sweep(TimePoint now) {
  if (now - last_sweep_at_ < kSweepInterval) {
    return;
  }
  last_sweep_at_ = now;
  const auto is_full = [&](const auto& item) {
    return item.second.IsFull(now);
  };
  std::erase_if(customers_, is_full);
  std::erase_if(endpoints_, is_full);
}

std::size_t RetryBudgets::size() const {
  const std::lock_guard lock(mutex_);
  return customers_.size() + endpoints_.size();
}

}  // namespace sycamoreford
