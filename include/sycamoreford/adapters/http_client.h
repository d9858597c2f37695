#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/http_message.h"
#include "sycamoreford/core/failure.h"

namespace sycamoreford {

/// The response to one request, on a connection of its own that is never
/// used again, so that no late answer can reach another request.
///
/// Thread safety: belongs to one coroutine. Destroying it closes the
/// connection, which cancels the work at the other end.
class HttpCall {
 public:
  /// A call that is not started yet.
  explicit HttpCall(const boost::asio::any_io_executor& executor);

  /// Connects, sends the request and receives the response header. Further
  /// calls of the object may be made when it has returned without a failure.
  ///
  /// \param address IP address and port; it is also the value of `Host` when
  ///     the request has none.
  /// \param connect_timeout bound for making the connection.
  /// \param header_timeout bound for all, the connection included.
  /// \returns errors as `Open`.
  /// Precondition: called once.
  [[nodiscard]] boost::asio::awaitable<std::optional<Failure>> Start(
      const std::string& address,
      const HttpRequest& request,
      std::chrono::milliseconds connect_timeout,
      std::chrono::milliseconds header_timeout);

  /// Closes the connection; what waits for it ends with a failure. Called by
  /// the thread that runs the executor.
  void Abort() noexcept;

  /// Whether any byte of the request may have reached the other end.
  [[nodiscard]] bool was_sent() const noexcept;

  /// Connects, sends the request and receives the response header.
  ///
  /// \param address IP address and port.
  /// \param connect_timeout bound for making the connection.
  /// \param header_timeout bound for all, the connection included.
  /// \returns the open call. Errors: `kConnectionRefused` (not run) when no
  ///     connection was made; `kConnectionLost`, `kStalled` or
  ///     `kBadEndpointAnswer` (unknown) after bytes were sent.
  [[nodiscard]] static boost::asio::awaitable<Result<HttpCall>> Open(
      const std::string& address,
      const HttpRequest& request,
      std::chrono::milliseconds connect_timeout,
      std::chrono::milliseconds header_timeout);

  HttpCall(HttpCall&&) noexcept;
  HttpCall& operator=(HttpCall&&) noexcept;
  ~HttpCall();

  static constexpr std::chrono::milliseconds kNoTimeout{-1};

  [[nodiscard]] unsigned status() const noexcept;
  [[nodiscard]] const HttpFields& fields() const noexcept;

  /// Reads the next bytes of the body.
  ///
  /// \param timeout bound for all of it; `kNoTimeout` sets none.
  /// \returns the bytes, or nothing at the proper end of the message. Errors
  ///     as for `Open`.
  [[nodiscard]] boost::asio::awaitable<Result<std::optional<std::string>>>
  ReadSome(std::chrono::milliseconds timeout);

  /// Reads the rest of the body.
  ///
  /// \param max_bytes most bytes to accept; more is `kBadEndpointAnswer`.
  /// \param timeout bound for all of it.
  [[nodiscard]] boost::asio::awaitable<Result<std::string>> ReadAll(
      std::size_t max_bytes,
      std::chrono::milliseconds timeout);

 private:
  struct State;
  explicit HttpCall(std::unique_ptr<State> state);
  std::unique_ptr<State> state_;
};

/// Sends a request and reads the whole response, all within `timeout`; errors
/// as for `HttpCall`.
[[nodiscard]] boost::asio::awaitable<Result<HttpResponse>> FetchHttp(
    const std::string& address,
    const HttpRequest& request,
    std::chrono::milliseconds timeout,
    std::size_t max_bytes);

}  // namespace sycamoreford
