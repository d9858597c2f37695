#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/admission/admission_controller.h"
#include "sycamoreford/core/ranked_mutex.h"

namespace sycamoreford {

class AdmissionGate;

/// A place that a request holds, or waits for, for as long as it lives.
///
/// Thread safety: belongs to one coroutine.
class AdmissionTicket {
 public:
  AdmissionTicket(AdmissionGate& gate, AdmissionId id) noexcept
      : gate_(&gate), id_(id) {}
  ~AdmissionTicket();
  AdmissionTicket(AdmissionTicket&& other) noexcept;
  AdmissionTicket& operator=(AdmissionTicket&&) = delete;

  /// Notes the work that was done; 1 unless it is set.
  void set_units(std::uint32_t units) noexcept { units_ = units; }

  /// Notes that endpoints had no place for the request.
  void set_refused() noexcept { status_ = CompletionStatus::kRefused; }

 private:
  AdmissionGate* gate_;
  AdmissionId id_;
  CompletionStatus status_ = CompletionStatus::kServed;
  std::uint32_t units_ = 1;
};

/// Lets requests wait for the decisions of an `AdmissionController`.
///
/// Thread safe. Lock rank `kAdmission`.
class AdmissionGate {
 public:
  AdmissionGate();

  /// Waits for a place. Precondition: the caller's executor is a strand, or is
  /// run by one thread; the gate outlives the ticket.
  ///
  /// \returns the place, or a refusal as of `AdmissionController::Submit`.
  [[nodiscard]] boost::asio::awaitable<Result<AdmissionTicket>> Enter(
      const AdmissionRequest& request);

  /// Requests that wait and that run in a pool.
  [[nodiscard]] std::uint32_t waiting(const std::string& pool) const;
  [[nodiscard]] std::uint32_t running(const std::string& pool) const;

 private:
  friend class AdmissionTicket;
  struct Waiter;

  void End(AdmissionId id, CompletionStatus status, std::uint32_t units);
  /// Hands out decisions. Precondition: the lock is held.
  void Dispatch();

  mutable RankedMutex mutex_{LockRank::kAdmission};
  SteadyClock clock_;
  AdmissionController controller_;
  std::map<AdmissionId, std::shared_ptr<Waiter>> waiters_;
};

}  // namespace sycamoreford
