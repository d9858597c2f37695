#include "sycamoreford/adapters/http_server.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "impl/beast_exchange.h"
#include "impl/http_connection.h"
#include "impl/parse_address.h"
#include "sycamoreford/core/log.h"

namespace sycamoreford {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::use_awaitable;
using asio::ip::tcp;
using impl::BeastExchange;
using impl::Connection;
using impl::kHttp11;

std::string_view HttpFields::Get(std::string_view name) const noexcept {
  for (const auto& [key, value] : fields_) {
    if (beast::iequals(key, name)) {
      return value;
    }
  }
  return {};
}

struct HttpServer::State {
  State(asio::io_context& io, const std::string& address)
      : context(io), acceptor(asio::make_strand(io)) {
    const tcp::endpoint endpoint = impl::ParseAddress(address);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
    bound_address = impl::ToAddress(acceptor.local_endpoint());
  }

  asio::io_context& context;
  tcp::acceptor acceptor;
  std::string bound_address;
  HttpLimits limits;
  HttpHandler handler;
  std::atomic<bool> keep_alive_disabled{false};
  std::atomic<bool> closing{false};
  std::atomic<bool> accepting{true};
  std::atomic<std::size_t> connection_count{0};
  std::atomic<std::size_t> active_requests{0};
  std::mutex connections_mutex;
  /// Connections, some of which may have been closed since; guarded by
  /// `connections_mutex`.
  std::map<const Connection*, std::weak_ptr<Connection>> connections;

  /// Precondition: called on the only thread that runs the context, or before
  /// the first connection.
  void SetLimits(HttpLimits changed) {
    limits = changed;
    if (!closing) {
      ForEachConnection(
          [timeout = limits.idle_timeout](Connection& connection) {
            connection.ExtendIdle(timeout);
          });
    }
  }

  /// Runs `action` for each open connection on its strand.
  template <class Action>
  void ForEachConnection(Action action) {
    const std::lock_guard lock(connections_mutex);
    for (const auto& [key, weak] : connections) {
      if (auto connection = weak.lock()) {
        const auto executor = connection->stream.get_executor();
        asio::post(executor, [action, connection = std::move(connection)] {
          action(*connection);
        });
      }
    }
  }
};

namespace {

/// Interval of the polls for a disconnect; also the delay of the next accept
/// after a failed one.
constexpr std::chrono::milliseconds kDisconnectPollInterval{100};
/// How long an idle connection stays open after `Close`, for requests that were
/// already sent.
constexpr std::chrono::milliseconds kCloseGrace{500};
/// Maximum time to wait, after the last response, until the client closes the
/// connection.
constexpr std::chrono::milliseconds kLingerTimeout{1'000};
constexpr std::chrono::seconds kOverloadRetryAfter{1};

HttpRequest ToRequest(http::request<http::string_body> message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.fields.Add(std::string(field.name_string()),
                       std::string(field.value()));
  }
  request.body = std::move(message.body());
  return request;
}

HttpResponse ErrorResponse(unsigned status, Errc code) {
  HttpResponse response;
  response.status = status;
  response.body = R"({"error":{"type":")" + std::string(ToString(code)) +
                  R"(","outcome":"not_run"}})";
  return response;
}

HttpResponse InputErrorResponse(const beast::error_code& error) {
  unsigned status = 400;
  Errc code = Errc::kMalformed;
  if (error == http::error::body_limit) {
    status = 413;
    code = Errc::kTooLarge;
  } else if (error == http::error::header_limit) {
    status = 431;
    code = Errc::kTooLarge;
  } else if (error == beast::error::timeout) {
    status = 408;
    code = Errc::kDeadlineExceeded;
  }
  return ErrorResponse(status, code);
}

/// Completes when the client has closed the connection. Bytes of a pipelined
/// request are left unread.
asio::awaitable<void> WaitForDisconnect(
    tcp::socket& socket,
    std::shared_ptr<const ClientPresence> client) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    co_await socket.async_wait(tcp::socket::wait_read, use_awaitable);
    if (client->HasLeft()) {
      co_return;
    }
    timer.expires_after(kDisconnectPollInterval);
    co_await timer.async_wait(use_awaitable);
  }
}

/// Runs the handler and catches its exceptions: an exception from one operand
/// of `||` is delivered only after the other operand, the wait for a
/// disconnect, has ended.
template <class State>
asio::awaitable<void> RunHandler(std::shared_ptr<State> state,
                                 BeastExchange& exchange,
                                 bool& has_thrown) {
  try {
    co_await state->handler(exchange);
  } catch (const std::exception& error) {
    has_thrown = true;
    LogEvent(Severity::kDebug, "exchange_ended").With("reason", error.what());
  }
}

template <class State>
asio::awaitable<void> HandleExchange(const std::shared_ptr<State>& state,
                                     Connection& connection,
                                     BeastExchange& exchange) {
  using namespace asio::experimental::awaitable_operators;  // NOLINT
  bool is_disconnected = false;
  bool is_ended = false;
  bool has_thrown = false;
  try {
    const auto first = co_await (
        RunHandler(state, exchange, has_thrown) ||
        WaitForDisconnect(connection.stream.socket(), exchange.client()) ||
        connection.WaitForEnd());
    is_disconnected = first.index() == 1 || exchange.client()->HasLeft();
    is_ended = first.index() == 2;
  } catch (const std::exception& error) {
    is_disconnected = true;
    LogEvent(Severity::kDebug, "exchange_ended").With("reason", error.what());
  }
  if ((has_thrown || is_ended) && !is_disconnected &&
      !exchange.response_started()) {
    HttpResponse response;
    response.status = is_ended ? 502 : 500;
    response.body =
        is_ended ? R"({"error":{"type":"stopping","outcome":"unknown"}})"
                 : R"({"error":{"type":"internal","outcome":"unknown"}})";
    co_await exchange.Respond(std::move(response));
  }
}

/// Waits for the first byte of the next request.
///
/// \returns true if there is one; false if the connection was closed, failed or
///     reached the idle timeout.
template <class State>
asio::awaitable<bool> WaitForRequest(const std::shared_ptr<State>& state,
                                     Connection& connection) {
  if (connection.buffer.size() > 0) {
    co_return true;
  }
  tcp::socket& socket = connection.stream.socket();
  connection.StartIdle(state->closing ? kCloseGrace
                                      : state->limits.idle_timeout);
  beast::error_code error;
  co_await socket.async_wait(tcp::socket::wait_read,
                             asio::redirect_error(use_awaitable, error));
  connection.is_idle = false;
  connection.ClearReadTimeout();
  beast::error_code closed;
  co_return !error || socket.available(closed) > 0;
}

/// Shuts down the sending side and discards input until the client closes the
/// connection or `kLingerTimeout` expires. Closing a socket with unread bytes
/// would reset the connection, and the client could lose the last response.
asio::awaitable<void> LingeringClose(beast::tcp_stream& stream) {
  beast::error_code error;
  stream.socket().shutdown(tcp::socket::shutdown_send, error);
  std::array<char, 4096> discarded{};
  stream.expires_after(kLingerTimeout);
  while (!error) {
    co_await stream.async_read_some(asio::buffer(discarded),
                                    asio::redirect_error(use_awaitable, error));
  }
}

/// Closes a persistent connection on which the client may be sending its next
/// request. The request is left unread, so that the connection is reset and the
/// client knows that the request was not processed.
asio::awaitable<void> CloseWithoutReading(
    std::shared_ptr<Connection> connection) {
  tcp::socket& socket = connection->stream.socket();
  beast::error_code error;
  socket.shutdown(tcp::socket::shutdown_send, error);
  connection->SetReadTimeout(kLingerTimeout);
  co_await socket.async_wait(tcp::socket::wait_read,
                             asio::redirect_error(use_awaitable, error));
  connection->ClearReadTimeout();
  socket.close(error);
}

HttpResponse NoRoomResponse() {
  HttpResponse response = ErrorResponse(503, Errc::kOverloaded);
  response.fields.Add("retry-after",
                      std::to_string(kOverloadRetryAfter.count()));
  return response;
}

/// Reads the body of a request, counting what it holds.
asio::awaitable<beast::error_code> ReadBody(
    Connection& connection,
    http::request_parser<http::string_body>& parser) {
  beast::error_code error;
  while (!error && !parser.is_done() &&
         connection.Count(parser.get().body().capacity())) {
    co_await http::async_read_some(connection.stream, connection.buffer, parser,
                                   asio::redirect_error(use_awaitable, error));
  }
  co_return error;
}

/// Reads one request and sends the error response if it is invalid or there is
/// no room for it.
///
/// \returns the request; empty if it is invalid or the connection ended.
template <class State>
asio::awaitable<std::optional<http::request<http::string_body>>> ReadRequest(
    const std::shared_ptr<State>& state,
    Connection& connection) {
  const HttpLimits& limits = state->limits;
  beast::tcp_stream& stream = connection.stream;
  http::request_parser<http::string_body> parser;
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  beast::error_code error;
  auto token = asio::redirect_error(use_awaitable, error);
  stream.expires_never();
  connection.timed_out = false;
  connection.SetReadTimeout(limits.header_timeout);
  connection.StartHold();
  co_await http::async_read_header(stream, connection.buffer, parser, token);
  if (!error && !parser.is_done()) {
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> continue_response(
          http::status::continue_, parser.get().version());
      co_await http::async_write(stream, continue_response, token);
    }
    connection.SetReadTimeout(limits.body_timeout);
    error = co_await ReadBody(connection, parser);
  }
  connection.ClearReadTimeout();
  if (error && connection.timed_out) {
    error = beast::error::timeout;
  }
  if (!error && parser.get().version() >= kHttp11 &&
      parser.get().find(http::field::host) == parser.get().end()) {
    error = http::error::bad_field;
  }
  if (!error && connection.Count(parser.get().body().capacity())) {
    connection.KeepHold(parser.get().body().capacity());
    co_return parser.release();
  }
  if (connection.is_out_of_memory) {
    BeastExchange exchange(stream, {}, {}, false, state->keep_alive_disabled,
                           kHttp11, limits.write_timeout);
    co_await exchange.Respond(NoRoomResponse());
  } else if (error != http::error::end_of_stream) {
    BeastExchange exchange(stream, {}, {}, false, state->keep_alive_disabled,
                           kHttp11, limits.write_timeout);
    co_await exchange.Respond(InputErrorResponse(error));
  }
  co_return std::nullopt;
}

/// Time since the last bytes of the client came, read or not; 0 if the system
/// does not tell.
std::chrono::milliseconds TimeSinceLastBytes(tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                   &size) != 0) {
    return std::chrono::milliseconds(0);
  }
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

/// Closes a connection so that the client sees that it was broken off.
void Reset(beast::tcp_stream& stream) {
  beast::error_code ignored;
  stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  stream.close();
}

/// Reads and handles one request.
///
/// \returns whether the connection may be used for a further request.
template <class State>
asio::awaitable<bool> ServeRequest(const std::shared_ptr<State>& state,
                                   Connection& connection) {
  ++state->active_requests;
  const std::shared_ptr<void> decrement_on_exit(
      nullptr, [state](void*) { --state->active_requests; });
  const std::shared_ptr<void> release_on_exit(nullptr, [&connection](void*) {
    connection.reading.reset();
    connection.hold.reset();
  });
  auto message = co_await ReadRequest(state, connection);
  if (!message) {
    co_return false;
  }
  const bool keep_alive = message->keep_alive();
  const unsigned version = message->version();
  BeastExchange exchange(connection.stream, ToRequest(std::move(*message)),
                         TimeSinceLastBytes(connection.stream.socket()),
                         keep_alive, state->keep_alive_disabled, version,
                         state->limits.write_timeout);
  connection.exchange = &exchange;
  const std::shared_ptr<void> reset_on_exit(
      nullptr, [&connection](void*) { connection.exchange = nullptr; });
  co_await HandleExchange(state, connection, exchange);
  if (exchange.needs_reset()) {
    Reset(connection.stream);
  }
  co_return exchange.may_continue();
}

/// Sends status 503 because the maximum number of connections is exceeded.
template <class State>
asio::awaitable<void> RejectConnection(const std::shared_ptr<State>& state,
                                       Connection& connection) {
  BeastExchange exchange(connection.stream, {}, {}, false,
                         state->keep_alive_disabled, kHttp11,
                         state->limits.write_timeout);
  co_await exchange.Respond(NoRoomResponse());
}

/// Serves requests until the connection is to be closed.
///
/// \returns whether the client was told that no further request is processed;
///     otherwise it may be sending one.
template <class State>
asio::awaitable<bool> ServeRequests(const std::shared_ptr<State>& state,
                                    Connection& connection) {
  for (;;) {
    const bool has_request = co_await WaitForRequest(state, connection);
    if (!has_request) {
      co_return false;
    }
    const bool keep_open = co_await ServeRequest(state, connection);
    if (!keep_open) {
      co_return true;
    }
    if (state->closing && connection.buffer.size() == 0) {
      // The response was sent with keep-alive before `Close` was called. A
      // further request might not finish before the drain deadline.
      co_return false;
    }
  }
}

template <class State>
asio::awaitable<void> ServeConnection(std::shared_ptr<State> state,
                                      std::shared_ptr<Connection> connection) {
  beast::error_code ignored;
  connection->stream.socket().set_option(tcp::no_delay(true), ignored);
  try {
    bool is_end_announced = true;
    if (state->connection_count <= state->limits.max_connections) {
      is_end_announced = co_await ServeRequests(state, *connection);
    } else {
      co_await RejectConnection(state, *connection);
    }
    if (is_end_announced) {
      co_await LingeringClose(connection->stream);
    } else {
      co_await CloseWithoutReading(connection);
    }
  } catch (const std::exception& error) {
    LogEvent(Severity::kDebug, "connection_ended").With("reason", error.what());
  }
  const std::lock_guard lock(state->connections_mutex);
  state->connections.erase(connection.get());
  --state->connection_count;
}

template <class State>
void StartConnection(const std::shared_ptr<State>& state, tcp::socket socket) {
  const auto executor = socket.get_executor();
  auto connection = std::make_shared<Connection>(std::move(socket));
  {
    const std::lock_guard lock(state->connections_mutex);
    state->connections[connection.get()] = connection;
  }
  ++state->connection_count;
  asio::co_spawn(executor, ServeConnection(state, std::move(connection)),
                 asio::detached);
}

/// Accepts the connections in the listen backlog; closing the listener would
/// reset them.
template <class State>
void AcceptBacklog(const std::shared_ptr<State>& state) {
  beast::error_code error;
  state->acceptor.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(asio::make_strand(state->context));
    state->acceptor.accept(socket, error);
    if (!error) {
      StartConnection(state, std::move(socket));
    }
  }
}

template <class State>
asio::awaitable<void> AcceptLoop(std::shared_ptr<State> state) {
  while (!state->closing) {
    beast::error_code error;
    tcp::socket socket = co_await state->acceptor.async_accept(
        asio::make_strand(state->context),
        asio::redirect_error(use_awaitable, error));
    if (!error) {
      StartConnection(state, std::move(socket));
      continue;
    }
    if (error == asio::error::operation_aborted) {
      break;
    }
    LogEvent(Severity::kWarning, "accept_failed")
        .With("reason", error.message());
    asio::steady_timer timer(state->context, kDisconnectPollInterval);
    co_await timer.async_wait(use_awaitable);
  }
  AcceptBacklog(state);
  beast::error_code ignored;
  state->acceptor.close(ignored);
  state->accepting = false;
}

}  // namespace

HttpServer::HttpServer(asio::io_context& context,
                       const std::string& address,
                       HttpLimits limits,
                       HttpHandler handler)
    : state_(std::make_shared<State>(context, address)) {
  state_->limits = limits;
  state_->handler = std::move(handler);
  asio::co_spawn(state_->acceptor.get_executor(), AcceptLoop(state_),
                 asio::detached);
}

HttpServer::~HttpServer() {
  Close();
}

std::string HttpServer::address() const {
  return state_->bound_address;
}

std::size_t HttpServer::active_requests() const noexcept {
  return state_->active_requests;
}

void HttpServer::SetLimits(HttpLimits limits) {
  state_->SetLimits(limits);
}

void HttpServer::Close() {
  if (state_->closing.exchange(true)) {
    return;
  }
  state_->keep_alive_disabled = true;
  asio::post(state_->acceptor.get_executor(), [state = state_] {
    beast::error_code ignored;
    state->acceptor.cancel(ignored);
  });
  state_->ForEachConnection([](Connection& connection) {
    if (connection.is_idle) {
      connection.SetReadTimeout(kCloseGrace);
    }
  });
}

void HttpServer::DisableKeepAlive() {
  state_->keep_alive_disabled = true;
}

void HttpServer::EndRequests() {
  state_->ForEachConnection(
      [](Connection& connection) { connection.EndRequest(); });
}

void HttpServer::CutOff() {
  state_->ForEachConnection(
      [](Connection& connection) { connection.stream.close(); });
}

std::size_t HttpServer::open_connections() const noexcept {
  return state_->connection_count + (state_->accepting ? 1 : 0);
}

}  // namespace sycamoreford
