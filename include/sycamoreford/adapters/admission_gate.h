#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/admission/admission_controller.h"
#include "sycamoreford/core/ranked_mutex.h"

namespace sycamoreford {

class AdmissionGate;

/// Holds a request's queue position or, once it is admitted, its concurrency
/// slot. The destructor releases it and reports the result of the request.
///
/// Thread safety: used by one coroutine at a time.
class AdmissionTicket {
 public:
  AdmissionTicket(AdmissionGate& gate, AdmissionId id) noexcept
      : gate_(&gate), id_(id) {}
  ~AdmissionTicket();
  AdmissionTicket(AdmissionTicket&& other) noexcept;
  AdmissionTicket& operator=(AdmissionTicket&&) = delete;

  /// Sets the units of work that were done; the default is 1.
  void set_units(std::uint32_t units) noexcept { units_ = units; }

  /// Records that the endpoints refused the request for lack of capacity.
  void set_refused() noexcept { status_ = CompletionStatus::kRefused; }

 private:
  AdmissionGate* gate_;
  AdmissionId id_;
  CompletionStatus status_ = CompletionStatus::kServed;
  std::uint32_t units_ = 1;
};

/// Suspends the coroutines of requests until an `AdmissionController` admits
/// or refuses them.
///
/// Thread safe. Lock rank `kAdmission`.
class AdmissionGate {
 public:
  AdmissionGate();

  /// Waits until the request is admitted or refused.
  ///
  /// Precondition: the executor of the calling coroutine is a strand or is run
  /// by a single thread; the gate outlives the ticket.
  ///
  /// \returns the ticket of the admitted request. Errors as for
  ///     `AdmissionController::Submit`.
  [[nodiscard]] boost::asio::awaitable<Result<AdmissionTicket>> Enter(
      const AdmissionRequest& request);

  /// Number of requests of a pool that are queued and that are running.
  [[nodiscard]] std::uint32_t waiting(const std::string& pool) const;
  [[nodiscard]] std::uint32_t running(const std::string& pool) const;

 private:
  friend class AdmissionTicket;
  struct Waiter;

  void End(AdmissionId id, CompletionStatus status, std::uint32_t units);
  /// Calls `AdmissionController::Dispatch` and wakes the requests that it
  /// admitted or refused. Precondition: the lock is held.
  void Dispatch();

  mutable RankedMutex mutex_{LockRank::kAdmission};
  SteadyClock clock_;
  AdmissionController controller_;
  std::map<AdmissionId, std::shared_ptr<Waiter>> waiters_;
};

}  // namespace sycamoreford
