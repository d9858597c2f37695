#include "sycamoreford/adapters/admission_gate.h"

#include <random>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sycamoreford {

namespace asio = boost::asio;

struct AdmissionGate::Waiter {
  Waiter(const asio::any_io_executor& executor, TimePoint expires)
      : timer(executor, expires) {}

  asio::steady_timer timer;
  /// Guarded by the gate's lock.
  std::optional<AdmissionDecision> decision;
};

AdmissionTicket::AdmissionTicket(AdmissionTicket&& other) noexcept
    : gate_(std::exchange(other.gate_, nullptr)),
      id_(other.id_),
      status_(other.status_),
      units_(other.units_) {}

AdmissionTicket::~AdmissionTicket() {
  if (gate_ != nullptr) {
    gate_->End(id_, status_, units_);
  }
}

AdmissionGate::AdmissionGate() : controller_(std::random_device()()) {}

asio::awaitable<Result<AdmissionTicket>> AdmissionGate::Enter(
    const AdmissionRequest& request) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  std::shared_ptr<Waiter> waiter;
  std::optional<AdmissionTicket> ticket;
  {
    const std::lock_guard lock(mutex_);
    auto id = controller_.Submit(request, clock_.Now());
    if (!id) {
      co_return id.error();
    }
    waiter = std::make_shared<Waiter>(executor, *controller_.ExpiryOf(*id));
    waiters_[*id] = waiter;
    ticket.emplace(*this, *id);
    Dispatch();
  }
  for (;;) {
    std::optional<AdmissionDecision> decision;
    {
      const std::lock_guard lock(mutex_);
      if (!waiter->decision && waiter->timer.expiry() <= clock_.Now()) {
        Dispatch();
      }
      decision = waiter->decision;
    }
    if (decision && decision->refusal) {
      co_return *decision->refusal;
    }
    if (decision) {
      co_return std::move(*ticket);
    }
    boost::system::error_code ignored;
    co_await waiter->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

void AdmissionGate::Dispatch() {
  for (AdmissionDecision& decision : controller_.Dispatch(clock_.Now())) {
    const auto found = waiters_.find(decision.id);
    const std::shared_ptr<Waiter> waiter = std::move(found->second);
    waiters_.erase(found);
    waiter->decision = std::move(decision);
    // The timer may be used only on the strand of the waiting coroutine.
    asio::post(waiter->timer.get_executor(),
               [waiter] { waiter->timer.cancel(); });
  }
}

void AdmissionGate::End(AdmissionId id,
                        CompletionStatus status,
                        std::uint32_t units) {
  const std::lock_guard lock(mutex_);
  waiters_.erase(id);
  controller_.End(id, status, clock_.Now(), units);
  Dispatch();
}

std::uint32_t AdmissionGate::waiting(const std::string& pool) const {
  const std::lock_guard lock(mutex_);
  return controller_.waiting(pool);
}

std::uint32_t AdmissionGate::running(const std::string& pool) const {
  const std::lock_guard lock(mutex_);
  return controller_.running(pool);
}

}  // namespace sycamoreford
