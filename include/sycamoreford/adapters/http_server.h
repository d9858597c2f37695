#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "sycamoreford/adapters/http_limits.h"
#include "sycamoreford/adapters/http_message.h"
#include "sycamoreford/core/failure.h"

namespace sycamoreford {

/// One request of a caller and the means to answer it.
///
/// Thread safety: belongs to the coroutine that handles it.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual const HttpRequest& request() const noexcept = 0;

  /// Sends a whole response. Precondition: nothing was sent yet.
  virtual boost::asio::awaitable<void> Respond(HttpResponse response) = 0;

  /// Sends the header of a chunked response; its body is ignored.
  /// Precondition: nothing was sent yet.
  virtual boost::asio::awaitable<void> BeginStream(HttpResponse header) = 0;

  /// Sends one chunk. Precondition: `BeginStream` was called.
  virtual boost::asio::awaitable<void> SendChunk(std::string_view bytes) = 0;

  /// Ends a chunked response. Without it the caller sees a cut answer.
  virtual boost::asio::awaitable<void> EndStream() = 0;

  /// Whether any byte of a response was sent.
  [[nodiscard]] virtual bool response_started() const noexcept = 0;
};

/// Handles one exchange. It is cancelled when the caller goes away.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

/// An HTTP/1.1 server with kept-alive connections and bounded input.
///
/// Thread safety: all methods may be called from any thread.
class HttpServer {
 public:
  /// Binds and starts to accept.
  ///
  /// \param address IP address and port; port 0 picks a free one.
  /// \throws std::system_error when the address can not be bound.
  HttpServer(boost::asio::io_context& context,
             const std::string& address,
             HttpLimits limits,
             HttpHandler handler);
  ~HttpServer();

  /// The bound IP address and port.
  [[nodiscard]] std::string address() const;

  /// Number of requests that are being received or answered.
  [[nodiscard]] std::size_t active_requests() const noexcept;

  /// Number of connections, and one more while it accepts.
  [[nodiscard]] std::size_t open_connections() const noexcept;

  /// Replaces the limits; requests that are being received keep the old ones.
  /// Precondition: called by the only thread that runs the context.
  void SetLimits(HttpLimits limits);

  /// Ends each kept-alive connection with its next response, and goes on
  /// accepting.
  void DisableKeepAlive();

  /// Stops accepting. Connections that were made already are served; idle ones
  /// are closed after a short time in which a request that is on its way is
  /// still taken.
  void Close();

  /// Cuts off what is still open after `Close`.
  void CutOff();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace sycamoreford
