#include "sycamoreford/adapters/peer_hints.h"

#include <algorithm>
#include <cctype>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "impl/parse_address.h"
#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/core/log.h"

namespace sycamoreford {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

/// Pause after a failed receive.
constexpr std::chrono::milliseconds kAfterFailure{100};

udp::endpoint ToEndpoint(const std::string& address) {
  const auto endpoint = impl::ParseAddress(address);
  return {endpoint.address(), endpoint.port()};
}

bool IsPlainText(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return std::isgraph(static_cast<unsigned char>(c)) != 0;
  });
}

}  // namespace

PeerHints::PeerHints(asio::io_context& context,
                     const std::string& address,
                     Receiver receiver)
    : socket_(context, ToEndpoint(address)), receiver_(std::move(receiver)) {
  socket_.non_blocking(true);
}

void PeerHints::Send(const std::vector<std::string>& peers,
                     const std::string& endpoint) {
  for (const std::string& peer : peers) {
    try {
      const udp::endpoint to = ToEndpoint(peer);
      boost::system::error_code error;
      if (to != socket_.local_endpoint()) {
        socket_.send_to(asio::buffer(endpoint), to, 0, error);
      }
      if (error) {
        LogEvent(Severity::kDebug, "hint_not_sent")
            .With("peer", peer)
            .With("reason", error.message());
      }
    } catch (const std::system_error&) {
      LogEvent(Severity::kWarning, "peer_address_malformed").With("peer", peer);
    }
  }
}

asio::awaitable<void> PeerHints::Run() {
  std::array<char, kMostBytes> bytes{};
  for (;;) {
    udp::endpoint from;
    boost::system::error_code error;
    const std::size_t size = co_await socket_.async_receive_from(
        asio::buffer(bytes), from,
        asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      LogEvent(Severity::kDebug, "hint_not_received")
          .With("reason", error.message());
      co_await Pause(kAfterFailure);
      continue;
    }
    const std::string text(bytes.data(), size);
    if (IsPlainText(text)) {
      receiver_(text);
    }
  }
}

}  // namespace sycamoreford
