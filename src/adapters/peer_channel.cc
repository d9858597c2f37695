#include "sycamoreford/adapters/peer_channel.h"

#include <system_error>

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include "impl/parse_address.h"

namespace sycamoreford {
namespace {

constexpr const char* kScheme = "tcp://";
/// Messages queued per peer, for example while its connection is established.
constexpr int kMaxQueuedMessages = 8;
constexpr nng_duration kMinReconnectDelayMs = 200;
constexpr nng_duration kMaxReconnectDelayMs = 5'000;

[[noreturn]] void ThrowCannotBind(const std::string& address) {
  throw std::system_error(std::make_error_code(std::errc::address_in_use),
                          address);
}

}  // namespace

PeerChannel::PeerChannel(const std::string& address) {
  (void)impl::ParseAddress(address);
  if (nng_pull0_open(&listener_) != 0) {
    ThrowCannotBind(address);
  }
  (void)nng_socket_set_size(listener_, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
  nng_listener listener = NNG_LISTENER_INITIALIZER;
  int port = 0;
  if (nng_listen(listener_, (kScheme + address).c_str(), &listener, 0) != 0 ||
      nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port) != 0 ||
      nng_aio_alloc(&aio_, &PeerChannel::OnReceive, this) != 0) {
    nng_close(listener_);
    ThrowCannotBind(address);
  }
  address_ = address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

PeerChannel::~PeerChannel() {
  Close();
  nng_aio_free(aio_);
  for (auto& [address, connection] : connections_) {
    nng_close(connection.socket);
  }
}

void PeerChannel::Start(Receiver receiver) {
  receiver_ = std::move(receiver);
  nng_recv_aio(listener_, aio_);
}

void PeerChannel::Close() {
  nng_aio_stop(aio_);
  nng_close(listener_);
}

void PeerChannel::OnReceive(void* self) {
  static_cast<PeerChannel*>(self)->HandleReceive();
}

void PeerChannel::HandleReceive() {
  if (nng_aio_result(aio_) != 0) {
    return;
  }
  nng_msg* raw = nng_aio_get_msg(aio_);
  v1::PeerMessage message;
  const bool is_parsed = message.ParseFromArray(
      nng_msg_body(raw), static_cast<int>(nng_msg_len(raw)));
  nng_msg_free(raw);
  if (is_parsed) {
    receiver_(std::move(message));
  } else {
    ++malformed_count_;
  }
  nng_recv_aio(listener_, aio_);
}

void PeerChannel::CloseIdleConnections(TimePoint now) {
  std::erase_if(connections_, [&](const auto& item) {
    const bool is_idle = now - item.second.last_used_at > kIdleTimeout;
    if (is_idle) {
      nng_close(item.second.socket);
    }
    return is_idle;
  });
}

Result<nng_socket> PeerChannel::GetOrOpenSocket(const std::string& address,
                                                TimePoint now) {
  const auto found = connections_.find(address);
  if (found != connections_.end()) {
    found->second.last_used_at = now;
    return found->second.socket;
  }
  if (connections_.size() >= kMaxConnections) {
    return Failure{.code = Errc::kOverloaded, .where = address};
  }
  try {
    (void)impl::ParseAddress(address);
  } catch (const std::system_error&) {
    return Failure{.code = Errc::kMalformed, .where = "peer address"};
  }
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  if (nng_push0_open(&socket) != 0) {
    return Failure{.code = Errc::kOverloaded, .where = address};
  }
  (void)nng_socket_set_int(socket, NNG_OPT_SENDBUF, kMaxQueuedMessages);
  (void)nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kMinReconnectDelayMs);
  (void)nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kMaxReconnectDelayMs);
  if (nng_dial(socket, (kScheme + address).c_str(), nullptr,
               NNG_FLAG_NONBLOCK) != 0) {
    nng_close(socket);
    return Failure{.code = Errc::kMalformed, .where = "peer address"};
  }
  connections_[address] = {socket, now};
  return socket;
}

Result<void> PeerChannel::Send(const std::string& address,
                               const v1::PeerMessage& message,
                               TimePoint now) {
  CloseIdleConnections(now);
  std::string bytes = message.SerializeAsString();
  if (bytes.size() > kMaxMessageBytes) {
    return Failure{.code = Errc::kTooLarge, .where = "peer_message"};
  }
  auto socket = GetOrOpenSocket(address, now);
  if (!socket) {
    return socket.error();
  }
  if (nng_send(*socket, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK) != 0) {
    return Failure{.code = Errc::kOverloaded, .where = address};
  }
  return {};
}

}  // namespace sycamoreford
