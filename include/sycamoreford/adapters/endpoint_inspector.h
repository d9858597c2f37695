#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "sycamoreford/adapters/http_client.h"
#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/fleet/endpoint_control.h"
#include "sycamoreford/fleet/endpoint_finding.h"
#include "sycamoreford/fleet/finding_news.h"
#include "sycamoreford/fleet/inspection_asks.h"
#include "sycamoreford/fleet/inspection_cause.h"
#include "sycamoreford/fleet/told_findings.h"

namespace sycamoreford {

/// Inspects the stages of stalled chains, slow endpoints, endpoints whose
/// suspicion is about to end and suspected ones that requests wait for, and
/// marks those that do not respond as suspected.
/// While the daemon is isolated, tries whether endpoints can be reached again.
///
/// With many daemons, a few inspect each endpoint for all (`DaemonDuty`): the
/// others ask them and are told what they have found. A daemon that is told
/// nothing in time inspects the endpoint itself, as does one that could not
/// reach it itself.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <EndpointControl Control, Clock TheClock>
class EndpointInspector {
 public:
  /// Precondition: all arguments outlive this object.
  EndpointInspector(RelayState& state, Control& control, const TheClock& clock)
      : state_(state), control_(control), clock_(clock) {}

  /// Sets the function that tells daemons of a finding: these, or all if none
  /// is named.
  void SetTeller(std::function<void(const std::vector<std::string>&,
                                    const EndpointFinding&)> tell) {
    tell_ = std::move(tell);
  }

  /// Sets the function that asks daemons to inspect an endpoint.
  void SetAsker(std::function<void(const std::vector<std::string>&,
                                   const std::string& id)> ask) {
    ask_ = std::move(ask);
  }

  /// Another daemon asks for an inspection.
  ///
  /// Precondition: `Watch` is running.
  void OnAsked(const std::string& id, const std::string& from) {
    if (!state_.duty().IsShared()) {
      Start(id, InspectionCause::kAsked);
    } else if (state_.duty().IsOwn(id)) {
      asks_.OnAsked(id, from);
      if (!ReplyFromLast(id)) {
        Start(id, InspectionCause::kAsked);
      }
    }
  }

  /// Another daemon has told of an inspection.
  ///
  /// Precondition: `Watch` is running.
  void OnTold(const EndpointFinding& finding, const std::string& from) {
    const std::string& id = finding.run.id;
    const KnownEndpoint* known = state_.directory().Find(id);
    if (known == nullptr || RunOf(known->record) != finding.run) {
      return;
    }
    asks_.OnReply(id);
    switch (told_.OnTold(finding, from, clock_.Now())) {
      case ToldFindings::Result::kNone:
        break;
      case ToldFindings::Result::kLostUnconfirmed:
        if (state_.duty().IsOwn(id)) {
          Start(id, InspectionCause::kAsked);
        }
        break;
      case ToldFindings::Result::kLost:
        // The others have found the same, so they may also say that it is back.
        state_.directory().SetOutOfReach(id, false);
        state_.OnEndpointToldLost(id, clock_.Now());
        break;
      case ToldFindings::Result::kAlive:
        if (!known->is_out_of_reach) {
          state_.directory().OnLayers(id, finding.layers);
          state_.directory().OnAlive(id, clock_.Now());
        }
        break;
    }
  }

  /// Monitors the chains and the endpoints; does not return.
  boost::asio::awaitable<void> Watch() {
    executor_ = co_await boost::asio::this_coro::executor;
    state_.SetInspector([this](const std::string& id, InspectionCause cause) {
      Request(id, cause);
    });
    for (;;) {
      co_await Pause(kPollInterval);
      const TimePoint now = clock_.Now();
      state_.InterruptSilentAttempts(now);
      state_.ExpireBackoffs(now);
      if (state_.is_isolated() && now >= next_probe_) {
        next_probe_ = now + kProbeInterval;
        boost::asio::co_spawn(executor_, ProbeNext(), boost::asio::detached);
      }
      for (const std::string& first : state_.stall_detector().ChainsToInspect(
               now, state_.interval_factor())) {
        // All stages are asked: the first endpoint notices a stall only after a
        // delay, while a dead stage shows at once by not responding.
        // The first one knows which stage it waits for.
        for (const std::string& id : state_.StagesOfActiveChains(first)) {
          if (id == first) {
            Start(id, InspectionCause::kChain);
          } else {
            Request(id, InspectionCause::kChain);
          }
        }
      }
      InspectUnanswered(now);
      InspectSlow(now);
      InspectSuspected(now);
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
  /// The same for a daemon that expects to be told: those who inspect the
  /// endpoint have told by then, and this one can still ask.
  static constexpr std::chrono::milliseconds kUntoldLead{300};
  /// Interval between two inspections of suspected endpoints that requests wait
  /// for, with few daemons.
  static constexpr std::chrono::milliseconds kSuspectCheckInterval{250};
  /// Minimum interval between two inspections of an endpoint; many daemons may
  /// tell of the same suspicion at once.
  static constexpr std::chrono::milliseconds kMinInspectionInterval{100};
  /// Interval between two inspections of a slow endpoint, with few daemons.
  /// Each inspection is a paid call.
  static constexpr std::chrono::milliseconds kSlownessCheckInterval{2'000};
  /// Inspects an endpoint, or has it inspected.
  void Request(const std::string& id, InspectionCause cause) {
    const KnownEndpoint* known = state_.directory().Find(id);
    if (known == nullptr || InspectsItself(*known)) {
      Start(id, cause);
      return;
    }
    if (asks_.MayAsk(id, clock_.Now()) && ask_) {
      ask_(state_.duty().Others(id), id);
    }
  }

  /// Whether this daemon inspects an endpoint rather than asks others: for
  /// all, or because it alone may be unable to reach it.
  [[nodiscard]] bool InspectsItself(const KnownEndpoint& known) const {
    return known.is_out_of_reach || state_.duty().IsOwn(known.record.id);
  }

  /// Inspects an endpoint itself.
  void Start(const std::string& id, InspectionCause cause) {
    boost::asio::co_spawn(executor_, Inspect(id, cause), boost::asio::detached);
  }

  /// Asks about endpoints again that met another fault since, and inspects
  /// those of which nobody has told in time.
  void InspectUnanswered(TimePoint now) {
    while (const auto id = asks_.TakeDue(now)) {
      const KnownEndpoint* known = state_.directory().Find(*id);
      if (known != nullptr && known->suspected_until > now) {
        Request(*id, InspectionCause::kFault);
      }
    }
    while (const auto id = asks_.TakeOverdue(now)) {
      Start(*id, InspectionCause::kNoReply);
    }
    while (const auto id = told_.TakeUnconfirmed(now)) {
      Start(*id, InspectionCause::kNoReply);
    }
  }

  /// Only another report can show that an endpoint is fast again.
  void InspectSlow(TimePoint now) {
    // Daemons tell each other of a change.
    const bool is_shared = state_.duty().IsShared();
    const auto interval =
        kSlownessCheckInterval * (is_shared ? 1 : state_.interval_factor());
    for (const auto& [id, known] : state_.directory().endpoints()) {
      if (known.slowness > 1 && now >= next_slowness_check_[id]) {
        next_slowness_check_[id] = now + interval;
        if (state_.duty().IsOwn(id)) {
          Start(id, InspectionCause::kSlow);
        }
      }
    }
  }

  void InspectSuspected(TimePoint now) {
    const bool checks_suspects = now >= next_suspect_check_;
    if (checks_suspects) {
      next_suspect_check_ = now + kSuspectCheckInterval;
      if (!state_.duty().IsShared()) {
        next_suspect_check_ =
            now + kSuspectCheckInterval * state_.interval_factor();
      }
    }
    for (const auto& [id, known] : state_.directory().endpoints()) {
      const bool is_settled = known.is_recovering && state_.duty().IsShared();
      if (known.suspected_until <= now || is_settled ||
          pending_inspections_.contains(id)) {
        continue;
      }
      const auto lead = InspectsItself(known) ? kSuspicionEndLead : kUntoldLead;
      if (known.suspected_until - now < lead) {
        Request(id, InspectionCause::kSuspicionEnd);
      } else if (checks_suspects && !known.record.is_leaving &&
                 state_.IsChainAwaited(known.record.service, now)) {
        Request(id, InspectionCause::kAwaited);
      }
    }
  }

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
      state_.directory().SetOutOfReach(id, true);
      state_.OnEndpointSuspected(id, "no_report", clock_.Now());
      Tell({.run = run, .is_lost = true});
      co_return;
    }
    state_.directory().SetOutOfReach(id, false);
    if (report->is_leaving) {
      state_.leaving().OnStated({id, report->started_at_ms},
                                LeavingSource::kReport);
    }
    known = state_.directory().Find(id);
    if (known != nullptr &&
        known->record.started_at_ms != report->started_at_ms) {
      state_.OnEndpointSuspected(id, "restarted", clock_.Now());
      Tell({.run = run, .is_lost = true});
      co_return;
    }
    OnReport(id, *report, sent_at);
    Tell({.run = run, .layers = report->layers});
  }

  void OnReport(const std::string& id,
                const EndpointReport& report,
                TimePoint sent_at) {
    state_.directory().OnLayers(id, report.layers);
    state_.OnSlowness(id, report.slowness);
    state_.OnStatedLimit(id, report.request_limit, sent_at, clock_.Now());
    state_.directory().OnAlive(id, clock_.Now());
    std::set<std::string> faulty_stages;
    for (const StalledRequest& stalled : report.stalled) {
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

  /// Replies with what was found a moment ago.
  ///
  /// \returns false if the endpoint has to be inspected.
  bool ReplyFromLast(const std::string& id) {
    const auto finding = news_.Recent(id, clock_.Now());
    if (!finding || !tell_) {
      return false;
    }
    tell_(asks_.TakeAskers(id), *finding);
    return true;
  }

  /// Tells who has asked, and all daemons if this one inspects the endpoint for
  /// them and they do not know yet.
  void Tell(const EndpointFinding& finding) {
    const std::string& id = finding.run.id;
    asks_.OnReply(id);
    const auto askers = asks_.TakeAskers(id);
    // An isolated daemon cannot tell which endpoints are lost.
    if (!state_.duty().IsOwn(id) || !state_.duty().IsShared() || !tell_ ||
        (finding.is_lost && state_.is_isolated())) {
      return;
    }
    const TimePoint now = clock_.Now();
    const bool is_disputed = !finding.is_lost && told_.IsToldLost(id, now);
    if (!finding.is_lost) {
      told_.Forget(id);
    }
    if (news_.OnFound(finding, is_disputed, now)) {
      tell_({}, finding);
    } else if (!askers.empty()) {
      tell_(askers, finding);
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
  FindingNews news_;
  InspectionAsks asks_;
  ToldFindings told_;
  RelayState& state_;
  Control& control_;
  const TheClock& clock_;
  boost::asio::any_io_executor executor_;
  std::function<void(const std::vector<std::string>&, const EndpointFinding&)>
      tell_;
  std::function<void(const std::vector<std::string>&, const std::string&)> ask_;
};

}  // namespace sycamoreford
