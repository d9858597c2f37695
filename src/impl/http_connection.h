#pragma once

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>

#include "impl/beast_exchange.h"
#include "sycamoreford/core/memory_hold.h"

namespace sycamoreford::impl {

/// One accepted connection. Used on the strand of its socket only.
struct Connection : std::enable_shared_from_this<Connection> {
  explicit Connection(boost::asio::ip::tcp::socket socket)
      : stream(std::move(socket)),
        timer(stream.get_executor()),
        end_timer(stream.get_executor()) {}

  /// Cancels reads after `time`; a further call restarts the timeout. The
  /// timeout of `tcp_stream` is not used for reads because it closes the
  /// socket, so that no error response could be sent.
  void SetReadTimeout(std::chrono::milliseconds time) {
    has_read_timeout = true;
    timer.expires_after(time);
    timer.async_wait([weak = weak_from_this()](boost::beast::error_code error) {
      const auto self = weak.lock();
      if (!error && self && self->has_read_timeout) {
        self->timed_out = true;
        boost::beast::error_code ignored;
        self->stream.socket().cancel(ignored);
      }
    });
  }

  /// Starts the wait for the next request.
  void StartIdle(std::chrono::milliseconds timeout) {
    is_idle = true;
    idle_since = std::chrono::steady_clock::now();
    idle_timeout = timeout;
    SetReadTimeout(timeout);
  }

  /// Extends the wait for the next request, if it has not ended, to `timeout`
  /// in total. It never gets shorter: the client may rely on the longer one.
  void ExtendIdle(std::chrono::milliseconds timeout) {
    if (!is_idle || timeout <= idle_timeout) {
      return;
    }
    idle_timeout = timeout;
    const auto time = idle_since + timeout - std::chrono::steady_clock::now();
    SetReadTimeout(std::max(std::chrono::ceil<std::chrono::milliseconds>(time),
                            std::chrono::milliseconds(0)));
  }

  /// Cancels the read timeout.
  void ClearReadTimeout() {
    has_read_timeout = false;
    timer.cancel();
  }

  /// Waits until `EndRequest` is called.
  boost::asio::awaitable<void> WaitForEnd() {
    end_timer.expires_at(std::chrono::steady_clock::time_point::max());
    boost::beast::error_code ignored;
    co_await end_timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }

  /// Starts to count what is read of a request. The read ends if there is no
  /// room for it.
  void StartHold() {
    is_out_of_memory = false;
    reading = std::make_shared<Connection*>(this);
    const auto cancel = [executor = stream.get_executor(),
                         weak = std::weak_ptr<Connection*>(reading)] {
      boost::asio::post(executor, [weak] {
        if (const auto connection = weak.lock()) {
          Connection* self = *connection;
          self->is_out_of_memory = true;
          boost::beast::error_code ignored;
          self->stream.socket().cancel(ignored);
        }
      });
    };
    boost::beast::error_code ignored;
    const auto client = stream.socket().remote_endpoint(ignored);
    hold.emplace(
        MemoryBudget::OfProcess(), HeldKind::kRequest,
        client.address().to_string() + ":" + std::to_string(client.port()),
        cancel);
  }

  /// Counts what was read of a request so far.
  ///
  /// \returns whether there is room for it.
  [[nodiscard]] bool Count(std::size_t body_bytes) {
    is_out_of_memory = is_out_of_memory ||
                       !hold->Resize(buffer.capacity() + kCopies * body_bytes);
    return !is_out_of_memory;
  }

  /// Counts a request that was read whole until it has a response. It is not
  /// given up for others any more.
  void KeepHold(std::size_t body_bytes) {
    reading.reset();
    hold.emplace(MemoryBudget::OfProcess(), HeldKind::kRequest, "");
    (void)hold->Resize(buffer.capacity() + kCopies * body_bytes);
  }

  /// Ends the handler of the running request if it has not begun to respond.
  void EndRequest() {
    if (exchange != nullptr && !exchange->response_started()) {
      end_timer.cancel();
    }
  }

  /// A body is kept as it was received and as it is sent.
  static constexpr std::size_t kCopies = 2;
  /// Heads, chunk extensions and trailers of requests must fit.
  static constexpr std::size_t kMaxBufferBytes = 256UL * 1024;

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer{kMaxBufferBytes};
  boost::asio::steady_timer timer;
  boost::asio::steady_timer end_timer;
  /// The request that is being handled; null if there is none.
  BeastExchange* exchange = nullptr;
  /// Whether the connection waits for the first byte of a request.
  bool is_idle = false;
  std::chrono::steady_clock::time_point idle_since;
  std::chrono::milliseconds idle_timeout{0};
  bool has_read_timeout = false;
  bool timed_out = false;
  /// Counts the request that is read or handled; empty if there is none.
  std::optional<MemoryHold> hold;
  bool is_out_of_memory = false;
  /// Set while `hold` may be lost to others.
  std::shared_ptr<Connection*> reading;
};

}  // namespace sycamoreford::impl
