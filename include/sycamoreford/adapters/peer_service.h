#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "sycamoreford/adapters/fleet_follower.h"
#include "sycamoreford/adapters/http_client.h"
#include "sycamoreford/adapters/http_server.h"
#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/adapters/peer_datagrams.h"
#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/adapters/roster_service.h"
#include "sycamoreford/core/log.h"
#include "sycamoreford/fleet/peer_state.h"

namespace sycamoreford {

/// What daemons tell each other and ask of each other: retries used, revisions
/// in force, trouble with endpoints, and all that one knows for another that
/// starts while the store is away.
///
/// Thread safety: none; runs on the thread of its context.
template <FleetStore Store, TableClient Table, Clock TheClock>
class PeerService {
 public:
  /// Reads a configuration from its source text.
  using Decoder = std::function<Result<std::shared_ptr<const Manifest>>(
      const std::string& source)>;

  /// Precondition: all references outlive this object.
  ///
  /// \param address where this daemon exchanges datagrams.
  /// \throws std::system_error when the address can not be bound.
  PeerService(boost::asio::io_context& context,
              RelayState& state,
              FleetFollower<Store, TheClock>& follower,
              const RosterService<Table, TheClock>& roster,
              const TheClock& clock,
              const std::string& address,
              Decoder decode)
      : context_(context),
        state_(state),
        follower_(follower),
        roster_(roster),
        clock_(clock),
        decode_(std::move(decode)),
        datagrams_(context,
                   address,
                   [this](const PeerMessage& message, const std::string& from) {
                     OnMessage(message, from);
                   }) {
    state_.SetPeerNotifier(
        [this](const std::string& endpoint, std::optional<double> slowness) {
          PeerMessage message;
          message.endpoint = endpoint;
          message.slowness = slowness;
          datagrams_.Send(roster_.roster().Addresses(clock_.Now()), message);
        });
  }

  /// Receives what others tell; does not return.
  boost::asio::awaitable<void> Receive() { co_await datagrams_.Run(); }

  /// Tells the others the retries used and the revision in force, less often
  /// where there are many; does not return.
  boost::asio::awaitable<void> BroadcastStatus() {
    for (;;) {
      co_await Pause(kStatusInterval * state_.interval_factor());
      const TimePoint now = clock_.Now();
      const auto addresses = roster_.roster().Addresses(now);
      for (auto& [service, budget] : state_.retry_budgets()) {
        PeerMessage message;
        message.service = service;
        message.usage = budget.ReportUsage(now);
        message.revision =
            state_.manifest() ? state_.manifest()->revision() : 0;
        datagrams_.Send(addresses, message);
      }
    }
  }

  /// Asks other daemons as long as the store has told nothing.
  ///
  /// \param seeds addresses at which others answer `HandleStateRequest`.
  boost::asio::awaitable<void> FetchStateFromPeers(
      std::vector<std::string> seeds) {
    co_await Pause(kInitialFetchDelay);
    while (!follower_.CanServe()) {
      for (const std::string& seed : seeds) {
        if (!follower_.CanServe()) {
          co_await FetchState(seed);
        }
      }
      co_await Pause(kFetchInterval);
    }
  }

  /// Answers another daemon's question for all that this one knows.
  boost::asio::awaitable<void> HandleStateRequest(HttpExchange& exchange) {
    HttpResponse response;
    if (exchange.request().target == kStatePath && state_.manifest()) {
      PeerState peer_state;
      peer_state.manifest_source = state_.manifest()->source();
      peer_state.endpoints = PeerState::Records(state_.directory());
      response.body = peer_state.ToText();
    } else {
      response.status = 503;
    }
    co_await exchange.Respond(std::move(response));
  }

 private:
  /// Time from one telling of retries to the next with few daemons.
  static constexpr std::chrono::milliseconds kStatusInterval{400};
  /// The store answers within this time after a start, if it is there.
  static constexpr std::chrono::milliseconds kInitialFetchDelay{600};
  /// Time from one round of questions to other daemons to the next.
  static constexpr std::chrono::milliseconds kFetchInterval{400};
  static constexpr std::chrono::milliseconds kFetchTimeout{500};
  /// A configuration with many routes, and 600 endpoints of 250 bytes.
  static constexpr std::size_t kMaxStateBytes = 8UL * 1024 * 1024;
  static constexpr const char* kStatePath = "/state";

  void OnMessage(const PeerMessage& message, const std::string& from) {
    if (message.slowness) {
      // Not told on: whoever asked the endpoint has told all.
      state_.directory().OnSlowness(message.endpoint, *message.slowness);
      return;
    }
    if (!message.endpoint.empty()) {
      state_.Inspect(message.endpoint);
      return;
    }
    state_.RetryBudgetFor(message.service)
        .OnUsageReport(from, message.usage, clock_.Now());
    if (!follower_.HasRevision(message.revision)) {
      boost::asio::co_spawn(context_, follower_.CatchUp(message.revision),
                            boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> FetchState(std::string address) {
    HttpRequest request;
    request.target = kStatePath;
    const auto response =
        co_await FetchHttp(address, request, kFetchTimeout, kMaxStateBytes);
    if (!response || response->status != 200) {
      co_return;
    }
    auto peer_state = PeerState::Parse(response->body);
    const auto manifest =
        peer_state
            ? decode_(peer_state->manifest_source)
            : Result<std::shared_ptr<const Manifest>>(peer_state.error());
    if (!manifest) {
      LogEvent(Severity::kWarning, "peer_state_unreadable")
          .With("peer", address)
          .With("where", manifest.error().where);
      co_return;
    }
    LogEvent(Severity::kInfo, "peer_state_taken")
        .With("peer", address)
        .With("revision", (*manifest)->revision())
        .With("endpoints", peer_state->endpoints.size());
    state_.Accept(*manifest);
    follower_.UsePeerEndpoints(peer_state->endpoints);
  }

  boost::asio::io_context& context_;
  RelayState& state_;
  FleetFollower<Store, TheClock>& follower_;
  const RosterService<Table, TheClock>& roster_;
  const TheClock& clock_;
  Decoder decode_;
  PeerDatagrams datagrams_;
};

}  // namespace sycamoreford
