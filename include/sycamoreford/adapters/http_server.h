#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "sycamoreford/adapters/client_presence.h"
#include "sycamoreford/adapters/http_limits.h"
#include "sycamoreford/adapters/http_message.h"
#include "sycamoreford/core/failure.h"

namespace sycamoreford {

/// A request and the interface to send its response.
///
/// Thread safety: used only by the coroutine that handles it.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual const HttpRequest& request() const noexcept = 0;

  /// IP address of the client; empty if it has disconnected.
  [[nodiscard]] virtual std::string client_ip() const = 0;

  /// Tells whether the client still waits for the response; shared with what
  /// may outlive the exchange.
  [[nodiscard]] virtual std::shared_ptr<const ClientPresence> client()
      const noexcept = 0;

  /// How long the request lay unread after its last bytes had come; 0 if that
  /// is not known.
  [[nodiscard]] virtual std::chrono::milliseconds unread_time()
      const noexcept = 0;

  /// Sends a complete response. Precondition: no response was started.
  virtual boost::asio::awaitable<void> Respond(HttpResponse response) = 0;

  /// Sends the header of a chunked response; the body of `header` is ignored.
  /// Precondition: no response was started.
  virtual boost::asio::awaitable<void> BeginStream(HttpResponse header) = 0;

  /// Sends one chunk. Precondition: `BeginStream` was called.
  virtual boost::asio::awaitable<void> SendChunk(std::string_view bytes) = 0;

  /// Ends a chunked response. If it is not called, the client receives a
  /// truncated response.
  virtual boost::asio::awaitable<void> EndStream() = 0;

  /// Whether sending of a response was started.
  [[nodiscard]] virtual bool response_started() const noexcept = 0;
};

/// Handles one exchange. It is cancelled when the client disconnects; as that
/// takes a turn of the event loop, what must not be done for a client that has
/// left asks `HttpExchange::client` first.
using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

/// An HTTP/1.1 server with persistent connections and limits on the size and
/// duration of requests.
///
/// Thread safety: all methods except `SetLimits` may be called from any thread.
class HttpServer {
 public:
  /// Binds the address and starts accepting connections.
  ///
  /// \param address IP address and port; port 0 picks a free one.
  /// \throws boost::system::system_error if the address cannot be bound.
  HttpServer(boost::asio::io_context& context,
             const std::string& address,
             HttpLimits limits,
             HttpHandler handler);
  ~HttpServer();

  /// The bound IP address and port.
  [[nodiscard]] std::string address() const;

  /// Number of requests that are being received or handled.
  [[nodiscard]] std::size_t active_requests() const noexcept;

  /// Number of open connections, plus one while the listener is open.
  [[nodiscard]] std::size_t open_connections() const noexcept;

  /// Replaces the limits. Requests that are being received keep the old size
  /// limits, and their running timeouts are not changed. Idle connections wait
  /// for the longest idle timeout that was in force since they became idle.
  /// Precondition: called by the only thread that runs the context.
  void SetLimits(HttpLimits limits);

  /// Sends `Connection: close` with all further responses and closes each
  /// connection after its response. New connections are still accepted.
  void DisableKeepAlive();

  /// Stops accepting connections. Established connections are still served;
  /// idle ones are closed after a grace period in which a request that was
  /// already sent is still accepted.
  void Close();

  /// Cancels the handlers of the requests that have no response yet. They may
  /// still respond; for those that do not, status 502 is sent.
  void EndRequests();

  /// Closes all open connections at once. Call after `Close`.
  void CutOff();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace sycamoreford
