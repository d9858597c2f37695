#pragma once

#include <chrono>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sycamoreford {

/// Wakes a coroutine that waits for other coroutines of the same thread.
///
/// Thread safety: none.
class WakeSignal {
 public:
  explicit WakeSignal(const boost::asio::any_io_executor& executor)
      : timer_(executor) {}

  /// Ends the running or otherwise the next wait.
  void Notify() {
    is_notified_ = true;
    timer_.cancel();
  }

  /// Waits until `Notify` is called, or for `timeout`.
  boost::asio::awaitable<void> Wait(std::chrono::milliseconds timeout) {
    if (!is_notified_) {
      boost::system::error_code cancelled;
      timer_.expires_after(timeout);
      co_await timer_.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, cancelled));
    }
    is_notified_ = false;
  }

 private:
  boost::asio::steady_timer timer_;
  bool is_notified_ = false;
};

}  // namespace sycamoreford
