#include "sycamoreford/admission/admission_controller.h"

#include <algorithm>
#include <cmath>

namespace sycamoreford {
namespace {

using Seconds = std::chrono::duration<double>;

/// Weight of the newest request in the smoothed service time.
constexpr double kServiceTimeSmoothing = 0.1;
constexpr std::uint32_t kMaxWaitingPerPool = 4'096;
constexpr double kMinRetryAfterSeconds = 0.25;
constexpr std::chrono::seconds kSweepInterval{1};
/// Time after which the state of an unused pool is discarded.
constexpr std::chrono::minutes kIdlePoolLifetime{10};

}  // namespace

std::chrono::milliseconds AdmissionController::JitteredRetryAfter(
    double seconds) {
  random_ ^= random_ << 13U;
  random_ ^= random_ >> 7U;
  random_ ^= random_ << 17U;
  const double uniform = static_cast<double>(random_ >> 11U) / (1ULL << 53U);
  const double jittered =
      std::max(seconds, kMinRetryAfterSeconds) * (1 + uniform);
  return std::chrono::ceil<std::chrono::milliseconds>(Seconds(jittered));
}

std::optional<Failure> AdmissionController::CheckLimits(
    const AdmissionRequest& request,
    TimePoint now) {
  const CustomerPolicy& policy = request.policy;
  Customer& customer = customers_[request.customer];
  if (policy.max_in_flight > 0 && customer.in_flight >= policy.max_in_flight) {
    return Failure{.code = Errc::kLimitExceeded,
                   .where = "max_in_flight",
                   .retry_after = JitteredRetryAfter(
                       pools_[request.pool].smoothed_service_seconds)};
  }
  if (policy.max_requests_per_second > 0) {
    const double capacity = std::max(policy.max_requests_per_second, 1.0);
    const Seconds elapsed = now - customer.bucket_updated_at;
    customer.bucket_level = std::min(
        capacity, customer.max_requests_per_second == 0
                      ? capacity
                      : customer.bucket_level +
                            elapsed.count() * policy.max_requests_per_second);
    customer.bucket_updated_at = now;
    customer.max_requests_per_second = policy.max_requests_per_second;
    if (customer.bucket_level < 1) {
      return Failure{
          .code = Errc::kLimitExceeded,
          .where = "max_requests_per_second",
          .retry_after = JitteredRetryAfter((1 - customer.bucket_level) /
                                            policy.max_requests_per_second)};
    }
  }
  return std::nullopt;
}

std::optional<Failure> AdmissionController::CheckWait(
    const AdmissionRequest& request,
    const Pool& pool,
    TimePoint now) {
  const std::uint32_t limit = pool.limit.value();
  if (pool.queue.running() < limit && pool.queue.waiting() == 0) {
    return std::nullopt;
  }
  const double requests_ahead = pool.queue.RequestsAhead(
      request.policy.rank, request.customer, request.policy.weight);
  // Assumes that running requests end evenly spaced over the service time.
  const double wait_seconds =
      limit == 0 ? 0
                 : (requests_ahead + 1) * pool.smoothed_service_seconds / limit;
  const auto expected_wait =
      std::chrono::duration_cast<Duration>(Seconds(wait_seconds));
  const auto time_to_completion = std::chrono::duration_cast<Duration>(
      Seconds(wait_seconds + pool.smoothed_service_seconds));
  if (now + time_to_completion >= request.deadline) {
    return Failure{.code = Errc::kDeadlineExceeded,
                   .where = "queue",
                   .retry_after = JitteredRetryAfter(wait_seconds)};
  }
  if (expected_wait > request.policy.max_wait ||
      request.policy.max_wait.count() == 0 ||
      pool.queue.waiting() >= kMaxWaitingPerPool) {
    return Failure{.code = Errc::kOverloaded,
                   .where = "queue",
                   .retry_after = JitteredRetryAfter(wait_seconds)};
  }
  return std::nullopt;
}

Result<AdmissionId> AdmissionController::Submit(const AdmissionRequest& request,
                                                TimePoint now) {
  Sweep(now);
  if (now >= request.deadline) {
    return Failure{.code = Errc::kDeadlineExceeded, .where = "deadline"};
  }
  Pool& pool = pools_[request.pool];
  pool.last_used_at = now;
  pool.limit.Configure(request.initial_concurrency, request.concurrency_share,
                       request.max_concurrency, request.unit_seconds);
  if (auto refusal = CheckLimits(request, now)) {
    return *refusal;
  }
  if (auto refusal = CheckWait(request, pool, now)) {
    return *refusal;
  }
  Customer& customer = customers_[request.customer];
  ++customer.in_flight;
  customer.bucket_level -= request.policy.max_requests_per_second > 0 ? 1 : 0;
  const AdmissionId id(next_id_++);
  pool.queue.Push(
      {.id = id,
       .rank = request.policy.rank,
       .customer = request.customer,
       .weight = request.policy.weight,
       .expires = std::min(request.deadline, now + request.policy.max_wait)});
  requests_[id] = {.pool = request.pool,
                   .customer = request.customer,
                   .deadline = request.deadline,
                   .started = std::nullopt};
  return id;
}

void AdmissionController::Forget(AdmissionId id) {
  const auto found = requests_.find(id);
  --customers_[found->second.customer].in_flight;
  requests_.erase(found);
}

void AdmissionController::End(AdmissionId id,
                              CompletionStatus status,
                              TimePoint now,
                              std::uint32_t units) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  const Request request = found->second;
  Pool& pool = pools_[request.pool];
  Forget(id);
  if (!request.started) {
    pool.queue.Remove(id);
    return;
  }
  const double service_seconds = Seconds(now - *request.started).count();
  pool.queue.End(id, service_seconds);
  const auto service_time = std::chrono::duration_cast<Duration>(
      Seconds(pool.smoothed_service_seconds));
  switch (status) {
    case CompletionStatus::kServed:
      pool.smoothed_service_seconds =
          pool.smoothed_service_seconds == 0
              ? service_seconds
              : pool.smoothed_service_seconds +
                    kServiceTimeSmoothing *
                        (service_seconds - pool.smoothed_service_seconds);
      if (units > 0 && service_seconds > 0) {
        pool.limit.OnServed(pool.queue.waiting() > 0, service_seconds / units,
                            service_time, now);
      }
      return;
    case CompletionStatus::kRefused:
      pool.limit.OnRefused(service_time, now);
      return;
  }
}

void AdmissionController::Expire(TimePoint now,
                                 std::vector<AdmissionDecision>& decisions) {
  for (auto& [name, pool] : pools_) {
    for (const AdmissionId id : pool.queue.TakeExpired(now)) {
      const Errc code = requests_.at(id).deadline <= now
                            ? Errc::kDeadlineExceeded
                            : Errc::kOverloaded;
      Forget(id);
      decisions.push_back({id, Failure{.code = code,
                                       .where = "queue",
                                       .retry_after = JitteredRetryAfter(
                                           pool.smoothed_service_seconds)}});
    }
  }
}

void AdmissionController::StartNext(Pool& pool,
                                    TimePoint now,
                                    std::vector<AdmissionDecision>& decisions) {
  const AdmissionId id = *pool.queue.Next();
  pool.queue.Start(id, pool.smoothed_service_seconds);
  requests_.at(id).started = now;
  decisions.push_back({id, std::nullopt});
}

std::vector<AdmissionDecision> AdmissionController::Dispatch(TimePoint now) {
  std::vector<AdmissionDecision> decisions;
  Expire(now, decisions);
  for (auto& [name, pool] : pools_) {
    while (pool.queue.waiting() > 0 &&
           pool.queue.running() < pool.limit.value()) {
      StartNext(pool, now, decisions);
    }
  }
  return decisions;
}

void AdmissionController::Sweep(TimePoint now) {
  if (now - last_sweep_at_ < kSweepInterval) {
    return;
  }
  last_sweep_at_ = now;
  for (auto& [name, pool] : pools_) {
    pool.queue.Sweep();
  }
  std::erase_if(customers_, [&](const auto& item) {
    const Customer& customer = item.second;
    const Seconds elapsed = now - customer.bucket_updated_at;
    return customer.in_flight == 0 &&
           (customer.max_requests_per_second == 0 ||
            customer.bucket_level +
                    elapsed.count() * customer.max_requests_per_second >=
                std::max(customer.max_requests_per_second, 1.0));
  });
  std::erase_if(pools_, [&](const auto& item) {
    return item.second.queue.is_empty() &&
           now - item.second.last_used_at > kIdlePoolLifetime;
  });
}

std::optional<TimePoint> AdmissionController::ExpiryOf(AdmissionId id) const {
  const auto found = requests_.find(id);
  return found == requests_.end()
             ? std::nullopt
             : pools_.at(found->second.pool).queue.ExpiryOf(id);
}

std::uint32_t AdmissionController::waiting(const std::string& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.queue.waiting();
}

std::uint32_t AdmissionController::running(const std::string& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.queue.running();
}

std::uint32_t AdmissionController::concurrency_limit(
    const std::string& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.limit.value();
}

}  // namespace sycamoreford
