#pragma once

#include <memory>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "endpoint_client.h"
#include "fakes/fake_table.h"
#include "fakes/faulty_table.h"
#include "http_relay_codec.h"
#include "sycamoreford/adapters/endpoint_inspector.h"
#include "sycamoreford/adapters/fleet_follower.h"
#include "sycamoreford/adapters/http_server.h"
#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/adapters/peer_service.h"
#include "sycamoreford/adapters/relay_handler.h"
#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/adapters/roster_service.h"

namespace sycamoreford::support {

/// A store that never responds; the test sets the state of the daemons.
struct SilentStore {
  static boost::asio::awaitable<void> Wait() {
    for (;;) {
      co_await Pause(std::chrono::seconds(60));
    }
  }
  static boost::asio::awaitable<Result<ManifestListing>> ReadManifest() {
    co_await Wait();
    co_return ManifestListing{};
  }
  static boost::asio::awaitable<Result<ManifestListing>> AwaitManifest(
      StorePosition,
      std::chrono::milliseconds) {
    return ReadManifest();
  }
  static boost::asio::awaitable<Result<EndpointListing>> ReadEndpoints() {
    co_await Wait();
    co_return EndpointListing{};
  }
  static boost::asio::awaitable<Result<EndpointListing>> AwaitEndpoints(
      StorePosition,
      std::chrono::milliseconds) {
    return ReadEndpoints();
  }
};

/// An address on the loopback host with this number whose port is free for UDP
/// and TCP.
inline std::string FreeAddress(int host) {
  const std::string ip = "127.0.0." + std::to_string(host);
  boost::asio::io_context context;
  for (;;) {
    const boost::asio::ip::udp::socket datagrams(
        context, {boost::asio::ip::make_address(ip), 0});
    const auto port = datagrams.local_endpoint().port();
    boost::asio::ip::tcp::acceptor connections(context,
                                               boost::asio::ip::tcp::v4());
    boost::system::error_code error;
    connections.set_option(boost::asio::socket_base::reuse_address(true));
    connections.bind({boost::asio::ip::make_address(ip), port}, error);
    if (!error) {
      return ip + ":" + std::to_string(port);
    }
  }
}

/// A relay that exchanges messages with others over UDP. The test sets the
/// endpoints that it knows.
///
/// Thread safety: none; used on the thread that runs the context.
struct PeerRelay {
  /// \param rows the table that all relays share.
  /// \param host number of the loopback host of this relay.
  PeerRelay(boost::asio::io_context& context,
            fakes::FakeTable& rows,
            int host,
            const std::string& data_centre,
            const std::shared_ptr<const Manifest>& manifest)
      : state(data_centre, RetryLimits{.ratio = 0.2, .extra = 100}),
        table(rows),
        address(FreeAddress(host)),
        peers(context, state, follower, roster, clock, address),
        server(context,
               "127.0.0.1:0",
               HttpLimits{},
               [this](HttpExchange& exchange) {
                 return handler.Handle(exchange);
               }),
        internal_server(context,
                        address,
                        HttpLimits{},
                        [this](HttpExchange& exchange) {
                          return HandleInternal(exchange);
                        }) {
    state.Accept(manifest);
    boost::asio::co_spawn(context, roster.Run(), boost::asio::detached);
    boost::asio::co_spawn(context, peers.Receive(), boost::asio::detached);
    boost::asio::co_spawn(context, peers.AskPeers(), boost::asio::detached);
    boost::asio::co_spawn(context, peers.BroadcastStatus(),
                          boost::asio::detached);
    boost::asio::co_spawn(context, peers.BroadcastLimits(),
                          boost::asio::detached);
  }

  /// Takes requests that other relays forward, and tells them so.
  void TakeForwardedRequests() {
    peers.SetStatus([this](const std::string& name) {
      const RelayService* service = state.manifest()->FindService(name);
      return PeerStatus{.data_centre = "dc-0",
                        .active_requests = static_cast<std::uint32_t>(
                            server.active_requests()),
                        .serves = service != nullptr && !state.is_isolated() &&
                                  state.HasEndpointsFor(*service, clock.Now())};
    });
  }

  /// Runs the inspector of stalled chains and suspected endpoints, which shares
  /// inspections with the other relays.
  void WatchEndpoints(boost::asio::io_context& context) {
    peers.inspections().Connect(inspector);
    boost::asio::co_spawn(context, inspector.Watch(), boost::asio::detached);
  }

  /// Stops accepting connections and closes the open ones.
  void CutOff() {
    for (HttpServer* it : {&server, &internal_server}) {
      it->Close();
      it->CutOff();
    }
  }

  /// As `HttpServer::open_connections`, for both servers.
  [[nodiscard]] std::size_t open_connections() const noexcept {
    return server.open_connections() + internal_server.open_connections();
  }

  SteadyClock clock;
  RelayState state;
  platform::EndpointClient control;
  EndpointInspector<platform::EndpointClient, SteadyClock> inspector{
      state, control, clock};
  SilentStore store;
  FleetFollower<SilentStore, SteadyClock> follower{state, store, clock};
  fakes::FaultyTable table;
  std::string address;
  RosterService<fakes::FaultyTable, SteadyClock> roster{state, table, clock,
                                                        address, address};
  PeerService<SilentStore, fakes::FaultyTable, SteadyClock> peers;
  RelayHandler<platform::HttpRelayCodec, SteadyClock> handler{state, clock};
  HttpServer server;
  /// At the same address as the datagrams.
  HttpServer internal_server;

 private:
  boost::asio::awaitable<void> HandleInternal(HttpExchange& exchange) {
    if (peers.IsKnownHost(exchange.client_ip())) {
      co_await handler.HandleFromPeer(exchange);
    }
  }
};

}  // namespace sycamoreford::support
