#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "sycamoreford/adapters/http_client.h"
#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/fleet/endpoint_control.h"
#include "sycamoreford/fleet/inspection_cause.h"

namespace sycamoreford {

/// Inspects the stages of stalled chains, slow endpoints, endpoints whose
/// suspicion is about to end and suspected ones that requests wait for, and
/// marks those that do not respond as suspected.
/// While the daemon is isolated, tries whether endpoints can be reached again.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <EndpointControl Control, Clock TheClock>
class EndpointInspector {
 public:
  /// Precondition: all arguments outlive this object.
  EndpointInspector(RelayState& state, Control& control, const TheClock& clock)
      : state_(state), control_(control), clock_(clock) {}

  /// Monitors the chains and the endpoints; does not return.
  boost::asio::awaitable<void> Watch() {
    const auto executor = co_await boost::asio::this_coro::executor;
    const auto inspect = [this, executor](const std::string& id,
                                          InspectionCause cause) {
      boost::asio::co_spawn(executor, Inspect(id, cause),
                            boost::asio::detached);
    };
    state_.SetInspector(inspect);
    for (;;) {
      co_await Pause(kPollInterval);
      const TimePoint now = clock_.Now();
      state_.InterruptSilentAttempts(now);
      state_.ExpireBackoffs(now);
      if (state_.is_isolated() && now >= next_probe_) {
        next_probe_ = now + kProbeInterval;
        boost::asio::co_spawn(executor, ProbeNext(), boost::asio::detached);
      }
      for (const std::string& first : state_.stall_detector().ChainsToInspect(
               now, state_.interval_factor())) {
        // All stages are asked: the first endpoint notices a stall only after a
        // delay, while a dead stage shows at once by not responding.
        for (const std::string& id : state_.StagesOfActiveChains(first)) {
          inspect(id, InspectionCause::kChain);
        }
      }
      const bool checks_suspects = now >= next_suspect_check_;
      if (checks_suspects) {
        next_suspect_check_ =
            now + kSuspectCheckInterval * state_.interval_factor();
      }
      for (const auto& [id, known] : state_.directory().endpoints()) {
        if (known.slowness > 1 && now >= next_slowness_check_[id]) {
          // Only another report can show that it is fast again.
          next_slowness_check_[id] =
              now + kSlownessCheckInterval * state_.interval_factor();
          inspect(id, InspectionCause::kSlow);
        }
        const bool is_suspected = known.suspected_until > now;
        const bool ends_soon =
            is_suspected && known.suspected_until - now < kSuspicionEndLead;
        const bool is_awaited =
            is_suspected && !known.record.is_leaving && checks_suspects &&
            state_.IsChainAwaited(known.record.service, now);
        if ((ends_soon || is_awaited) && !pending_inspections_.contains(id)) {
          inspect(id, ends_soon ? InspectionCause::kSuspicionEnd
                                : InspectionCause::kAwaited);
        }
      }
    }
  }

 private:
  /// Interval between two connections of an isolated daemon, and maximum time
  /// to establish them.
  static constexpr std::chrono::milliseconds kProbeInterval{200};
  /// Interval between two checks of all chains and endpoints.
  static constexpr std::chrono::milliseconds kPollInterval{40};
  /// Time before the end of a suspicion at which the endpoint is inspected.
  /// Longer than a response may take, so that a dead endpoint is not used again
  /// before the inspection has ended.
  static constexpr std::chrono::milliseconds kSuspicionEndLead{500};
  /// Interval between two inspections of suspected endpoints that requests wait
  /// for, with few daemons.
  static constexpr std::chrono::milliseconds kSuspectCheckInterval{250};
  /// Minimum interval between two inspections of an endpoint; many daemons may
  /// tell of the same suspicion at once.
  static constexpr std::chrono::milliseconds kMinInspectionInterval{100};
  /// Interval between two inspections of a slow endpoint, with few daemons.
  /// Each inspection is a paid call.
  static constexpr std::chrono::milliseconds kSlownessCheckInterval{2'000};

  /// Tries to connect to one endpoint after the other while the daemon is
  /// isolated.
  boost::asio::awaitable<void> ProbeNext() {
    const auto& endpoints = state_.directory().endpoints();
    auto next = endpoints.upper_bound(last_probed_);
    if (next == endpoints.end()) {
      next = endpoints.begin();
    }
    if (next == endpoints.end()) {
      co_return;
    }
    last_probed_ = next->first;
    const std::string address = next->second.record.address;
    const TimePoint begun_at = clock_.Now();
    if (co_await CanConnect(address, kProbeInterval)) {
      state_.OnConnected(begun_at);
    }
  }

  /// Fetches and evaluates the report of an endpoint. Does nothing while
  /// another inspection of the endpoint is running, or if the endpoint accepts
  /// none at present.
  boost::asio::awaitable<void> Inspect(std::string id, InspectionCause cause) {
    const KnownEndpoint* known = state_.directory().Find(id);
    if (known == nullptr || known->record.kind.empty()) {
      // Endpoints of plain services have no report; a suspicion just ends.
      co_return;
    }
    std::erase_if(last_inspections_, [now = clock_.Now()](const auto& it) {
      return now - it.second >= kMinInspectionInterval;
    });
    if (last_inspections_.contains(id) ||
        !state_.gate().MaySend(id, SendKind::kInspection, clock_.Now()) ||
        !pending_inspections_.insert(id).second) {
      co_return;
    }
    const std::string address = known->record.address;
    const EndpointRunId run = RunOf(known->record);
    const TimePoint sent_at = clock_.Now();
    last_inspections_[id] = sent_at;
    state_.OnSent(id, sent_at);
    state_.metrics().OnInspection(ToString(cause));
    const auto report = co_await control_.FetchReport(address);
    pending_inspections_.erase(id);
    if (report || report.error().code != Errc::kConnectionRefused) {
      state_.OnConnected(sent_at);
    } else {
      state_.OnUnreachable(id, clock_.Now());
    }
    if (!report && report.error().retry_after) {
      state_.OnRetryAfter(run, *report.error().retry_after,
                          BackoffSource::kReport, clock_.Now());
      // It responds, so it is not lost.
      co_return;
    }
    if (!report) {
      state_.OnEndpointSuspected(id, "no_report", clock_.Now());
      co_return;
    }
    if (report->is_leaving) {
      state_.leaving().OnStated({id, report->started_at_ms},
                                LeavingSource::kReport);
    }
    known = state_.directory().Find(id);
    if (known != nullptr &&
        known->record.started_at_ms != report->started_at_ms) {
      state_.OnEndpointSuspected(id, "restarted", clock_.Now());
      co_return;
    }
    state_.directory().OnLayers(id, report->layers);
    state_.OnSlowness(id, report->slowness);
    state_.OnStatedLimit(id, report->request_limit, sent_at, clock_.Now());
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
      state_.OnEndpointSuspected(stage, "stalls_chain", clock_.Now());
    }
  }

  TimePoint next_probe_{};
  TimePoint next_suspect_check_{};
  /// Id of the endpoint that an isolated daemon last tried to connect to.
  std::string last_probed_;
  /// Time of the next inspection of each slow endpoint, by id.
  std::map<std::string, TimePoint> next_slowness_check_;
  /// When the endpoints inspected last were inspected, by id.
  std::map<std::string, TimePoint> last_inspections_;
  /// Endpoints that are being inspected.
  std::set<std::string> pending_inspections_;
  RelayState& state_;
  Control& control_;
  const TheClock& clock_;
};

}  // namespace sycamoreford
