#include "sycamoreford/adapters/http_server.h"

#include <atomic>
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

#include "impl/parse_address.h"
#include "sycamoreford/core/log.h"

namespace sycamoreford {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

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
    bound = impl::ToAddress(acceptor.local_endpoint());
  }

  asio::io_context& context;
  tcp::acceptor acceptor;
  std::string bound;
  HttpLimits limits;
  HttpHandler handler;
  std::atomic<bool> closing{false};
  std::atomic<std::size_t> connections{0};
  std::atomic<std::size_t> active{0};
};

namespace {

constexpr std::chrono::milliseconds kGoneCheckInterval{100};

/// An exchange over a Beast stream.
class BeastExchange final : public HttpExchange {
 public:
  BeastExchange(beast::tcp_stream& stream,
                HttpRequest request,
                bool keep_alive,
                unsigned version,
                std::chrono::milliseconds write_timeout)
      : stream_(stream),
        request_(std::move(request)),
        keep_alive_(keep_alive),
        version_(version),
        write_timeout_(write_timeout) {}

  [[nodiscard]] const HttpRequest& request() const noexcept override {
    return request_;
  }

  asio::awaitable<void> Respond(HttpResponse response) override {
    http::response<http::string_body> message(
        static_cast<http::status>(response.status), version_);
    SetFields(message, response);
    message.body() = std::move(response.body);
    message.prepare_payload();
    answered_ = true;
    stream_.expires_after(write_timeout_);
    co_await http::async_write(stream_, message, use_awaitable);
    complete_ = true;
  }

  asio::awaitable<void> BeginStream(HttpResponse header) override {
    http::response<http::empty_body> message(
        static_cast<http::status>(header.status), version_);
    SetFields(message, header);
    chunked_ = version_ >= kHttp11;
    message.chunked(chunked_);
    http::response_serializer<http::empty_body> serializer(message);
    answered_ = true;
    stream_.expires_after(write_timeout_);
    co_await http::async_write_header(stream_, serializer, use_awaitable);
  }

  asio::awaitable<void> SendChunk(std::string_view bytes) override {
    stream_.expires_after(write_timeout_);
    const auto buffer = asio::buffer(bytes.data(), bytes.size());
    if (chunked_) {
      co_await asio::async_write(stream_, http::make_chunk(buffer),
                                 use_awaitable);
    } else {
      co_await asio::async_write(stream_, buffer, use_awaitable);
    }
  }

  asio::awaitable<void> EndStream() override {
    if (chunked_) {
      stream_.expires_after(write_timeout_);
      co_await asio::async_write(stream_, http::make_chunk_last(),
                                 use_awaitable);
    }
    complete_ = chunked_;
  }

  [[nodiscard]] bool is_answered() const noexcept override { return answered_; }
  /// Whether a further request may follow on this connection.
  [[nodiscard]] bool may_continue() const noexcept {
    return complete_ && keep_alive_;
  }
  /// Ends the connection after this exchange.
  void EndConnection() noexcept { keep_alive_ = false; }

 private:
  static constexpr unsigned kHttp11 = 11;

  template <class Body>
  void SetFields(http::response<Body>& message, const HttpResponse& response) {
    message.set(http::field::server, "sycamoreford");
    message.set(http::field::content_type, response.content_type);
    for (const auto& [name, value] : response.fields) {
      message.set(name, value);
    }
    message.keep_alive(keep_alive_);
  }

  beast::tcp_stream& stream_;
  HttpRequest request_;
  bool keep_alive_;
  unsigned version_;
  std::chrono::milliseconds write_timeout_;
  bool answered_ = false;
  bool chunked_ = false;
  bool complete_ = false;
};

HttpRequest ToRequest(const http::request<http::string_body>& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.fields.Add(std::string(field.name_string()),
                       std::string(field.value()));
  }
  request.body = message.body();
  return request;
}

HttpResponse InputError(const beast::error_code& error) {
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
  HttpResponse response;
  response.status = status;
  response.body = R"({"error":{"type":")" + std::string(ToString(code)) +
                  R"(","outcome":"not_run"}})";
  return response;
}

/// Returns when the caller has closed its side.
asio::awaitable<void> WaitUntilGone(tcp::socket& socket) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    co_await socket.async_wait(tcp::socket::wait_read, use_awaitable);
    char byte = 0;
    beast::error_code error;
    socket.non_blocking(true, error);
    const std::size_t size = socket.receive(asio::buffer(&byte, 1),
                                            tcp::socket::message_peek, error);
    if (size == 0 && error != asio::error::would_block) {
      co_return;
    }
    timer.expires_after(kGoneCheckInterval);
    co_await timer.async_wait(use_awaitable);
  }
}

/// Runs the handler. An exception must not leave it: the wait for the caller's
/// end, which runs beside it, would then have to end first.
template <class State>
asio::awaitable<void> RunHandler(std::shared_ptr<State> state,
                                 BeastExchange& exchange) {
  try {
    co_await state->handler(exchange);
  } catch (const std::exception& error) {
    exchange.EndConnection();
    LogEvent(Severity::kDebug, "exchange_ended").With("reason", error.what());
  }
}

template <class State>
asio::awaitable<void> Handle(std::shared_ptr<State> state,
                             beast::tcp_stream& stream,
                             BeastExchange& exchange) {
  using namespace asio::experimental::awaitable_operators;  // NOLINT
  bool is_gone = false;
  ++state->active;
  try {
    const auto first = co_await (RunHandler(state, exchange) ||
                                 WaitUntilGone(stream.socket()));
    is_gone = first.index() == 1;
  } catch (const std::exception& error) {
    is_gone = true;
    LogEvent(Severity::kDebug, "exchange_ended").With("reason", error.what());
  }
  --state->active;
  if (!is_gone && !exchange.is_answered()) {
    HttpResponse response;
    response.status = 500;
    response.body = R"({"error":{"type":"internal","outcome":"unknown"}})";
    co_await exchange.Respond(std::move(response));
  }
}

/// Reads one request; empty when the connection ended or broke.
asio::awaitable<std::optional<http::request<http::string_body>>> ReadRequest(
    beast::tcp_stream& stream,
    beast::flat_buffer& buffer,
    const HttpLimits& limits) {
  http::request_parser<http::string_body> parser;
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  beast::error_code error;
  auto token = asio::redirect_error(use_awaitable, error);
  stream.expires_after(limits.idle_timeout);
  co_await http::async_read_header(stream, buffer, parser, token);
  if (!error && !parser.is_done()) {
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> go_on(http::status::continue_,
                                             parser.get().version());
      co_await http::async_write(stream, go_on, token);
    }
    stream.expires_after(limits.body_timeout);
    co_await http::async_read(stream, buffer, parser, token);
  }
  if (!error) {
    co_return parser.release();
  }
  const bool is_silent_end =
      error == http::error::end_of_stream ||
      (error == beast::error::timeout && !parser.got_some());
  if (!is_silent_end) {
    BeastExchange exchange(stream, {}, false, 11, limits.write_timeout);
    co_await exchange.Respond(InputError(error));
  }
  co_return std::nullopt;
}

template <class State>
asio::awaitable<void> Serve(std::shared_ptr<State> state,
                            beast::tcp_stream stream) {
  ++state->connections;
  stream.socket().set_option(tcp::no_delay(true));
  beast::flat_buffer buffer;
  try {
    bool open = state->connections <= state->limits.connections;
    while (open) {
      auto message = co_await ReadRequest(stream, buffer, state->limits);
      if (!message) {
        break;
      }
      BeastExchange exchange(stream, ToRequest(*message), message->keep_alive(),
                             message->version(), state->limits.write_timeout);
      if (state->closing) {
        exchange.EndConnection();
      }
      co_await Handle(state, stream, exchange);
      open = exchange.may_continue() && !state->closing;
    }
  } catch (const std::exception& error) {
    LogEvent(Severity::kDebug, "connection_ended").With("reason", error.what());
  }
  beast::error_code ignored;
  stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  --state->connections;
}

template <class State>
asio::awaitable<void> Accept(std::shared_ptr<State> state) {
  while (!state->closing) {
    beast::error_code error;
    tcp::socket socket = co_await state->acceptor.async_accept(
        asio::make_strand(state->context),
        asio::redirect_error(use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      LogEvent(Severity::kWarning, "accept_failed")
          .With("reason", error.message());
      asio::steady_timer timer(state->context, kGoneCheckInterval);
      co_await timer.async_wait(use_awaitable);
      continue;
    }
    const auto executor = socket.get_executor();
    beast::tcp_stream stream(std::move(socket));
    asio::co_spawn(executor, Serve(state, std::move(stream)), asio::detached);
  }
}

}  // namespace

HttpServer::HttpServer(asio::io_context& context,
                       const std::string& address,
                       HttpLimits limits,
                       HttpHandler handler)
    : state_(std::make_shared<State>(context, address)) {
  state_->limits = limits;
  state_->handler = std::move(handler);
  asio::co_spawn(state_->acceptor.get_executor(), Accept(state_),
                 asio::detached);
}

HttpServer::~HttpServer() {
  Close();
}

std::string HttpServer::address() const {
  return state_->bound;
}

std::size_t HttpServer::active() const noexcept {
  return state_->active;
}

void HttpServer::Close() {
  if (state_->closing.exchange(true)) {
    return;
  }
  asio::post(state_->acceptor.get_executor(), [state = state_] {
    beast::error_code ignored;
    state->acceptor.close(ignored);
  });
}

}  // namespace sycamoreford
