#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/http_message.h"
#include "sycamoreford/core/failure.h"
#include "sycamoreford/core/memory_budget.h"

namespace sycamoreford {

/// One request and its response, on a connection that is not reused, so that a
/// late response cannot be taken for the response to another request.
///
/// Destroying the object closes the connection, which cancels the request at
/// the other end.
///
/// Thread safety: none; used by one coroutine.
class HttpCall {
 public:
  /// Creates a call that is not started yet.
  ///
  /// \param kind what the received bytes are for; they count in the budget of
  ///     the process. Without room for them the call fails with
  ///     `kBadEndpointAnswer` and its connection is closed.
  explicit HttpCall(const boost::asio::any_io_executor& executor,
                    HeldKind kind = HeldKind::kResponse);

  /// Connects, sends the request and receives the response header. The response
  /// may be accessed once this has returned without a failure.
  ///
  /// \param address IP address and port; also the value of `Host` if the
  ///     request has none.
  /// \param connect_timeout maximum time to establish the connection.
  /// \param header_timeout maximum time in total, including the connection.
  /// \returns the failure, if any; errors as for `Open`.
  /// Precondition: called once.
  [[nodiscard]] boost::asio::awaitable<std::optional<Failure>> Start(
      const std::string& address,
      const HttpRequest& request,
      std::chrono::milliseconds connect_timeout,
      std::chrono::milliseconds header_timeout);

  /// Connects and sends the request; the first part of `Start`.
  ///
  /// \param timeout maximum time in total, including the connection.
  /// \param may_send if set, called when the connection is established; if it
  ///     returns false, nothing is sent.
  /// Precondition: called once, instead of `Start`.
  [[nodiscard]] boost::asio::awaitable<std::optional<Failure>> Send(
      const std::string& address,
      const HttpRequest& request,
      std::chrono::milliseconds connect_timeout,
      std::chrono::milliseconds timeout,
      std::function<bool()> may_send = {});

  /// Receives the response header; the second part of `Start`. May be called
  /// again after an interruption.
  ///
  /// \param timeout maximum time.
  /// Precondition: `Send` has returned without a failure.
  [[nodiscard]] boost::asio::awaitable<std::optional<Failure>> ReadHead(
      std::chrono::milliseconds timeout);

  /// Ends the running or otherwise the next call of `ReadHead` or `ReadSome`
  /// with a failure, without losing any bytes: calling it again goes on with
  /// the response. Must be called on the thread that runs the executor.
  void Interrupt() noexcept;

  /// Discards an interruption that has not ended a call yet.
  void ClearInterrupt() noexcept;

  /// Whether the last failure was due to `Interrupt`.
  [[nodiscard]] bool was_interrupted() const noexcept;

  /// Closes the connection; pending operations end with a failure. Must be
  /// called on the thread that runs the executor.
  void Abort() noexcept;

  /// Whether any byte of the request may have reached the other end.
  [[nodiscard]] bool was_sent() const noexcept;

  /// Time of day just before the request was sent. Whatever responds was
  /// running then; the time at which the response is read tells nothing of it.
  ///
  /// Precondition: `was_sent()`.
  [[nodiscard]] std::chrono::system_clock::time_point sent_at() const noexcept;

  /// Whether nothing was sent because `may_send` returned false.
  [[nodiscard]] bool was_withheld() const noexcept;

  /// Connects, sends the request and receives the response header.
  ///
  /// \param address IP address and port.
  /// \param connect_timeout maximum time to establish the connection.
  /// \param header_timeout maximum time in total, including the connection.
  /// \returns the open call. Errors: `kConnectionRefused` (outcome `kNotRun`)
  ///     if no connection was established; `kConnectionLost`, `kStalled` or
  ///     `kBadEndpointAnswer` (outcome `kUnknown`) after bytes were sent.
  [[nodiscard]] static boost::asio::awaitable<Result<HttpCall>> Open(
      const std::string& address,
      const HttpRequest& request,
      std::chrono::milliseconds connect_timeout,
      std::chrono::milliseconds header_timeout,
      HeldKind kind = HeldKind::kResponse);

  HttpCall(HttpCall&&) noexcept;
  HttpCall& operator=(HttpCall&&) noexcept;
  ~HttpCall();

  static constexpr std::chrono::milliseconds kNoTimeout{-1};

  [[nodiscard]] unsigned status() const noexcept;
  [[nodiscard]] const HttpFields& fields() const noexcept;

  /// Counts received bytes that the user of the call keeps, until this is
  /// called again or the call is destroyed.
  ///
  /// \returns false if there is no room for them; the connection is closed.
  /// Precondition: `Send` has returned without a failure.
  [[nodiscard]] bool Retain(std::size_t bytes);

  /// Reads the next bytes of the body.
  ///
  /// \param timeout maximum time; `kNoTimeout` for no limit. If it is 0,
  /// nothing
  ///     is read.
  /// \returns the bytes, or nothing at the end of a complete message. Errors as
  ///     for `Open`.
  [[nodiscard]] boost::asio::awaitable<Result<std::optional<std::string>>>
  ReadSome(std::chrono::milliseconds timeout);

  /// Reads the rest of the body; is not interrupted.
  ///
  /// \param max_bytes maximum size; a longer body is `kBadEndpointAnswer`.
  /// \param timeout maximum time for the whole body.
  [[nodiscard]] boost::asio::awaitable<Result<std::string>> ReadAll(
      std::size_t max_bytes,
      std::chrono::milliseconds timeout);

 private:
  struct State;
  explicit HttpCall(std::unique_ptr<State> state);
  std::unique_ptr<State> state_;
};

/// Sends a request and reads the whole response, all within `timeout`.
///
/// \param max_bytes maximum size of the body. It counts as needed by the
///     process itself.
/// \returns the response. Errors as for `HttpCall::Open` and
///     `HttpCall::ReadAll`.
[[nodiscard]] boost::asio::awaitable<Result<HttpResponse>> FetchHttp(
    const std::string& address,
    const HttpRequest& request,
    std::chrono::milliseconds timeout,
    std::size_t max_bytes);

/// Establishes a connection and closes it again.
///
/// \returns whether it was established within `timeout`.
[[nodiscard]] boost::asio::awaitable<bool> CanConnect(
    const std::string& address,
    std::chrono::milliseconds timeout);

}  // namespace sycamoreford
