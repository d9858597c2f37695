#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "sycamoreford/adapters/fleet_follower.h"
#include "sycamoreford/adapters/inspection_exchange.h"
#include "sycamoreford/adapters/leaving_announcer.h"
#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/adapters/peer_datagrams.h"
#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/adapters/roster_service.h"
#include "sycamoreford/adapters/store_news_exchange.h"
#include "sycamoreford/core/log.h"

namespace sycamoreford {

/// Exchanges data with other daemons: retry usage, revisions in force, and
/// reports about endpoints.
///
/// Thread safety: none; runs on the thread of the `io_context`.
template <FleetStore Store, TableClient Table, Clock TheClock>
class PeerService {
 public:
  /// Precondition: all references outlive this object.
  ///
  /// \param address IP address and port of this daemon for datagrams.
  /// \throws std::system_error if the address cannot be bound.
  PeerService(boost::asio::io_context& context,
              RelayState& state,
              FleetFollower<Store, TheClock>& follower,
              RosterService<Table, TheClock>& roster,
              const TheClock& clock,
              const std::string& address)
      : context_(context),
        state_(state),
        follower_(follower),
        roster_(roster),
        clock_(clock),
        datagrams_(context,
                   address,
                   [this](const PeerMessage& message, const std::string& from) {
                     OnMessage(message, from);
                   }),
        leaving_announcer_(context, [this](const auto& runs) {
          SendLeaving(roster_.roster().Addresses(), runs);
        }) {
    state_.SetPeerNotifier(
        [this](const std::string& endpoint, std::optional<double> slowness) {
          if (!slowness && state_.duty().IsShared()) {
            inspections_.Ask(state_.duty().Others(endpoint), endpoint);
            return;
          }
          PeerMessage message;
          message.endpoint = endpoint;
          message.slowness = slowness;
          datagrams_.Send(roster_.roster().Addresses(), message);
        });
    roster_.SetCountObserver([this] {
      AnswerDeferred();
      news_.UpdateDuty();
    });
    state_.SetConfigurationObserver([this] { PassOnRevision(); });
    state_.SetLoadNotifier([this](const auto& service, const auto& report) {
      SendLoad(service, report);
    });
    state_.SetLimitNotifier([this] { SendDueLimits(); });
    state_.leaving().SetNotifier([this](const LeavingRun& leaving) {
      leaving_announcer_.Add(leaving, state_.interval_factor());
    });
    state_.quarantine().SetPeerNotifier([this](const TraitReport& it) {
      SendReport(roster_.roster().Addresses(), it);
    });
  }

  /// Sets the function that returns this daemon's status for a service.
  ///
  /// Precondition: this daemon serves requests of other daemons at its address
  /// for datagrams.
  void SetStatus(std::function<PeerStatus(const std::string&)> status) {
    status_ = std::move(status);
  }

  /// Questions about endpoints, and what inspections of them have found.
  [[nodiscard]] InspectionExchange& inspections() noexcept {
    return inspections_;
  }

  /// Whether a daemon is known to run on the host with this IP address.
  [[nodiscard]] bool IsKnownHost(const std::string& ip) const {
    const auto addresses = roster_.roster().Addresses();
    return std::any_of(addresses.begin(), addresses.end(),
                       [&](const std::string& address) {
                         return address.substr(0, address.rfind(':')) == ip;
                       });
  }

  /// Receives messages of other daemons; does not return.
  boost::asio::awaitable<void> Receive() { co_await datagrams_.Run(); }

  /// Sends the retry usage and the revision in force to the other daemons, less
  /// often if there are many; does not return.
  boost::asio::awaitable<void> BroadcastStatus() {
    for (;;) {
      co_await Pause(kStatusInterval * state_.interval_factor());
      const TimePoint now = clock_.Now();
      news_.UpdateDuty();
      const auto addresses = roster_.roster().Addresses();
      for (const std::string& service : Services()) {
        datagrams_.Send(addresses, StatusOf(service, now));
      }
      for (const auto& report : state_.quarantine().DueReports(now)) {
        SendReport(addresses, report);
      }
    }
  }

  /// As `StoreNewsExchange::Broadcast`.
  boost::asio::awaitable<void> BroadcastNews() { return news_.Broadcast(); }

  /// Asks some of the other daemons for what they know, right after the start;
  /// returns when that is done.
  boost::asio::awaitable<void> AskPeers() {
    PeerMessage question;
    question.asks = true;
    std::size_t next = 0;
    const TimePoint deadline = clock_.Now() + kAskTime;
    while (next < kMaxAskedPeers && clock_.Now() < deadline) {
      const auto peers = OtherDaemons();
      for (std::size_t i = 0; i < kPeersAskedAtOnce && i < peers.size(); ++i) {
        datagrams_.Send({peers[next % peers.size()]}, question);
        ++next;
      }
      co_await Pause(kAskInterval);
    }
  }

  /// Sends the reports on limits that were held back, or that are due without
  /// news; does not return.
  boost::asio::awaitable<void> BroadcastLimits() {
    for (;;) {
      co_await Pause(state_.limits().count() > 0 ? kLimitInterval
                                                 : kStatusInterval);
      SendDueLimits();
    }
  }

 private:
  /// Interval between two status messages, with few daemons.
  static constexpr std::chrono::milliseconds kStatusInterval{400};
  /// Interval at which limits are looked at while some are in force.
  static constexpr std::chrono::milliseconds kLimitInterval{50};
  /// Reports on limits in one message, so that they fit into a datagram.
  static constexpr std::size_t kLimitsPerMessage = 4;
  /// Interval between two rounds of questions, and the time for all of them.
  static constexpr std::chrono::milliseconds kAskInterval{200};
  static constexpr std::chrono::milliseconds kAskTime{10'000};
  /// Minimum time between two replies.
  static constexpr std::chrono::milliseconds kReplyInterval{20};
  /// Daemons that are asked at the same time, and in all; a reply may be lost.
  static constexpr std::size_t kPeersAskedAtOnce = 2;
  static constexpr std::size_t kMaxAskedPeers = 6;
  /// Questions that are kept until the roster was read; each daemon asks some
  /// others at random times, so that few wait at one of them.
  static constexpr std::size_t kMaxDeferredQuestions = 32;
  /// Maximum number of leaving endpoints that a new daemon is told of; the
  /// store lists most of them as well.
  static constexpr std::size_t kMaxLeavingInReply = 64;

  [[nodiscard]] std::vector<std::string> OtherDaemons() const {
    auto addresses = roster_.roster().Addresses();
    std::erase(addresses, datagrams_.address());
    return addresses;
  }

  /// The services that have had requests. A daemon without requests names one
  /// of its configuration, as its revision is told with a service.
  [[nodiscard]] std::vector<std::string> Services() {
    std::vector<std::string> names;
    for (const auto& [service, budget] : state_.retry_budgets()) {
      names.push_back(service);
    }
    if (names.empty() && state_.manifest() &&
        !state_.manifest()->services().empty()) {
      names.push_back(state_.manifest()->services().front().name);
    }
    return names;
  }

  /// This daemon's retry usage, revision and status for a service.
  PeerMessage StatusOf(const std::string& service, TimePoint now) {
    PeerMessage message;
    message.service = service;
    message.usage = state_.RetryBudgetFor(service).ReportUsage(now);
    message.revision = state_.manifest() ? state_.manifest()->revision() : 0;
    if (status_) {
      message.status = status_(service);
    }
    return message;
  }

  /// Tells the daemons to which this one passes configurations on, or all if it
  /// watches for them, that it has a newer one.
  void PassOnRevision() {
    const auto services = Services();
    if (services.empty()) {
      return;
    }
    const PeerMessage status = StatusOf(services.front(), clock_.Now());
    if (follower_.IsWatcher()) {
      datagrams_.Send(roster_.roster().Addresses(), status);
    } else {
      news_.PassOn(status);
    }
  }

  void SendLoad(const std::string& service, const ChainLoadReport& report) {
    PeerMessage message = StatusOf(service, clock_.Now());
    message.loads = {report};
    datagrams_.Send(roster_.roster().Addresses(), message);
  }

  void SendReport(const std::vector<std::string>& addresses,
                  const TraitReport& report) {
    PeerMessage message;
    message.trait = report;
    datagrams_.Send(addresses, message);
  }

  void SendLeaving(const std::vector<std::string>& addresses,
                   const std::vector<LeavingRun>& runs) {
    PeerMessage message;
    message.leaving = runs;
    datagrams_.Send(addresses, message);
  }

  void SendDueLimits() {
    const TimePoint now = clock_.Now();
    const auto reports = state_.limits().DueReports(now);
    if (!reports.empty()) {
      SendLimits(roster_.roster().Addresses(), reports);
    }
  }

  void SendLimits(const std::vector<std::string>& addresses,
                  const std::vector<EndpointLimitReport>& reports) {
    for (std::size_t i = 0; i < reports.size(); i += kLimitsPerMessage) {
      PeerMessage message;
      message.limits.assign(
          reports.begin() + static_cast<std::ptrdiff_t>(i),
          reports.begin() + static_cast<std::ptrdiff_t>(std::min(
                                reports.size(), i + kLimitsPerMessage)));
      datagrams_.Send(addresses, message);
    }
  }

  /// Keeps the address of a question until the roster was read again.
  void Defer(const std::string& from) {
    if (deferred_.size() < kMaxDeferredQuestions) {
      deferred_.insert(from);
    }
  }

  /// Replies to those that asked before they were listed.
  void AnswerDeferred() {
    for (const std::string& from : std::exchange(deferred_, {})) {
      if (IsListed(from)) {
        Tell(from);
      }
    }
  }

  /// Replies to a question; not too often, since replies are larger.
  void Reply(const std::string& from) {
    const TimePoint now = clock_.Now();
    if (now >= next_reply_at_) {
      next_reply_at_ = now + kReplyInterval;
      Tell(from);
    }
  }

  /// Tells a daemon that has just started what is otherwise told as news.
  void Tell(const std::string& from) {
    const TimePoint now = clock_.Now();
    for (const auto& report : state_.quarantine().QuarantineReports(now)) {
      SendReport({from}, report);
    }
    SendLimits({from}, state_.limits().Reports(now));
    const auto leaving =
        state_.directory().leaving().Latest(kMaxLeavingInReply);
    for (const auto& runs : LeavingAnnouncer::Split(leaving)) {
      SendLeaving({from}, runs);
    }
  }

  [[nodiscard]] bool IsListed(const std::string& address) const {
    return roster_.roster().Contains(address);
  }

  void OnLeaving(const std::vector<LeavingRun>& runs) {
    for (const LeavingRun& leaving : runs) {
      leaving_announcer_.OnTold(leaving.run);
      state_.leaving().OnTold(leaving);
    }
  }

  void OnMessage(const PeerMessage& message, const std::string& from) {
    if (!IsListed(from)) {
      // It may be a daemon that has just started; it is neither believed nor
      // answered until its row was read.
      if (message.asks) {
        Defer(from);
      }
      roster_.CountSoon();
      return;
    }
    if (message.asks) {
      Reply(from);
      return;
    }
    if (message.trait) {
      state_.quarantine().OnReport(*message.trait, clock_.Now());
      return;
    }
    if (!message.limits.empty()) {
      for (const EndpointLimitReport& report : message.limits) {
        state_.OnLimitReport(report, from, clock_.Now());
      }
      return;
    }
    if (!message.leaving.empty()) {
      OnLeaving(message.leaving);
      return;
    }
    if (message.slowness) {
      // Not forwarded: the daemon that received the endpoint's report has
      // already sent it to all others.
      state_.directory().OnSlowness(message.endpoint, *message.slowness);
      return;
    }
    if (message.news) {
      news_.OnNews(*message.news, from);
      return;
    }
    if (message.finding) {
      inspections_.OnFinding(*message.finding, from);
      return;
    }
    if (!message.endpoint.empty()) {
      inspections_.OnAsked(message.endpoint, from);
      return;
    }
    state_.RetryBudgetFor(message.service)
        .OnUsageReport(from, message.usage, clock_.Now());
    if (message.status) {
      state_.peers().OnStatus(from, message.service, *message.status,
                              clock_.Now());
    }
    for (const ChainLoadReport& report : message.loads) {
      state_.OnToldLoad(message.service, report, clock_.Now());
    }
    follower_.OnTold();
    news_.OnTold(message.revision, from);
  }

  boost::asio::io_context& context_;
  RelayState& state_;
  FleetFollower<Store, TheClock>& follower_;
  RosterService<Table, TheClock>& roster_;
  const TheClock& clock_;
  std::function<PeerStatus(const std::string&)> status_;
  PeerDatagrams datagrams_;
  InspectionExchange inspections_{
      datagrams_, [this] { return roster_.roster().Addresses(); }};
  StoreNewsExchange<Store, Table, TheClock> news_{context_, state_, follower_,
                                                  roster_,  clock_, datagrams_};
  LeavingAnnouncer leaving_announcer_;
  TimePoint next_reply_at_{};
  /// Addresses that asked before they were listed.
  std::set<std::string> deferred_;
};

}  // namespace sycamoreford
