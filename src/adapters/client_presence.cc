#include "sycamoreford/adapters/client_presence.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace sycamoreford {
namespace {

/// Whether the peer has shut down its sending side, also behind unread bytes.
bool IsShutDownByPeer(int socket) noexcept {
  pollfd polled{.fd = socket, .events = POLLRDHUP, .revents = 0};
  return ::poll(&polled, 1, 0) > 0 &&
         (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace

bool ClientPresence::HasLeft() const noexcept {
  if (stream_ == nullptr || !stream_->socket().is_open()) {
    return true;
  }
  const int socket = stream_->socket().native_handle();
  char byte = 0;
  const ssize_t size = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size > 0) {
    return IsShutDownByPeer(socket);
  }
  const bool is_connected =
      size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
  return !is_connected;
}

}  // namespace sycamoreford
