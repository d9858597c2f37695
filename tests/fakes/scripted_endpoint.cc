#include "fakes/scripted_endpoint.h"

#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "impl/parse_address.h"

namespace sycamoreford::fakes {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::use_awaitable;
using asio::ip::tcp;

EndpointStep Send(std::string bytes) {
  return {EndpointStep::Kind::kSend, std::move(bytes)};
}
EndpointStep Wait(std::chrono::milliseconds duration) {
  return {EndpointStep::Kind::kWait, {}, duration};
}
EndpointStep Close() {
  return {EndpointStep::Kind::kClose};
}
EndpointStep Reset() {
  return {EndpointStep::Kind::kReset};
}
EndpointStep WaitForClose() {
  return {EndpointStep::Kind::kWaitForClose};
}
EndpointStep FallSilent(std::chrono::milliseconds duration) {
  return {EndpointStep::Kind::kFallSilent, {}, duration};
}
EndpointStep StopListening() {
  return {EndpointStep::Kind::kStopListening};
}

EndpointStep SendForever(std::string bytes, std::chrono::milliseconds pause) {
  return {EndpointStep::Kind::kSendForever, std::move(bytes), pause};
}

ScriptedEndpoint::ScriptedEndpoint(asio::io_context& context)
    : context_(context),
      acceptor_(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      address_(impl::ToAddress(acceptor_.local_endpoint())) {
  asio::co_spawn(context_, Accept(), asio::detached);
}

std::string ScriptedEndpoint::address() const {
  return address_;
}

void ScriptedEndpoint::StopListening() {
  beast::error_code ignored;
  acceptor_.close(ignored);
}

std::vector<HttpRequest> ScriptedEndpoint::requests() const {
  const std::lock_guard lock(mutex_);
  return requests_;
}

int ScriptedEndpoint::closed_by_peer_count() const {
  const std::lock_guard lock(mutex_);
  return closed_by_peer_count_;
}

asio::awaitable<void> ScriptedEndpoint::Accept() {
  for (;;) {
    tcp::socket socket = co_await acceptor_.async_accept(use_awaitable);
    asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
  }
}

EndpointScript ScriptedEndpoint::NextScript(const HttpRequest& request) {
  if (request.target == "/report") {
    if (report_responder_) {
      return report_responder_();
    }
    if (!report_script.empty()) {
      return report_script;
    }
    if (report.empty()) {
      return {Reset()};
    }
    return {Send("HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(report.size()) + "\r\n\r\n" + report),
            Close()};
  }
  {
    const std::lock_guard lock(mutex_);
    requests_.push_back(request);
  }
  if (responder_) {
    return responder_(request);
  }
  EndpointScript script =
      scripts_.empty() ? EndpointScript{Reset()} : scripts_.front();
  if (scripts_.size() > 1) {
    scripts_.pop_front();
  }
  return script;
}

asio::awaitable<void> ScriptedEndpoint::Serve(tcp::socket socket) {
  beast::flat_buffer buffer;
  http::request<http::string_body> message;
  beast::error_code error;
  co_await http::async_read(socket, buffer, message,
                            asio::redirect_error(use_awaitable, error));
  if (error) {
    co_return;
  }
  co_await WaitWhileSilent();
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.body = message.body();
  for (const auto& field : message) {
    request.fields.Add(std::string(field.name_string()),
                       std::string(field.value()));
  }
  const EndpointScript script = NextScript(request);
  co_await RunScript(socket, script);
}

asio::awaitable<void> ScriptedEndpoint::WaitWhileSilent() {
  while (std::chrono::steady_clock::now() < silent_until_) {
    asio::steady_timer timer(context_, silent_until_);
    co_await timer.async_wait(use_awaitable);
  }
}

asio::awaitable<void> ScriptedEndpoint::RunScript(
    tcp::socket& socket,
    const EndpointScript& script) {
  beast::error_code error;
  auto token = asio::redirect_error(use_awaitable, error);
  for (const EndpointStep& step : script) {
    co_await WaitWhileSilent();
    switch (step.kind) {
      case EndpointStep::Kind::kSend:
        co_await asio::async_write(socket, asio::buffer(step.bytes), token);
        break;
      case EndpointStep::Kind::kWait: {
        asio::steady_timer timer(context_, step.duration);
        co_await timer.async_wait(token);
        break;
      }
      case EndpointStep::Kind::kClose:
        socket.shutdown(tcp::socket::shutdown_send, error);
        break;
      case EndpointStep::Kind::kReset:
        socket.set_option(asio::socket_base::linger(true, 0), error);
        socket.close(error);
        co_return;
      case EndpointStep::Kind::kWaitForClose: {
        std::array<char, 64> bytes{};
        while (!error) {
          co_await socket.async_read_some(asio::buffer(bytes), token);
        }
        const std::lock_guard lock(mutex_);
        ++closed_by_peer_count_;
        co_return;
      }
      case EndpointStep::Kind::kFallSilent:
        silent_until_ = std::chrono::steady_clock::now() + step.duration;
        break;
      case EndpointStep::Kind::kSendForever: {
        while (!error) {
          co_await asio::async_write(socket, asio::buffer(step.bytes), token);
          if (!error && step.duration > std::chrono::milliseconds(0)) {
            asio::steady_timer timer(context_, step.duration);
            co_await timer.async_wait(token);
          }
        }
        const std::lock_guard lock(mutex_);
        ++closed_by_peer_count_;
        co_return;
      }
      case EndpointStep::Kind::kStopListening:
        StopListening();
        break;
    }
  }
}

}  // namespace sycamoreford::fakes
