#include "sycamoreford/adapters/http_client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "impl/http_call_state.h"
#include "impl/parse_address.h"

namespace sycamoreford {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::use_awaitable;

namespace {

/// Interim responses that are read over: 100, 102 and 103 may come before the
/// final one. A faulty endpoint sends more.
constexpr int kMaxInterimHeads = 8;

/// A dead connection is detected after `kKeepAliveIdleSeconds` +
/// `kKeepAliveProbes` * `kKeepAliveIntervalSeconds`, about 3 s, the time within
/// which daemons are expected to notice a lost peer.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void SetSocketOptions(asio::ip::tcp::socket& socket) {
  beast::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  using asio::detail::socket_option::integer;
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(kKeepAliveIdleSeconds),
                    ignored);
  socket.set_option(
      integer<IPPROTO_TCP, TCP_KEEPINTVL>(kKeepAliveIntervalSeconds), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(kKeepAliveProbes),
                    ignored);
}

/// Maximum time that `FetchHttp` takes to establish a connection; a reachable
/// host accepts within milliseconds, a dead one never.
constexpr std::chrono::milliseconds kConnectTimeout{500};

Failure ConnectFailure(const std::string& address) {
  return {.code = Errc::kConnectionRefused,
          .outcome = Outcome::kNotRun,
          .where = address};
}

Failure ExchangeFailure(const beast::error_code& error,
                        const std::string& where) {
  Errc code = Errc::kConnectionLost;
  if (error == beast::error::timeout) {
    code = Errc::kStalled;
  } else if (error.category() ==
                 http::make_error_code(http::error::bad_value).category() &&
             error != http::error::end_of_stream &&
             error != http::error::partial_message) {
    code = Errc::kBadEndpointAnswer;
  }
  return {.code = code, .outcome = Outcome::kUnknown, .where = where};
}

http::request<http::string_body> ToMessage(const std::string& address,
                                           const HttpRequest& request) {
  http::request<http::string_body> message(http::string_to_verb(request.method),
                                           request.target, 11);
  if (message.method() == http::verb::unknown) {
    message.method_string(request.method);
  }
  // A field may occur several times; the order is kept.
  for (const auto& [name, value] : request.fields) {
    message.insert(name, value);
  }
  if (message.find(http::field::host) == message.end()) {
    message.set(http::field::host, address);
  }
  message.keep_alive(false);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

/// Time left until `deadline`; 0 when it has passed.
std::chrono::milliseconds TimeUntil(
    std::chrono::steady_clock::time_point deadline) {
  const auto left = deadline - std::chrono::steady_clock::now();
  return std::max(std::chrono::ceil<std::chrono::milliseconds>(left),
                  std::chrono::milliseconds(0));
}

}  // namespace

HttpCall::HttpCall(std::unique_ptr<State> state) : state_(std::move(state)) {}
HttpCall::HttpCall(HttpCall&&) noexcept = default;
HttpCall& HttpCall::operator=(HttpCall&&) noexcept = default;
HttpCall::~HttpCall() = default;

HttpCall::HttpCall(const asio::any_io_executor& executor, HeldKind kind)
    : state_(std::make_unique<State>(executor, kind)) {}

asio::awaitable<Result<HttpCall>> HttpCall::Open(
    const std::string& address,
    const HttpRequest& request,
    std::chrono::milliseconds connect_timeout,
    std::chrono::milliseconds header_timeout,
    HeldKind kind) {
  HttpCall call(co_await asio::this_coro::executor, kind);
  auto failure =
      co_await call.Start(address, request, connect_timeout, header_timeout);
  if (failure) {
    co_return std::move(*failure);
  }
  co_return call;
}

asio::awaitable<std::optional<Failure>> HttpCall::Start(
    const std::string& address,
    const HttpRequest& request,
    std::chrono::milliseconds connect_timeout,
    std::chrono::milliseconds header_timeout) {
  const auto deadline = std::chrono::steady_clock::now() + header_timeout;
  auto failure =
      co_await Send(address, request, connect_timeout, header_timeout);
  if (failure) {
    co_return failure;
  }
  co_return co_await ReadHead(TimeUntil(deadline));
}

asio::awaitable<std::optional<Failure>> HttpCall::Send(
    const std::string& address,
    const HttpRequest& request,
    std::chrono::milliseconds connect_timeout,
    std::chrono::milliseconds timeout,
    std::function<bool()> may_send) {
  beast::error_code error;
  auto token = asio::redirect_error(use_awaitable, error);
  beast::tcp_stream& stream = state_->stream;
  state_->address = address;
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  asio::ip::tcp::endpoint endpoint;
  try {
    endpoint = impl::ParseAddress(address);
  } catch (const std::system_error&) {
    co_return ConnectFailure(address);
  }
  stream.expires_after(std::min(connect_timeout, timeout));
  co_await stream.async_connect(endpoint, token);
  if (error) {
    co_return ConnectFailure(address);
  }
  if (may_send && !may_send()) {
    state_->was_withheld = true;
    stream.close();
    co_return Failure{.code = Errc::kOverloaded,
                      .outcome = Outcome::kNotRun,
                      .where = address};
  }
  SetSocketOptions(stream.socket());
  const auto message = ToMessage(address, request);
  stream.expires_at(deadline);
  state_->was_sent = true;
  state_->sent_at = std::chrono::system_clock::now();
  co_await http::async_write(stream, message, token);
  if (error) {
    co_return ExchangeFailure(error, address);
  }
  state_->StartHold();
  state_->is_head_request = request.method == "HEAD";
  state_->StartHead();
  co_return std::nullopt;
}

asio::awaitable<std::optional<Failure>> HttpCall::ReadHead(
    std::chrono::milliseconds timeout) {
  state_->stream.expires_after(timeout);
  do {
    if (state_->parser->is_header_done()) {
      state_->StartHead();
    }
    const beast::error_code error =
        co_await state_->RunRead([this](auto token) {
          return http::async_read_header(state_->stream, state_->buffer,
                                         *state_->parser, token);
        });
    if (error) {
      co_return ExchangeFailure(error, state_->address);
    }
    if (!state_->HasValidStatus()) {
      LogEvent(Severity::kInfo, "invalid_status")
          .With("from", state_->address)
          .With("status", state_->parser->get().result_int());
      state_->stream.close();
      co_return ExchangeFailure(http::error::bad_status, state_->address);
    }
    state_->LogInterimHead();
  } while (state_->HasInterimHead() &&
           ++state_->interim_heads <= kMaxInterimHeads);
  if (state_->interim_heads > kMaxInterimHeads) {
    co_return ExchangeFailure(http::error::bad_status, state_->address);
  }
  for (const auto& field : state_->parser->get()) {
    state_->fields.Add(std::string(field.name_string()),
                       std::string(field.value()));
  }
  co_return std::nullopt;
}

void HttpCall::Interrupt() noexcept {
  state_->is_interrupt_requested = true;
  if (state_->is_reading) {
    state_->stream.cancel();
  }
}

void HttpCall::ClearInterrupt() noexcept {
  state_->is_interrupt_requested = false;
}

bool HttpCall::was_interrupted() const noexcept {
  return state_->was_interrupted;
}

void HttpCall::Abort() noexcept {
  state_->stream.close();
}

bool HttpCall::was_sent() const noexcept {
  return state_->was_sent;
}

std::chrono::system_clock::time_point HttpCall::sent_at() const noexcept {
  return state_->sent_at;
}

bool HttpCall::was_withheld() const noexcept {
  return state_->was_withheld;
}

unsigned HttpCall::status() const noexcept {
  return state_->parser->get().result_int();
}

const HttpFields& HttpCall::fields() const noexcept {
  return state_->fields;
}

bool HttpCall::Retain(std::size_t bytes) {
  state_->retained_bytes = bytes;
  return state_->Count();
}

asio::awaitable<Result<std::optional<std::string>>> HttpCall::ReadSome(
    std::chrono::milliseconds timeout) {
  beast::flat_buffer& body = state_->parser->get().body();
  // Bytes that are there already would arrive before the timeout takes effect.
  if (timeout == std::chrono::milliseconds(0)) {
    state_->was_interrupted = false;
    co_return ExchangeFailure(beast::error::timeout, "body");
  }
  if (timeout == kNoTimeout) {
    state_->stream.expires_never();
  } else {
    state_->stream.expires_after(timeout);
  }
  while (body.size() == 0 && !state_->parser->is_done()) {
    const beast::error_code error =
        co_await state_->RunRead([this](auto token) {
          return http::async_read_some(state_->stream, state_->buffer,
                                       *state_->parser, token);
        });
    if (error) {
      co_return ExchangeFailure(error, "body");
    }
  }
  if (body.size() == 0) {
    co_return std::optional<std::string>();
  }
  std::string bytes(static_cast<const char*>(body.data().data()), body.size());
  body.consume(body.size());
  co_return std::optional<std::string>(std::move(bytes));
}

asio::awaitable<Result<std::string>> HttpCall::ReadAll(
    std::size_t max_bytes,
    std::chrono::milliseconds timeout) {
  std::string body;
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  const Failure too_long = {.code = Errc::kBadEndpointAnswer,
                            .outcome = Outcome::kUnknown,
                            .where = "body"};
  for (;;) {
    auto bytes = co_await ReadSome(TimeUntil(deadline));
    if (!bytes && was_interrupted()) {
      continue;
    }
    if (!bytes) {
      co_return bytes.error();
    }
    if (!bytes->has_value()) {
      co_return body;
    }
    body += **bytes;
    if (body.size() > max_bytes || !Retain(body.capacity())) {
      state_->stream.close();
      co_return too_long;
    }
  }
}

asio::awaitable<Result<HttpResponse>> FetchHttp(
    const std::string& address,
    const HttpRequest& request,
    std::chrono::milliseconds timeout,
    std::size_t max_bytes) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  auto call = co_await HttpCall::Open(address, request,
                                      std::min(timeout, kConnectTimeout),
                                      timeout, HeldKind::kControl);
  if (!call) {
    co_return call.error();
  }
  auto body = co_await call->ReadAll(max_bytes, TimeUntil(deadline));
  if (!body) {
    co_return body.error();
  }
  HttpResponse response;
  response.status = call->status();
  response.content_type = std::string(call->fields().Get("content-type"));
  response.fields = call->fields();
  response.body = std::move(*body);
  co_return response;
}

asio::awaitable<bool> CanConnect(const std::string& address,
                                 std::chrono::milliseconds timeout) {
  asio::ip::tcp::endpoint endpoint;
  try {
    endpoint = impl::ParseAddress(address);
  } catch (const std::system_error&) {
    co_return false;
  }
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  beast::error_code error;
  stream.expires_after(timeout);
  co_await stream.async_connect(endpoint,
                                asio::redirect_error(use_awaitable, error));
  co_return !error;
}

}  // namespace sycamoreford
