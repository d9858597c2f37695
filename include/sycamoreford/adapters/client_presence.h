#pragma once

#include <boost/beast/core/tcp_stream.hpp>

namespace sycamoreford {

/// Tells whether the client of an exchange still waits for its response. May
/// outlive the exchange.
///
/// Thread safety: none; used on the thread of the connection.
class ClientPresence {
 public:
  /// Precondition: `stream` outlives this object, or `End` is called before it
  /// is destroyed.
  explicit ClientPresence(boost::beast::tcp_stream& stream)
      : stream_(&stream) {}

  /// Whether the client has closed its connection or its sending side, or the
  /// exchange has ended. Asks the socket, so that a close counts before any
  /// coroutine has been told of it, and behind bytes that are not read yet.
  [[nodiscard]] bool HasLeft() const noexcept;

  /// Called when the exchange has ended.
  void End() noexcept { stream_ = nullptr; }

 private:
  boost::beast::tcp_stream* stream_;
};

}  // namespace sycamoreford
