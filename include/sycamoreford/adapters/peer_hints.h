#pragma once

#include <array>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

namespace sycamoreford {

/// Tells the other daemons of endpoints that requests had trouble with.
///
/// One datagram for each daemon, which may be lost: it is a hint only, and
/// whoever gets it looks for itself.
///
/// Thread safety: none; runs on the thread of its context.
class PeerHints {
 public:
  /// Called with the id of an endpoint that another daemon had trouble with.
  using Receiver = std::function<void(std::string endpoint)>;

  /// \param address where this daemon receives.
  /// \throws std::system_error when the address can not be bound.
  PeerHints(boost::asio::io_context& context,
            const std::string& address,
            Receiver receiver);

  /// Sends a hint. Addresses that are none are passed over, as is this
  /// daemon's own.
  void Send(const std::vector<std::string>& peers, const std::string& endpoint);

  /// Receives; does not return.
  boost::asio::awaitable<void> Run();

 private:
  /// Longer texts are no ids of endpoints.
  static constexpr std::size_t kMostBytes = 200;

  boost::asio::ip::udp::socket socket_;
  Receiver receiver_;
};

}  // namespace sycamoreford
