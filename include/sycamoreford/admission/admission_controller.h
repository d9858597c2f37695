#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sycamoreford/admission/admission_id.h"
#include "sycamoreford/admission/admission_request.h"
#include "sycamoreford/admission/concurrency_limit.h"
#include "sycamoreford/admission/fair_queue.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/failure.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// Decision to start or to refuse a waiting request.
struct AdmissionDecision {
  AdmissionId id;
  /// Why the request was refused; empty if it may run now.
  std::optional<Failure> refusal;
};

/// How a running request ended.
enum class CompletionStatus {
  kServed,
  /// The endpoints had no free slot for the request.
  kRefused,
};

/// Admission control of one daemon: decides which requests may run, and when.
///
/// Each pool has a concurrency limit that adapts to the load its endpoints can
/// take. Requests of lower ranks start first; within a rank, customers share
/// the service time of the pool by weight (start-time fair queueing). A request
/// that cannot be served in time is refused immediately, with the outcome
/// `kNotRun` and a jittered retry-after time.
///
/// Performs no I/O and reads no clock. Not thread safe.
class AdmissionController {
 public:
  /// \param seed seeds the jitter of retry-after times.
  explicit AdmissionController(std::uint64_t seed) : random_(seed | 1U) {}

  /// Queues a request. Precondition: `now` never decreases between calls.
  ///
  /// \returns the id of the request, which starts when `Dispatch` says so.
  ///     Refusals, all with the outcome `kNotRun`: `kLimitExceeded` if the
  ///     customer is at one of its limits, `kDeadlineExceeded` if the request
  ///     is not expected to complete before its deadline, `kOverloaded` if it
  ///     would wait longer than its policy allows or the queue is full.
  [[nodiscard]] Result<AdmissionId> Submit(const AdmissionRequest& request,
                                           TimePoint now);

  /// Removes a request, waiting or running. Unknown ids are ignored.
  ///
  /// \param status how the request ended; ignored if it was waiting.
  /// \param units work done, for example the number of tokens.
  void End(AdmissionId id,
           CompletionStatus status,
           TimePoint now,
           std::uint32_t units = 1);

  /// Starts or refuses waiting requests. Call it after `Submit`, after `End`
  /// and when the waiting time of a request expires.
  [[nodiscard]] std::vector<AdmissionDecision> Dispatch(TimePoint now);

  /// Time at which the waiting time of a request expires; empty if the request
  /// is not waiting.
  [[nodiscard]] std::optional<TimePoint> ExpiryOf(AdmissionId id) const;

  /// Number of requests that wait for a pool or run in it.
  [[nodiscard]] std::uint32_t waiting(const std::string& pool) const;
  [[nodiscard]] std::uint32_t running(const std::string& pool) const;
  /// Current concurrency limit of a pool.
  [[nodiscard]] std::uint32_t concurrency_limit(const std::string& pool) const;
  /// Number of customers with state in memory.
  [[nodiscard]] std::size_t customers() const noexcept {
    return customers_.size();
  }

 private:
  struct Customer {
    std::uint32_t in_flight = 0;
    /// Fill level of the rate limit's token bucket, in requests.
    double bucket_level = 0;
    TimePoint bucket_updated_at{};
    double max_requests_per_second = 0;
  };

  struct Pool {
    FairQueue queue;
    ConcurrencyLimit limit;
    /// Smoothed time from start to end of a request.
    double smoothed_service_seconds = 0;
    TimePoint last_used_at{};
  };

  struct Request {
    std::string pool;
    CustomerId customer;
    TimePoint deadline{};
    /// Unset while it waits.
    std::optional<TimePoint> started;
  };

  [[nodiscard]] std::optional<Failure> CheckLimits(
      const AdmissionRequest& request,
      TimePoint now);
  [[nodiscard]] std::optional<Failure>
  CheckWait(const AdmissionRequest& request, const Pool& pool, TimePoint now);
  void Expire(TimePoint now, std::vector<AdmissionDecision>& decisions);
  void StartNext(Pool& pool,
                 TimePoint now,
                 std::vector<AdmissionDecision>& decisions);
  void Forget(AdmissionId id);
  void Sweep(TimePoint now);
  [[nodiscard]] std::chrono::milliseconds JitteredRetryAfter(double seconds);

  std::uint64_t next_id_ = 1;
  std::uint64_t random_;
  TimePoint last_sweep_at_{};
  std::map<CustomerId, Customer> customers_;
  std::map<std::string, Pool> pools_;
  std::map<AdmissionId, Request> requests_;
};

}  // namespace sycamoreford
