#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "impl/parse_address.h"
#include "sycamoreford/adapters/pause.h"

namespace sycamoreford::fakes {

/// An endpoint that streams events to requests for `/stream/…` and responds to
/// others as a whole, and crashes shortly after it has begun to run a certain
/// request. A crash resets all of its connections; it accepts new ones after a
/// while.
///
/// Thread safety: none; used on the thread that runs the context.
class CrashingEndpoint {
 public:
  using Time = std::chrono::steady_clock::time_point;

  using Message = boost::beast::http::request<boost::beast::http::string_body>;

  /// When one of the requests that crash it arrived.
  struct Arrival {
    Time at;
    std::string request_id;
  };

  /// Events of each stream, and the time between two of them.
  static constexpr int kEvents = 7;
  static constexpr std::chrono::milliseconds kEventInterval{100};
  /// Time in which other requests have a response.
  static constexpr std::chrono::milliseconds kResponseTime{20};
  /// Time from the begin of a run to the crash.
  static constexpr std::chrono::milliseconds kTimeToCrash{70};

  /// Listens on a free port of the loopback interface.
  ///
  /// \param crashes whether a request crashes it.
  /// \param on_restart called when it accepts connections again.
  CrashingEndpoint(boost::asio::io_context& context,
                   std::function<bool(const Message&)> crashes,
                   std::function<void()> on_restart)
      : context_(context),
        crashes_under_(std::move(crashes)),
        on_restart_(std::move(on_restart)) {
    Listen({boost::asio::ip::address_v4::loopback(), 0});
    address_ = acceptor_->local_endpoint();
  }

  /// Crashes without a reason of its requests. Precondition: it is running.
  void Kill() { Crash(); }

  /// Time from a crash until it accepts connections again.
  std::chrono::milliseconds restart_time{600};

  [[nodiscard]] std::string address() const {
    return impl::ToAddress(address_);
  }
  /// Requests that crash it, in the order of arrival.
  [[nodiscard]] const std::vector<Arrival>& arrivals() const {
    return arrivals_;
  }
  [[nodiscard]] const std::vector<Time>& crashes() const { return crashes_; }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  void Listen(const boost::asio::ip::tcp::endpoint& address) {
    acceptor_.emplace(context_, address);
    boost::asio::co_spawn(context_, Accept(), boost::asio::detached);
  }

  boost::asio::awaitable<void> Accept() {
    boost::system::error_code error;
    while (!error) {
      auto socket = std::make_shared<Socket>(context_);
      co_await acceptor_->async_accept(
          *socket,
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (!error) {
        boost::asio::co_spawn(context_, Serve(std::move(socket)),
                              boost::asio::detached);
      }
    }
  }

  boost::asio::awaitable<void> Serve(std::shared_ptr<Socket> socket) {
    boost::beast::flat_buffer buffer;
    Message request;
    boost::system::error_code error;
    co_await boost::beast::http::async_read(
        *socket, buffer, request,
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    sockets_.insert(socket);
    const bool streams = std::string(request.target()).starts_with("/stream");
    if (crashes_under_(request)) {
      co_await BeginAndCrash(*socket, request, streams);
    } else if (streams) {
      co_await Stream(*socket, request);
    } else {
      co_await Pause(kResponseTime);
      co_await Send(*socket, Status(request) + "Content-Length: 4\r\n\r\nbody");
    }
    sockets_.erase(socket);
  }

  static std::string Status(const Message& request) {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
           std::string(request["X-Attempt-Id"]) + "\r\nX-Response-Seal: s\r\n";
  }
  static std::string Head(const Message& request) {
    return Status(request) +
           "Content-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
  }

  static boost::asio::awaitable<bool> Send(Socket& socket,
                                           const std::string& bytes) {
    boost::system::error_code error;
    co_await boost::asio::async_write(
        socket, boost::asio::buffer(bytes),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    co_return !error;
  }

  boost::asio::awaitable<void> BeginAndCrash(Socket& socket,
                                             const Message& request,
                                             bool streams) {
    arrivals_.push_back({std::chrono::steady_clock::now(),
                         std::string(request["X-Attempt-Id"])});
    if (streams) {
      co_await Send(socket, Head(request));
    }
    co_await Pause(kTimeToCrash);
    if (socket.is_open()) {
      Crash();
    }
  }

  boost::asio::awaitable<void> Stream(Socket& socket, const Message& request) {
    const std::string last(request["Last-Event-Id"]);
    bool is_open = co_await Send(socket, Head(request));
    for (int id = last.empty() ? 0 : std::stoi(last) + 1;
         is_open && id < kEvents; ++id) {
      co_await Pause(kEventInterval);
      const std::string event = "id: " + std::to_string(id) + "\ndata: t\n\n";
      is_open = co_await Send(socket, "f\r\n" + event + "\r\n");
    }
    if (is_open) {
      co_await Send(socket, "0\r\n\r\n");
    }
  }

  void Crash() {
    crashes_.push_back(std::chrono::steady_clock::now());
    acceptor_->close();
    for (const auto& socket : sockets_) {
      boost::system::error_code ignored;
      socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    boost::asio::co_spawn(context_, Restart(), boost::asio::detached);
  }

  boost::asio::awaitable<void> Restart() {
    co_await Pause(restart_time);
    Listen(address_);
    on_restart_();
  }

  boost::asio::io_context& context_;
  std::function<bool(const Message&)> crashes_under_;
  std::function<void()> on_restart_;
  std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
  boost::asio::ip::tcp::endpoint address_;
  std::set<std::shared_ptr<Socket>> sockets_;
  std::vector<Arrival> arrivals_;
  std::vector<Time> crashes_;
};

}  // namespace sycamoreford::fakes
