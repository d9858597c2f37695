#include "sycamoreford/admission/retry_budget.h"

#include <algorithm>

namespace sycamoreford {
namespace {

/// Retries that a request earns.
constexpr double kForRequest = 0.1;
/// Retries that a second earns.
constexpr double kForSecond = 0.5;
/// Sums of parts may fall short by this much.
constexpr double kRounding = 1e-6;
constexpr std::chrono::seconds kSweepInterval{1};

}  // namespace

double RetryBudget::LeftAt(TimePoint now) const noexcept {
  if (refilled_at_ == TimePoint{}) {
    return left_;
  }
  const std::chrono::duration<double> since = now - refilled_at_;
  return std::min(kMost, left_ + kForSecond * since.count());
}

void RetryBudget::Refill(TimePoint now) noexcept {
  left_ = LeftAt(now);
  refilled_at_ = now;
}

void RetryBudget::OnRequest(TimePoint now) noexcept {
  Refill(now);
  left_ = std::min(kMost, left_ + kForRequest);
}

bool RetryBudget::HasOne(TimePoint now) noexcept {
  Refill(now);
  return left_ >= 1 - kRounding;
}

void RetryBudget::Take() noexcept {
  left_ = std::max(left_ - 1, -kMost);
}

bool RetryBudget::IsFull(TimePoint now) const noexcept {
  return LeftAt(now) >= kMost;
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
                  [&](RetryBudget* budget) { return budget->HasOne(now); });
  if (!allowed && !resumes) {
    return false;
  }
  for (RetryBudget* budget : budgets) {
    budget->Take();
  }
  return true;
}

void RetryBudgets::Sweep(TimePoint now) {
  if (now - swept_ < kSweepInterval) {
    return;
  }
  swept_ = now;
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
