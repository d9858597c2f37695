#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sycamoreford/admission/admission_request.h"
#include "sycamoreford/admission/concurrency_limit.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/failure.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// Identity of a request that was offered to an `Admission`.
using AdmissionId = StrongId<struct AdmissionIdTag, std::uint64_t>;

/// What became of a waiting request.
struct AdmissionDecision {
  AdmissionId id;
  /// Empty when it may run now.
  std::optional<Failure> refusal;
};

/// How a request that ran ended.
enum class CompletionStatus {
  kServed,
  /// Endpoints had no place for it.
  kRefused,
};

/// Decides which requests of one daemon may run, and when.
///
/// Each pool has a number of places that adapts to what its endpoints take.
/// Lower ranks go first; within a rank customers share the time that places
/// are held, by weight (start-time fair queueing). What can not be served in
/// time is refused at once, as not run, with a spread time to come back.
///
/// No I/O, no clock. Not thread safe.
class AdmissionController {
 public:
  /// \param seed spreads the times to come back.
  explicit AdmissionController(std::uint64_t seed) : random_(seed | 1U) {}

  /// Offers a request. Precondition: `now` does not go back.
  ///
  /// \returns its identity; it runs when `Advance` says so. Refusals, all not
  ///     run: `kLimitExceeded` at the customer's limits, `kDeadlineExceeded`
  ///     when it would wait beyond its deadline, `kOverloaded` when it would
  ///     wait longer than its terms allow.
  [[nodiscard]] Result<AdmissionId> Submit(const AdmissionRequest& request,
                                           TimePoint now);

  /// Ends a request, waiting or running. Unknown identities are ignored.
  ///
  /// \param units work that was done, for example tokens.
  void End(AdmissionId id,
           CompletionStatus status,
           TimePoint now,
           std::uint32_t units = 1);

  /// Decides on waiting requests; call after `Offer`, after `End` and when
  /// the wait of a request is over.
  [[nodiscard]] std::vector<AdmissionDecision> Dispatch(TimePoint now);

  /// When a waiting request's wait is over.
  [[nodiscard]] std::optional<TimePoint> ExpiryOf(AdmissionId id) const;

  /// Requests that wait and that run in a pool.
  [[nodiscard]] std::uint32_t waiting(const std::string& pool) const;
  [[nodiscard]] std::uint32_t running(const std::string& pool) const;
  /// Places of a pool at present.
  [[nodiscard]] std::uint32_t concurrency_limit(const std::string& pool) const;
  /// Customers that it remembers.
  [[nodiscard]] std::size_t customers() const noexcept {
    return customers_.size();
  }

 private:
  struct Customer {
    std::uint32_t in_flight = 0;
    /// Requests that may start at once by rate.
    double bucket_level = 0;
    TimePoint bucket_updated_at{};
    double max_requests_per_second = 0;
  };

  /// A customer's requests in one rank of a pool.
  struct CustomerQueue {
    std::deque<AdmissionId> waiting;
    double weight = 1;
    /// Virtual time at which its next request starts.
    double next_start = 0;
    std::uint32_t running = 0;
  };

  struct Rank {
    std::map<CustomerId, CustomerQueue> queues;
    double virtual_time = 0;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
  };

  struct Pool {
    std::map<std::uint32_t, Rank> ranks;
    ConcurrencyLimit limit;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Smoothed time that a request holds a place, in seconds.
    double smoothed_service_seconds = 0;
    TimePoint last_used_at{};
  };

  struct Request {
    std::string pool;
    CustomerId customer;
    std::uint32_t rank = 0;
    TimePoint expires{};
    TimePoint deadline{};
    bool is_running = false;
    TimePoint started{};
    double charged_seconds = 0;
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
  void Remove(AdmissionId id, const Request& request);
  void Sweep(TimePoint now);
  [[nodiscard]] std::chrono::milliseconds JitteredRetryAfter(double seconds);

  std::uint64_t next_id_ = 1;
  std::uint64_t random_;
  TimePoint last_sweep_at_{};
  std::map<CustomerId, Customer> customers_;
  std::map<std::string, Pool> pools_;
  std::map<AdmissionId, Request> requests_;
  /// Waiting requests by the end of their wait.
  std::set<std::pair<TimePoint, AdmissionId>> expiries_;
};

}  // namespace sycamoreford
