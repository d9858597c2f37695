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
  /// Written and read under the gate's lock.
  std::optional<AdmissionDecision> decision;
};

AdmissionTicket::AdmissionTicket(AdmissionTicket&& other) noexcept
    : gate_(std::exchange(other.gate_, nullptr)),
      id_(other.id_),
      how_(other.how_),
      units_(other.units_) {}

AdmissionTicket::~AdmissionTicket() {
  if (gate_ != nullptr) {
    gate_->End(id_, how_, units_);
  }
}

AdmissionGate::AdmissionGate() : admission_(std::random_device()()) {}

asio::awaitable<Result<AdmissionTicket>> AdmissionGate::Enter(
    const AdmissionRequest& request) {
  const asio::any_io_executor executor = co_await asio::this_coro::executor;
  std::shared_ptr<Waiter> waiter;
  std::optional<AdmissionTicket> ticket;
  {
    const std::lock_guard lock(mutex_);
    auto id = admission_.Submit(request, clock_.Now());
    if (!id) {
      co_return id.error();
    }
    waiter = std::make_shared<Waiter>(executor, *admission_.ExpiryOf(*id));
    waiters_[*id] = waiter;
    ticket.emplace(*this, *id);
    Advance();
  }
  for (;;) {
    std::optional<AdmissionDecision> decision;
    {
      const std::lock_guard lock(mutex_);
      if (!waiter->decision && waiter->timer.expiry() <= clock_.Now()) {
        Advance();
      }
      decision = waiter->decision;
    }
    if (decision && decision->refusal) {
      co_return *decision->refusal;
    }
    if (decision) {
      co_return std::move(*ticket);
    }
    boost::system::error_code woken;
    co_await waiter->timer.async_wait(
        asio::redirect_error(asio::use_awaitable, woken));
  }
}

void AdmissionGate::Advance() {
  for (AdmissionDecision& decision : admission_.Dispatch(clock_.Now())) {
    const auto found = waiters_.find(decision.id);
    const std::shared_ptr<Waiter> waiter = std::move(found->second);
    waiters_.erase(found);
    waiter->decision = std::move(decision);
    // Its coroutine runs on a strand of its own, which the timer belongs to.
    asio::post(waiter->timer.get_executor(),
               [waiter] { waiter->timer.cancel(); });
  }
}

void AdmissionGate::End(AdmissionId id,
                        CompletionStatus how,
                        std::uint32_t units) {
  const std::lock_guard lock(mutex_);
  waiters_.erase(id);
  admission_.End(id, how, clock_.Now(), units);
  Advance();
}

std::uint32_t AdmissionGate::waiting(const std::string& pool) const {
  const std::lock_guard lock(mutex_);
  return admission_.waiting(pool);
}

std::uint32_t AdmissionGate::running(const std::string& pool) const {
  const std::lock_guard lock(mutex_);
  return admission_.running(pool);
}

}  // namespace sycamoreford
