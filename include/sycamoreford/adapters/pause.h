#pragma once

#include <chrono>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sycamoreford {

/// Suspends the calling coroutine for `duration`.
inline boost::asio::awaitable<void> Pause(std::chrono::milliseconds duration) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor,
                                  duration);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

}  // namespace sycamoreford
