#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "sycamoreford/fleet/endpoint_finding.h"
#include "sycamoreford/fleet/leaving_run.h"
#include "sycamoreford/fleet/peer_table.h"
#include "sycamoreford/fleet/store_news.h"
#include "sycamoreford/relay/chain_loads.h"
#include "sycamoreford/relay/endpoint_limits.h"
#include "sycamoreford/relay/fleet_retry_budget.h"
#include "sycamoreford/relay/request_quarantine.h"

namespace sycamoreford {

/// A message from one daemon to the others: a report about an endpoint, what an
/// inspection has found, what stands in the store, a report about a suspected
/// trait of requests, reports about the limits of endpoints, the endpoints that
/// are leaving, or the sender's retry usage, configuration revision and status.
struct PeerMessage {
  /// Id of the endpoint; empty if the message carries retry usage.
  std::string endpoint;
  /// Slowness that the endpoint reported; empty if the endpoint is suspected of
  /// another fault.
  std::optional<double> slowness;
  std::optional<TraitReport> trait;
  /// What the sender found of an endpoint that it inspects for others.
  std::optional<EndpointFinding> finding;
  /// What the sender has read from the store for others.
  std::optional<StoreNews> news;
  std::vector<EndpointLimitReport> limits;
  /// Whether the sender asks for what others know; if so, nothing else is set.
  bool asks = false;
  /// Runs of endpoints that are leaving.
  std::vector<LeavingRun> leaving;
  /// Service that `usage` belongs to.
  std::string service;
  RetryUsage usage;
  /// Revision of the configuration in force at the sender; 0 if it has none.
  std::uint64_t revision = 0;
  /// Status of the sender for `service`; empty if it takes no requests of other
  /// daemons.
  std::optional<PeerStatus> status;
  /// Loads of chains of `service`. Versions before ignore them.
  std::vector<ChainLoadReport> loads;

  [[nodiscard]] std::string ToText() const;
  /// \returns nothing if the text is not a valid message.
  [[nodiscard]] static std::optional<PeerMessage> Parse(
      const std::string& text);
};

/// Sends and receives UDP datagrams between daemons.
///
/// Datagrams may be lost, so they only carry hints: a daemon that receives a
/// fault report inspects the endpoint itself, one that learns of a newer
/// configuration reads it from the store, and one that receives no retry usage
/// limits itself to its own share.
///
/// Thread safety: none; runs on the thread of the `io_context`.
class PeerDatagrams {
 public:
  /// Called with each message and the IP address and port of the sender.
  using Receiver =
      std::function<void(const PeerMessage&, const std::string& from)>;

  /// \param address IP address and port at which this daemon receives.
  /// \throws std::system_error if the address cannot be bound.
  PeerDatagrams(boost::asio::io_context& context,
                const std::string& address,
                Receiver receiver);

  /// Sends a message. Skips malformed addresses and this daemon's own address.
  void Send(const std::vector<std::string>& peers, const PeerMessage& message);

  /// The bound IP address and port.
  [[nodiscard]] std::string address() const;

  /// Receives messages; does not return.
  boost::asio::awaitable<void> Run();

 private:
  /// Longer datagrams are truncated, so that parsing them fails.
  static constexpr std::size_t kMaxDatagramBytes = 2'048;

  boost::asio::ip::udp::socket socket_;
  Receiver receiver_;
};

}  // namespace sycamoreford
