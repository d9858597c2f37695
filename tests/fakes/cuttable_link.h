#pragma once

#include <array>
#include <list>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "impl/parse_address.h"
#include "sycamoreford/adapters/pause.h"

namespace sycamoreford::fakes {

/// What a link does with connections.
enum class LinkState {
  kUp,
  /// Open connections carry nothing, and new ones are not established.
  kHanging,
  /// Open connections are reset, and new ones are refused.
  kReset,
  /// Open connections go on, and new ones are refused.
  kRefusing,
};

/// Forwards TCP connections to one address until the link is cut.
///
/// Thread safety: none; used on the thread that runs the context.
class CuttableLink {
 public:
  /// Listens on a free port of the loopback interface.
  CuttableLink(boost::asio::io_context& context, const std::string& target)
      : context_(context), target_(impl::ParseAddress(target)) {
    Bind({boost::asio::ip::address_v4::loopback(), 0});
    address_ = acceptor_->local_endpoint();
    Listen();
  }
  CuttableLink(const CuttableLink&) = delete;
  CuttableLink& operator=(const CuttableLink&) = delete;

  [[nodiscard]] std::string address() const {
    return impl::ToAddress(address_);
  }

  void Set(LinkState state) {
    if (state == state_) {
      return;
    }
    state_ = state;
    fillers_.clear();
    Bind(address_);
    switch (state) {
      case LinkState::kUp:
        Listen();
        break;
      case LinkState::kHanging:
        FillQueue();
        break;
      case LinkState::kReset:
        for (const auto& connection : connections_) {
          connection->Reset();
        }
        break;
      case LinkState::kRefusing:
        break;
    }
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;
  using Endpoint = boost::asio::ip::tcp::endpoint;
  using Acceptor = boost::asio::ip::tcp::acceptor;

  struct Connection {
    explicit Connection(boost::asio::io_context& context)
        : near(context), far(context) {}
    void Reset() {
      for (Socket* socket : {&near, &far}) {
        boost::system::error_code ignored;
        socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
      }
    }
    Socket near;
    Socket far;
  };

  /// Ends the current listener and keeps its port, so that connections are
  /// refused until `Listen`.
  void Bind(const Endpoint& address) {
    using ReusePort =
        boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    auto next = std::make_shared<Acceptor>(context_, address.protocol());
    next->set_option(boost::asio::socket_base::reuse_address(true));
    next->set_option(ReusePort(true));
    // Before the current one is closed, or other processes may get the port.
    next->bind(address);
    if (acceptor_) {
      acceptor_->close();
    }
    acceptor_ = std::move(next);
  }

  void Listen() {
    acceptor_->listen();
    boost::asio::co_spawn(context_, Accept(acceptor_), boost::asio::detached);
  }

  /// Fills the queue of connections that are not accepted, so that the system
  /// drops further ones.
  void FillQueue() {
    acceptor_->listen(0);
    for (int i = 0; i < 4; ++i) {
      fillers_.push_back(std::make_unique<Socket>(context_));
      fillers_.back()->async_connect(address_, [](const auto&) {});
    }
  }

  boost::asio::awaitable<void> Accept(std::shared_ptr<Acceptor> acceptor) {
    boost::system::error_code error;
    auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
    while (!error) {
      auto connection = std::make_shared<Connection>(context_);
      co_await acceptor->async_accept(connection->near, token);
      if (!error) {
        boost::asio::co_spawn(context_, Forward(std::move(connection)),
                              boost::asio::detached);
      }
    }
  }

  boost::asio::awaitable<void> Forward(std::shared_ptr<Connection> connection) {
    boost::system::error_code error;
    co_await connection->far.async_connect(
        target_,
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error) {
      co_return;
    }
    connections_.push_back(connection);
    boost::asio::co_spawn(context_, Pump(connection, false),
                          boost::asio::detached);
    co_await Pump(connection, true);
    connections_.remove(connection);
  }

  /// Forwards bytes in one direction until that direction ends.
  boost::asio::awaitable<void> Pump(std::shared_ptr<Connection> connection,
                                    bool is_response) {
    Socket& from = is_response ? connection->far : connection->near;
    Socket& to = is_response ? connection->near : connection->far;
    std::array<char, 4096> bytes{};
    boost::system::error_code error;
    auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
    for (;;) {
      const std::size_t size =
          co_await from.async_read_some(boost::asio::buffer(bytes), token);
      while (state_ == LinkState::kHanging) {
        co_await Pause(std::chrono::milliseconds(10));
      }
      if (error) {
        boost::system::error_code ignored;
        to.shutdown(Socket::shutdown_send, ignored);
        if (!is_response) {
          connection->far.close(ignored);
        }
        co_return;
      }
      co_await boost::asio::async_write(
          to, boost::asio::buffer(bytes.data(), size), token);
    }
  }

  boost::asio::io_context& context_;
  Endpoint target_;
  Endpoint address_;
  LinkState state_ = LinkState::kUp;
  std::shared_ptr<Acceptor> acceptor_;
  std::list<std::shared_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Socket>> fillers_;
};

}  // namespace sycamoreford::fakes
