#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "sycamoreford/admission/admission_id.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// A request to be added to a `FairQueue`.
struct QueuedRequest {
  AdmissionId id;
  /// Lower ranks start first.
  std::uint32_t rank = 0;
  CustomerId customer;
  /// Weight relative to other customers of the same rank; positive.
  double weight = 1;
  /// When it stops waiting.
  TimePoint expires{};
};

/// The order in which the requests for one pool start.
///
/// Lower ranks start first. Within a rank, customers share by weight what their
/// requests cost (start-time fair queueing; Goyal, Vin, Cheng, 1996); those of
/// one customer start in the order of their arrival. What a customer does not
/// use goes to the others of its rank.
///
/// Whether a request may start is decided by the caller. Performs no I/O and
/// reads no clock. Not thread safe.
class FairQueue {
 public:
  /// Adds a waiting request. Precondition: its id is not in the queue.
  void Push(const QueuedRequest& request);

  /// The request to start next; nothing if none waits.
  [[nodiscard]] std::optional<AdmissionId> Next() const;
  /// The request that would start last; nothing if none waits.
  [[nodiscard]] std::optional<AdmissionId> Last() const;

  /// Starts the next request of its customer.
  ///
  /// \param cost expected cost, charged to its customer until `End` corrects
  ///     it.
  /// Precondition: `id` was returned by `Next` and nothing was added since.
  void Start(AdmissionId id, double cost);

  /// Removes a running request whose cost is known.
  void End(AdmissionId id, double cost);
  /// Removes a request, waiting or running. Unknown ids are ignored.
  void Remove(AdmissionId id);

  /// Removes and returns the requests that stop waiting until `now`.
  [[nodiscard]] std::vector<AdmissionId> TakeExpired(TimePoint now);

  /// When a request stops waiting; nothing if it does not wait.
  [[nodiscard]] std::optional<TimePoint> ExpiryOf(AdmissionId id) const;

  /// Number of waiting requests that would start before a further one of a
  /// customer.
  [[nodiscard]] double RequestsAhead(std::uint32_t rank,
                                     const CustomerId& customer,
                                     double weight) const;

  [[nodiscard]] std::uint32_t waiting() const noexcept { return waiting_; }
  [[nodiscard]] std::uint32_t running() const noexcept { return running_; }
  /// Whether it holds no state of any customer.
  [[nodiscard]] bool is_empty() const noexcept { return ranks_.empty(); }

  /// Forgets customers without requests that are owed nothing.
  void Sweep();

 private:
  /// Requests of one customer in one rank.
  struct CustomerQueue {
    std::deque<AdmissionId> waiting;
    double weight = 1;
    /// Virtual start time of its next request.
    double next_start = 0;
    std::uint32_t running = 0;
  };

  struct Rank {
    std::map<CustomerId, CustomerQueue> queues;
    double virtual_time = 0;
    std::uint32_t waiting = 0;
    std::uint32_t running = 0;
  };

  struct Entry {
    std::uint32_t rank = 0;
    CustomerId customer;
    TimePoint expires{};
    bool is_running = false;
    double charged_cost = 0;
  };

  std::map<std::uint32_t, Rank> ranks_;
  std::map<AdmissionId, Entry> entries_;
  /// Waiting requests by the time at which they stop waiting.
  std::set<std::pair<TimePoint, AdmissionId>> expiries_;
  std::uint32_t waiting_ = 0;
  std::uint32_t running_ = 0;
};

}  // namespace sycamoreford
