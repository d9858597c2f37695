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

#include "sycamoreford/relay/fleet_retry_budget.h"

namespace sycamoreford {

/// What one daemon tells the others: trouble with an endpoint, or the retries
/// that it has used and its configuration.
struct PeerMessage {
  /// Id of the endpoint; empty when the message is of retries.
  std::string endpoint;
  /// How slow the endpoint states to be; empty when there is other trouble.
  std::optional<double> slowness;
  std::string service;
  RetryUsage usage;
  /// Configuration in force at the sender; 0 when it has none.
  std::uint64_t revision = 0;

  [[nodiscard]] std::string ToText() const;
  /// \returns nothing when the text is no message.
  [[nodiscard]] static std::optional<PeerMessage> Parse(
      const std::string& text);
};

/// Datagrams between daemons.
///
/// They may be lost, so that they carry hints only: whoever hears of trouble
/// looks for itself, who hears of a configuration reads it from the store, and
/// whoever does not hear of retries keeps to its own part.
///
/// Thread safety: none; runs on the thread of its context.
class PeerDatagrams {
 public:
  /// Called with each message and the address of the daemon that sent it.
  using Receiver =
      std::function<void(const PeerMessage&, const std::string& from)>;

  /// \param address where this daemon receives.
  /// \throws std::system_error when the address can not be bound.
  PeerDatagrams(boost::asio::io_context& context,
                const std::string& address,
                Receiver receiver);

  /// Sends a message. Addresses that are none are passed over, as is this
  /// daemon's own.
  void Send(const std::vector<std::string>& peers, const PeerMessage& message);

  /// The bound IP address and port.
  [[nodiscard]] std::string address() const;

  /// Receives; does not return.
  boost::asio::awaitable<void> Run();

 private:
  /// Longer datagrams are cut and then no message.
  static constexpr std::size_t kMaxDatagramBytes = 512;

  boost::asio::ip::udp::socket socket_;
  Receiver receiver_;
};

}  // namespace sycamoreford
