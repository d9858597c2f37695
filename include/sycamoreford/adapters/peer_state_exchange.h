#pragma once

#include <charconv>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/fleet_follower.h"
#include "sycamoreford/adapters/http_client.h"
#include "sycamoreford/adapters/http_server.h"
#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/core/log.h"
#include "sycamoreford/fleet/peer_state.h"

namespace sycamoreford {

/// Exchanges the known configuration and endpoints with other daemons: whole
/// for a daemon that starts while the store is unreachable, and the
/// configuration alone for one that the store turns away.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <FleetStore Store, Clock TheClock>
class PeerStateExchange {
 public:
  /// Decodes a configuration from its source text.
  using Decoder = std::function<Result<std::shared_ptr<const Manifest>>(
      const std::string& source)>;

  /// Precondition: all references outlive this object.
  PeerStateExchange(RelayState& state,
                    FleetFollower<Store, TheClock>& follower,
                    Decoder decode)
      : state_(state), follower_(follower), decode_(std::move(decode)) {}

  /// Fetches the configuration and the endpoints from other daemons until both
  /// are known, unless the store provides them first. While no daemon tells its
  /// revision, the same daemons are asked for newer configurations: the store
  /// may keep this one from knowing the others, or them from knowing it.
  ///
  /// \param seeds addresses at which other daemons serve `HandleRequest`.
  boost::asio::awaitable<void> FetchFromPeers(std::vector<std::string> seeds) {
    co_await Pause(kInitialFetchDelay);
    for (bool is_first_round = true; !seeds.empty(); is_first_round = false) {
      for (const std::string& seed : seeds) {
        if (follower_.CanServe() && follower_.IsTold()) {
          break;
        }
        co_await AskSeed(seed);
        // Without the store, the first round asks all at once for the newest
        // configuration that they have.
        if (follower_.CanServe() &&
            (!is_first_round || follower_.has_read_store())) {
          co_await Pause(kRefreshInterval);
        }
      }
      co_await Pause(kFetchInterval);
    }
  }

  /// Fetches the configuration of another daemon if it is newer than the one in
  /// force, and puts it in force.
  ///
  /// \param address address at which the other daemon serves `HandleRequest`.
  /// \returns whether that daemon has given one, or has none that is newer.
  boost::asio::awaitable<bool> FetchConfiguration(std::string address,
                                                  std::uint64_t in_force) {
    HttpRequest request;
    request.target = kConfigurationPath + std::to_string(in_force);
    const auto response =
        co_await FetchHttp(address, request, kFetchTimeout, kMaxStateBytes);
    if (!response || (response->status != kOk &&
                      response->status != kNoNewerConfiguration)) {
      co_return false;
    }
    if (response->status == kOk && !IsInForce(*response)) {
      co_return Accept(response->body, address);
    }
    co_return true;
  }

  /// Responds to another daemon with the known configuration and endpoints, or
  /// with the configuration alone if it is newer than the one that the other
  /// daemon has. Status 503 if no configuration is known yet, the path is
  /// another one, or too many configurations are being sent.
  boost::asio::awaitable<void> HandleRequest(HttpExchange& exchange) {
    if (IsForConfiguration(exchange.request())) {
      co_await SendConfiguration(exchange);
      co_return;
    }
    HttpResponse response;
    if (exchange.request().target == kStatePath && state_.manifest()) {
      PeerState peer_state;
      peer_state.manifest_source = state_.manifest()->source();
      peer_state.endpoints = PeerState::Records(state_.directory());
      response.body = peer_state.ToText();
    } else {
      response.status = kUnavailable;
    }
    co_await exchange.Respond(std::move(response));
  }

  /// Whether another daemon asks for the configuration alone.
  [[nodiscard]] static bool IsForConfiguration(const HttpRequest& request) {
    return request.target.starts_with(kConfigurationPath);
  }

 private:
  /// Asks for all that is known, or for a newer configuration only.
  ///
  /// Precondition: `seed` exists until the call has ended.
  boost::asio::awaitable<void> AskSeed(const std::string& seed) {
    if (!follower_.CanServe()) {
      co_await FetchState(seed);
    } else {
      (void)co_await FetchConfiguration(seed, follower_.revision_in_force());
    }
  }

  /// A reachable store responds within this time after the start.
  static constexpr std::chrono::milliseconds kInitialFetchDelay{600};
  /// Interval between two rounds of requests to the seeds.
  static constexpr std::chrono::milliseconds kFetchInterval{400};
  /// Time for a configuration with many routes over a slow link.
  static constexpr std::chrono::milliseconds kFetchTimeout{800};
  /// Enough for a configuration with many routes and for 600 endpoints of 250
  /// bytes each.
  static constexpr std::size_t kMaxStateBytes = 8UL * 1024 * 1024;
  /// Interval between two questions for a newer configuration. Three seeds of
  /// 69 daemons that all start at the same time get 38 a second each.
  static constexpr std::chrono::milliseconds kRefreshInterval{600};
  /// Configurations that are sent at the same time; others that ask go to
  /// another daemon, or to the store. One with 1,400 routes takes 0.2 s of a
  /// link with 20 Mbit/s. As many as a daemon passes configurations on to.
  static constexpr std::size_t kMaxTransfers = 3;
  static constexpr const char* kStatePath = "/state";
  /// Followed by the revision that the other daemon has in force.
  static constexpr const char* kConfigurationPath = "/configuration?after=";
  static constexpr const char* kRevisionField = "Sycamoreford-Revision";
  static constexpr unsigned kOk = 200;
  static constexpr unsigned kNoNewerConfiguration = 204;
  static constexpr unsigned kUnavailable = 503;

  /// The decimal number that `text` is; 0 if it is none.
  [[nodiscard]] static std::uint64_t ToRevision(std::string_view text) {
    std::uint64_t revision = 0;
    std::from_chars(text.data(), text.data() + text.size(), revision);
    return revision;
  }

  /// Whether the configuration of a response, or a newer one, is in force by
  /// now. Decoding it would be in vain.
  [[nodiscard]] bool IsInForce(const HttpResponse& response) const {
    return follower_.HasRevision(
        ToRevision(response.fields.Get(kRevisionField)));
  }

  boost::asio::awaitable<void> SendConfiguration(HttpExchange& exchange) {
    const std::uint64_t after =
        ToRevision(std::string_view(exchange.request().target)
                       .substr(std::string_view(kConfigurationPath).size()));
    const auto manifest = state_.manifest();
    HttpResponse response;
    if (manifest && manifest->revision() <= after) {
      response.status = kNoNewerConfiguration;
      co_await exchange.Respond(std::move(response));
      co_return;
    }
    // Who has asked longer ago has given up.
    std::erase_if(transfers_, [](const auto& it) {
      return std::chrono::steady_clock::now() - it.second >= kFetchTimeout;
    });
    if (!manifest || transfers_.size() >= kMaxTransfers) {
      response.status = kUnavailable;
      co_await exchange.Respond(std::move(response));
      co_return;
    }
    response.fields.Add(kRevisionField, std::to_string(manifest->revision()));
    response.body = manifest->source();
    const std::uint64_t id = ++transfer_count_;
    transfers_.emplace(id, std::chrono::steady_clock::now());
    const std::shared_ptr<void> remove_on_exit(
        nullptr, [this, id](void*) { transfers_.erase(id); });
    co_await exchange.Respond(std::move(response));
  }

  /// Puts a configuration of another daemon in force unless it is older.
  ///
  /// \returns false if it cannot be decoded.
  bool Accept(const std::string& source, const std::string& address) {
    const auto manifest = decode_(source);
    if (!manifest) {
      LogEvent(Severity::kWarning, "peer_state_unreadable")
          .With("peer", address)
          .With("where", manifest.error().where);
      return false;
    }
    state_.Accept(*manifest);
    return true;
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

  RelayState& state_;
  FleetFollower<Store, TheClock>& follower_;
  Decoder decode_;
  /// When the configurations that are being sent were asked for.
  std::map<std::uint64_t, std::chrono::steady_clock::time_point> transfers_;
  std::uint64_t transfer_count_ = 0;
};

}  // namespace sycamoreford
