#include "sycamoreford/adapters/http_client.h"

#include <algorithm>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "impl/parse_address.h"

namespace sycamoreford {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::use_awaitable;

struct HttpCall::State {
  explicit State(const asio::any_io_executor& executor) : stream(executor) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  HttpFields fields;
};

namespace {

constexpr std::uint32_t kHeaderLimit = 16 * 1024;

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
  for (const auto& [name, value] : request.fields) {
    message.set(name, value);
  }
  message.set(http::field::host, address);
  message.keep_alive(false);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

/// Time left until `bound`; 0 when it has passed.
std::chrono::milliseconds TimeUntil(
    std::chrono::steady_clock::time_point bound) {
  const auto left = bound - std::chrono::steady_clock::now();
  return std::max(std::chrono::ceil<std::chrono::milliseconds>(left),
                  std::chrono::milliseconds(0));
}

}  // namespace

HttpCall::HttpCall(std::unique_ptr<State> state) : state_(std::move(state)) {}
HttpCall::HttpCall(HttpCall&&) noexcept = default;
HttpCall& HttpCall::operator=(HttpCall&&) noexcept = default;
HttpCall::~HttpCall() = default;

asio::awaitable<Result<HttpCall>> HttpCall::Open(
    const std::string& address,
    const HttpRequest& request,
    std::chrono::milliseconds connect_timeout,
    std::chrono::milliseconds header_timeout) {
  auto state = std::make_unique<State>(co_await asio::this_coro::executor);
  beast::error_code error;
  auto token = asio::redirect_error(use_awaitable, error);
  beast::tcp_stream& stream = state->stream;
  const auto bound = std::chrono::steady_clock::now() + header_timeout;
  stream.expires_after(std::min(connect_timeout, header_timeout));
  co_await stream.async_connect(impl::ParseAddress(address), token);
  if (error) {
    co_return ConnectFailure(address);
  }
  stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  const auto message = ToMessage(address, request);
  stream.expires_at(bound);
  co_await http::async_write(stream, message, token);
  if (error) {
    co_return ExchangeFailure(error, address);
  }
  state->parser.header_limit(kHeaderLimit);
  state->parser.body_limit(boost::none);
  co_await http::async_read_header(stream, state->buffer, state->parser, token);
  if (error) {
    co_return ExchangeFailure(error, address);
  }
  for (const auto& field : state->parser.get()) {
    state->fields.Add(std::string(field.name_string()),
                      std::string(field.value()));
  }
  co_return HttpCall(std::move(state));
}

unsigned HttpCall::status() const noexcept {
  return state_->parser.get().result_int();
}

const HttpFields& HttpCall::fields() const noexcept {
  return state_->fields;
}

asio::awaitable<Result<std::optional<std::string>>> HttpCall::ReadSome(
    std::chrono::milliseconds timeout) {
  std::string& body = state_->parser.get().body();
  beast::error_code error;
  state_->stream.expires_after(timeout);
  while (body.empty() && !state_->parser.is_done()) {
    co_await http::async_read_some(state_->stream, state_->buffer,
                                   state_->parser,
                                   asio::redirect_error(use_awaitable, error));
    if (error) {
      co_return ExchangeFailure(error, "body");
    }
  }
  if (body.empty()) {
    co_return std::optional<std::string>();
  }
  std::string bytes;
  bytes.swap(body);
  co_return std::optional<std::string>(std::move(bytes));
}

asio::awaitable<Result<std::string>> HttpCall::ReadAll(
    std::size_t limit,
    std::chrono::milliseconds timeout) {
  std::string whole;
  const auto bound = std::chrono::steady_clock::now() + timeout;
  for (;;) {
    auto bytes = co_await ReadSome(TimeUntil(bound));
    if (!bytes) {
      co_return bytes.error();
    }
    if (!bytes->has_value()) {
      co_return whole;
    }
    whole += **bytes;
    if (whole.size() > limit) {
      co_return Failure{.code = Errc::kBadEndpointAnswer,
                        .outcome = Outcome::kUnknown,
                        .where = "body"};
    }
  }
}

asio::awaitable<Result<HttpResponse>> FetchHttp(
    const std::string& address,
    const HttpRequest& request,
    std::chrono::milliseconds timeout,
    std::size_t limit) {
  const auto bound = std::chrono::steady_clock::now() + timeout;
  auto call = co_await HttpCall::Open(address, request, timeout, timeout);
  if (!call) {
    co_return call.error();
  }
  auto body = co_await call->ReadAll(limit, TimeUntil(bound));
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

}  // namespace sycamoreford
