#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/this_coro.hpp>

#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/adapters/wake_signal.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/relay/chain_admission.h"

namespace sycamoreford {

/// Lets requests wait until a chain has room for them.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <Clock TheClock>
class ChainQueue {
  struct Waiter {
    explicit Waiter(const boost::asio::any_io_executor& executor)
        : signal(executor) {}

    WakeSignal signal;
    bool is_evicted = false;
  };

  struct Service {
    ChainAdmission admission;
    std::map<AdmissionId, Waiter*> waiters;
  };

 public:
  /// A place in the queue, or on the chains once the request has started. Must
  /// not outlive the queue.
  class Ticket {
   public:
    Ticket(ChainQueue& queue, std::string service, AdmissionId id)
        : queue_(&queue), service_(std::move(service)), id_(id) {}
    Ticket(Ticket&& other) noexcept
        : queue_(std::exchange(other.queue_, nullptr)),
          service_(std::move(other.service_)),
          id_(other.id_),
          started_at_(other.started_at_),
          reserved_share_(other.reserved_share_) {}
    Ticket& operator=(Ticket&&) = delete;
    ~Ticket() {
      if (queue_ != nullptr) {
        queue_->Leave(service_, id_);
      }
    }

    /// Share of a chain's room that the request leaves free.
    [[nodiscard]] double reserved_share() const noexcept {
      return reserved_share_;
    }

    /// Called when the first event of the request came from its chain.
    void OnFirstEvent(TimePoint now) {
      queue_->services_[service_].admission.OnFirstEvent(now - started_at_);
    }

   private:
    friend class ChainQueue;

    ChainQueue* queue_;
    std::string service_;
    AdmissionId id_;
    TimePoint started_at_{};
    double reserved_share_ = 0;
  };

  /// Whether a chain has room for a request that leaves a share of it free.
  using HasRoom = std::function<bool(double reserved_share)>;

  /// Precondition: `state` and `clock` outlive this object.
  ChainQueue(RelayState& state, const TheClock& clock)
      : state_(state), clock_(clock), random_(std::random_device{}()) {}

  /// Waits until a request may start.
  ///
  /// \returns its ticket; nothing if it is refused or its caller has left. To
  ///     be destroyed when the request has ended.
  boost::asio::awaitable<std::optional<Ticket>> Enter(std::string service_name,
                                                      ChainRequest request,
                                                      HasRoom has_room) {
    const auto executor = co_await boost::asio::this_coro::executor;
    const TimePoint entered_at = clock_.Now();
    Service& service = services_[service_name];
    const auto entered = service.admission.Enter(request, entered_at);
    if (entered.evicted) {
      Waiter& last = *service.waiters.at(*entered.evicted);
      last.is_evicted = true;
      last.signal.Notify();
    }
    if (!entered.id) {
      WakeNext(service);
      state_.metrics().OnAdmission(service_name, request.rank, "refused",
                                   Duration(0));
      co_return std::nullopt;
    }
    const AdmissionId id = *entered.id;
    Ticket ticket(*this, service_name, id);
    Waiter waiter(executor);
    service.waiters[id] = &waiter;
    const std::shared_ptr<void> deregister(
        nullptr, [&service, id](void*) { service.waiters.erase(id); });
    const TimePoint expires = *service.admission.ExpiryOf(id);
    for (;;) {
      const TimePoint now = clock_.Now();
      const auto next = service.admission.Next();
      const double reserved_share = service.admission.ReservedShare(
          request, state_.ChainKnowledgeAge(service_name, now), now);
      if (next == id && has_room(reserved_share)) {
        service.admission.Start(id, now);
        ticket.started_at_ = now;
        ticket.reserved_share_ = reserved_share;
        state_.metrics().OnAdmission(service_name, request.rank, "started",
                                     now - entered_at);
        WakeNext(service);
        co_return std::move(ticket);
      }
      if (waiter.is_evicted || now >= expires) {
        service.admission.Leave(id, true, now);
        state_.metrics().OnAdmission(service_name, request.rank, "refused",
                                     now - entered_at);
        WakeNext(service);
        co_return std::nullopt;
      }
      co_await waiter.signal.Wait(std::min(
          DrawPollInterval(),
          std::chrono::ceil<std::chrono::milliseconds>(expires - now)));
      const auto state = co_await boost::asio::this_coro::cancellation_state;
      if (state.cancelled() != boost::asio::cancellation_type::none) {
        co_return std::nullopt;
      }
    }
  }

  /// How long a refused request of this rank stays away.
  [[nodiscard]] std::chrono::milliseconds RetryAfter(const std::string& service,
                                                     std::uint32_t rank) const {
    const auto found = services_.find(service);
    return found == services_.end()
               ? std::chrono::milliseconds(0)
               : found->second.admission.RetryAfter(rank, clock_.Now());
  }

 private:
  /// Range of the interval in which the next request looks for room. Random,
  /// since all daemons hear of free room at the same moment.
  static constexpr std::chrono::milliseconds kMinPollInterval{15};
  static constexpr std::chrono::milliseconds kMaxPollInterval{60};

  [[nodiscard]] std::chrono::milliseconds DrawPollInterval() {
    std::uniform_int_distribution<std::int64_t> distribution(
        kMinPollInterval.count(), kMaxPollInterval.count());
    return std::chrono::milliseconds(distribution(random_));
  }

  /// Lets the request that is next look for room.
  void WakeNext(Service& service) {
    const auto next = service.admission.Next();
    if (next) {
      service.waiters.at(*next)->signal.Notify();
    }
  }

  /// Called when a request has ended or its caller has left.
  void Leave(const std::string& service_name, AdmissionId id) {
    Service& service = services_[service_name];
    service.admission.Leave(id, false, clock_.Now());
    WakeNext(service);
  }

  RelayState& state_;
  const TheClock& clock_;
  std::map<std::string, Service> services_;
  std::minstd_rand random_;
};

}  // namespace sycamoreford
