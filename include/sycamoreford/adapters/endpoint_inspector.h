#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/fleet/endpoint_control.h"

namespace sycamoreford {

/// Looks at chains on which nothing moves and finds the stage that is lost.
///
/// Thread safety: none; runs on the thread of its state.
template <EndpointControl Control, Clock TheClock>
class EndpointInspector {
 public:
  /// Precondition: all arguments outlive this object.
  EndpointInspector(RelayState& state, Control& control, const TheClock& clock)
      : state_(state), control_(control), clock_(clock) {}

  /// Watches the chains and the suspected endpoints; does not return.
  boost::asio::awaitable<void> Watch() {
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto inspect = [this, executor](const std::string& id) {
      boost::asio::co_spawn(executor, Inspect(id), boost::asio::detached);
    };
    state_.SetInspector(inspect);
    for (;;) {
      co_await Pause(kPollInterval);
      const TimePoint now = clock_.Now();
      for (const std::string& first :
           state_.stall_detector().ChainsToInspect(now)) {
        // The first endpoint knows of stalls a little later only; a stage that
        // is dead doesn't answer at once.
        for (const std::string& id : state_.StagesOfActiveChains(first)) {
          inspect(id);
        }
      }
      for (const auto& [id, known] : state_.directory().endpoints()) {
        if (known.slowness > 1 && now >= next_slowness_check_[id]) {
          // Nothing else would show that it is fast again.
          next_slowness_check_[id] =
              now + kSlownessCheckInterval * state_.interval_factor();
          inspect(id);
        }
        const bool ends_soon = known.suspected_until > now &&
                               known.suspected_until - now < kSuspicionEndLead;
        if (ends_soon && !pending_inspections_.contains(id)) {
          inspect(id);
        }
      }
    }
  }

 private:
  /// Time from one look at all chains to the next.
  static constexpr std::chrono::milliseconds kPollInterval{40};
  /// Before the end of a suspicion the endpoint is asked; longer than it may
  /// take to answer, so that a dead one is never used in between.
  static constexpr std::chrono::milliseconds kSuspicionEndLead{500};
  /// Time from one question to a slow endpoint to the next, with few daemons;
  /// each question is paid for.
  static constexpr std::chrono::milliseconds kSlownessCheckInterval{2'000};

  /// Asks an endpoint how it is, once at a time.
  boost::asio::awaitable<void> Inspect(std::string id) {
    const KnownEndpoint* known = state_.directory().Find(id);
    if (known == nullptr || !pending_inspections_.insert(id).second) {
      co_return;
    }
    const std::string address = known->record.address;
    const auto report = co_await control_.FetchReport(address);
    pending_inspections_.erase(id);
    if (!report) {
      state_.OnEndpointLost(id, "no_report", clock_.Now());
      co_return;
    }
    known = state_.directory().Find(id);
    if (known != nullptr &&
        known->record.started_at_ms != report->started_at_ms) {
      state_.OnEndpointLost(id, "restarted", clock_.Now());
      co_return;
    }
    state_.directory().OnLayers(id, report->layers);
    state_.OnSlowness(id, report->slowness);
    state_.directory().OnAlive(id, clock_.Now());
    std::set<std::string> faulty_stages;
    for (const StalledRequest& stalled : report->stalled) {
      const KnownEndpoint* stage =
          state_.directory().FindByAddress(stalled.address);
      if (stage != nullptr) {
        faulty_stages.insert(stage->record.id);
      }
    }
    for (const std::string& stage : faulty_stages) {
      state_.OnEndpointLost(stage, "stalls_chain", clock_.Now());
    }
  }

  /// When slow endpoints are asked for their pace again.
  std::map<std::string, TimePoint> next_slowness_check_;
  /// Endpoints that are being asked.
  std::set<std::string> pending_inspections_;
  RelayState& state_;
  Control& control_;
  const TheClock& clock_;
};

}  // namespace sycamoreford
