#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/core/log.h"
#include "sycamoreford/fleet/endpoint_control.h"
#include "sycamoreford/lease/lease_client.h"
#include "sycamoreford/placement/placement_scheduler.h"

namespace sycamoreford {

/// Orders endpoints to hold the layers that the placement plan assigns to them,
/// while this daemon holds the lease.
///
/// Each order names the layers to hold and the number of orders that the
/// endpoint has accepted before, so that an order that arrives late or twice
/// has no effect.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <TableClient Table, EndpointControl Control, Clock TheClock>
class PlacementService {
 public:
  /// Precondition: all references outlive this object.
  ///
  /// \param run_id id of this run of the daemon; never reused.
  PlacementService(RelayState& state,
                   Table& table,
                   Control& control,
                   const TheClock& clock,
                   std::string run_id)
      : state_(state),
        control_(control),
        clock_(clock),
        run_id_(run_id),
        lease_(table, clock, LeaseMachine("placement", run_id, kTimes)) {}

  /// Tries to acquire and keep the lease, and places layers while holding it;
  /// does not return.
  boost::asio::awaitable<void> Run() {
    const auto executor = co_await boost::asio::this_coro::executor;
    boost::asio::co_spawn(executor, MaintainLease(), boost::asio::detached);
    for (;;) {
      co_await Pause(kPlacementInterval);
      if (!lease_.Token() || !state_.manifest() || state_.is_isolated()) {
        scheduler_.ClearPendingOrders();
        unresponsive_.clear();
        continue;
      }
      co_await CheckSuspects();
      for (const RelayService& service : state_.manifest()->services()) {
        if (service.engine) {
          PlaceLayers(service, executor);
        }
      }
    }
  }

  /// Whether this daemon may send orders.
  [[nodiscard]] bool has_lease() const { return lease_.Token().has_value(); }

  /// Releases the lease, so that another daemon can take over immediately.
  boost::asio::awaitable<void> Release() { co_await lease_.Release(); }

 private:
  /// Number of daemons that poll the lease often, to take it over quickly. The
  /// others poll it rarely, in case all of these are lost; the more there are,
  /// the less often, as the first of them to poll takes over.
  static constexpr std::size_t kEagerCandidates = 4;
  static constexpr std::chrono::milliseconds kEagerPollInterval{1'500};
  static constexpr std::chrono::milliseconds kIdlePollInterval{6'000};
  /// A holder that dies is replaced within the sum of `ttl` and
  /// `max_clock_drift`. Each renewal costs two calls to the table, each poll by
  /// another daemon one.
  static constexpr LeaseTimes kTimes{
      .ttl = std::chrono::milliseconds(2'400),
      .renewal_interval = std::chrono::milliseconds(800),
      .poll_interval = kEagerPollInterval,
      .max_clock_drift = std::chrono::milliseconds(200)};
  static constexpr std::chrono::milliseconds kLeaseStepInterval{100};
  static constexpr std::chrono::milliseconds kPlacementInterval{100};
  /// Interval between two checks of a suspected endpoint.
  static constexpr std::chrono::milliseconds kSuspectCheckInterval{400};
  /// An endpoint that wants nothing for longer is not planned with; of the
  /// order of the time in which another one loads its layers.
  static constexpr std::chrono::seconds kMaxAwaitedBackoff{30};

  /// Acquires and renews the lease. An isolated daemon lets it lapse: it can
  /// neither tell which endpoints are lost nor send them orders.
  boost::asio::awaitable<void> MaintainLease() {
    for (std::uint64_t step = 0;; ++step) {
      if (state_.is_isolated()) {
        co_await Pause(kLeaseStepInterval);
        continue;
      }
      const bool had_lease = lease_.Token().has_value();
      lease_.SetPollInterval(state_.rank() < kEagerCandidates
                                 ? kEagerPollInterval
                                 : kIdlePollInterval *
                                       state_.interval_factor());
      co_await lease_.Step(run_id_ + "/" + std::to_string(step));
      const auto token = lease_.Token();
      if (token.has_value() != had_lease) {
        LogEvent(Severity::kInfo, had_lease ? "lease_lost" : "lease_taken")
            .With("lease", "placement")
            .With("fencing", token ? token->value() : 0);
      }
      co_await Pause(kLeaseStepInterval);
    }
  }

  /// Checks whether suspected endpoints respond. Only those that do not are
  /// regarded as lost when layers are placed.
  boost::asio::awaitable<void> CheckSuspects() {
    const TimePoint now = clock_.Now();
    std::vector<EndpointRecord> suspects;
    for (const auto& [id, known] : state_.directory().endpoints()) {
      if (now < known.suspected_until || unresponsive_.contains(id)) {
        suspects.push_back(known.record);
      }
    }
    for (const EndpointRecord& suspect : suspects) {
      const std::string& id = suspect.id;
      auto& next_check = next_check_[id];
      if (clock_.Now() < next_check ||
          !state_.gate().MaySend(id, SendKind::kOrder, clock_.Now())) {
        continue;
      }
      next_check = clock_.Now() + kSuspectCheckInterval;
      state_.OnSent(id, clock_.Now());
      const auto report = co_await control_.FetchReport(suspect.address);
      if (NoteRetryAfter(RunOf(suspect), report)) {
        // It responds, so it is not lost.
        continue;
      }
      const KnownEndpoint* known = state_.directory().Find(id);
      const bool is_same_run =
          report && known != nullptr &&
          report->started_at_ms == known->record.started_at_ms;
      if (!is_same_run) {
        if (unresponsive_.insert(id).second) {
          LogEvent(Severity::kWarning, "endpoint_lost").With("endpoint", id);
        }
      } else if (unresponsive_.erase(id) > 0) {
        LogEvent(Severity::kInfo, "endpoint_back").With("endpoint", id);
        state_.directory().OnLayers(id, report->layers);
      }
    }
  }

  /// Records the pause that an endpoint asked for instead of a report.
  ///
  /// \returns whether it asked for one.
  bool NoteRetryAfter(const EndpointRunId& run,
                      const Result<EndpointReport>& report) {
    if (report || !report.error().retry_after) {
      return false;
    }
    state_.OnRetryAfter(run, *report.error().retry_after,
                        BackoffSource::kReport, clock_.Now());
    return true;
  }

  /// Logs why an order was not given; it may be planned again soon.
  void NoteNotGiven(const std::string& id, std::string_view reason) {
    LogEvent(Severity::kInfo, "order_not_given")
        .With("endpoint", id)
        .With("reason", reason);
    scheduler_.OnRefused(id, clock_.Now());
  }

  /// Whether an endpoint has asked for a pause, so that no order is given.
  bool IsOrderWithheld(const std::string& id) {
    if (state_.gate().MaySend(id, SendKind::kOrder, clock_.Now())) {
      return false;
    }
    state_.metrics().OnWithheld("order");
    NoteNotGiven(id, "backoff");
    return true;
  }

  /// Whether the layers of an endpoint are better loaded elsewhere than
  /// awaited.
  [[nodiscard]] bool IsBackedOffForLong(const KnownEndpoint& known,
                                        TimePoint now) {
    return state_.gate().backoffs().TimeLeft(RunOf(known.record), now) >
           kMaxAwaitedBackoff;
  }

  template <class Executor>
  void PlaceLayers(const RelayService& service, const Executor& executor) {
    const TimePoint now = clock_.Now();
    auto accelerators = AcceleratorsOf(state_.directory(), service, now, false);
    std::erase_if(accelerators, [&](const Accelerator& accelerator) {
      const KnownEndpoint* known = state_.directory().Find(accelerator.id);
      // One whose entry lapsed in an outage of the store may announce itself
      // again, and still holds its layers.
      return known->record.is_leaving ||
             unresponsive_.contains(accelerator.id) ||
             IsBackedOffForLong(*known, now);
    });
    const auto in_use =
        AcceleratorsInUse(state_.ChainSelectorFor(service, now).chains());
    for (PlacementChange& change : scheduler_.NextOrders(
             *service.engine, std::move(accelerators), in_use, now)) {
      boost::asio::co_spawn(executor, ApplyChange(std::move(change)),
                            boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> ApplyChange(PlacementChange change) {
    const KnownEndpoint* known = state_.directory().Find(change.accelerator_id);
    if (known == nullptr) {
      co_return;
    }
    if (known->drop_at) {
      NoteNotGiven(change.accelerator_id, "unlisted");
      co_return;
    }
    if (IsOrderWithheld(change.accelerator_id)) {
      co_return;
    }
    const std::string address = known->record.address;
    const EndpointRunId run = RunOf(known->record);
    state_.OnSent(change.accelerator_id, clock_.Now());
    const auto report = co_await control_.FetchReport(address);
    (void)NoteRetryAfter(run, report);
    if (report && report->started_at_ms != run.started_at_ms) {
      // Another endpoint has the address, or this one has started again.
      NoteNotGiven(change.accelerator_id, "other_run");
      co_return;
    }
    const auto token = lease_.Token();
    if (!report || !token || report->is_busy) {
      NoteNotGiven(change.accelerator_id, !report  ? "no_report"
                                          : !token ? "no_lease"
                                                   : "busy");
      co_return;
    }
    if (report->is_leaving) {
      state_.leaving().OnStated({change.accelerator_id, report->started_at_ms},
                                LeavingSource::kReport);
    }
    known = state_.directory().Find(change.accelerator_id);
    const bool was_degraded = known != nullptr && IsDegraded(known->slowness);
    state_.OnSlowness(change.accelerator_id, report->slowness);
    if (IsDegraded(report->slowness) && !was_degraded) {
      // A degraded accelerator would also load layers slowly.
      LogEvent(Severity::kInfo, "order_not_given")
          .With("endpoint", change.accelerator_id)
          .With("reason", "degraded")
          .With("slowness_percent",
                static_cast<std::int64_t>(report->slowness * 100));
      scheduler_.CancelOrder(change.accelerator_id);
      co_return;
    }
    if (IsOrderWithheld(change.accelerator_id)) {
      co_return;
    }
    LayerOrder order;
    order.layers = change.layers;
    order.fencing = *token;
    order.expected_sequence = report->order_sequence;
    state_.OnSent(change.accelerator_id, clock_.Now());
    const auto reply = co_await control_.SendOrder(address, order);
    if (reply && reply->is_leaving) {
      state_.leaving().OnStated({change.accelerator_id, report->started_at_ms},
                                LeavingSource::kOrder);
    }
    if (reply && reply->retry_after) {
      state_.OnRetryAfter({change.accelerator_id, report->started_at_ms},
                          *reply->retry_after, BackoffSource::kOrder,
                          clock_.Now());
    }
    LogEvent(Severity::kInfo, "order_given")
        .With("endpoint", change.accelerator_id)
        .With("first_layer", change.layers.first)
        .With("end_layer", change.layers.end)
        .With("sequence", order.expected_sequence)
        .With("fencing", token->value())
        .With("outcome", reply ? OutcomeName(reply->outcome)
                               : ToString(reply.error().code));
    if (reply && reply->outcome != OrderOutcome::kBegun &&
        reply->outcome != OrderOutcome::kAlreadyInPlace) {
      scheduler_.OnRefused(change.accelerator_id, clock_.Now());
    }
  }

  static std::string_view OutcomeName(OrderOutcome outcome) noexcept {
    switch (outcome) {
      case OrderOutcome::kBegun:
        return "begun";
      case OrderOutcome::kAlreadyInPlace:
        return "holds";
      case OrderOutcome::kConflict:
        return "conflict";
      case OrderOutcome::kFenced:
        return "fenced";
      case OrderOutcome::kRefused:
        return "refused";
    }
    return "refused";
  }

  RelayState& state_;
  Control& control_;
  const TheClock& clock_;
  std::string run_id_;
  LeaseClient<Table, TheClock> lease_;
  PlacementScheduler scheduler_;
  /// Endpoints that did not respond when checked, or that have restarted.
  std::set<std::string> unresponsive_;
  std::map<std::string, TimePoint> next_check_;
};

}  // namespace sycamoreford
