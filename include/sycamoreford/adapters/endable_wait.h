#pragma once

#include <optional>
#include <utility>
#include <variant>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sycamoreford {

/// Runs an operation that another coroutine may end before its result is there.
///
/// \tparam T the result of the operation; default-constructible.
///
/// Thread safety: none.
template <class T>
class EndableWait {
 public:
  EndableWait() = default;
  EndableWait(const EndableWait&) = delete;
  EndableWait& operator=(const EndableWait&) = delete;

  /// Runs the operation; if it is ended, it is cancelled.
  ///
  /// \returns the result, or nothing if `End` was called before it was there.
  /// Precondition: no other call of `Run` is running.
  boost::asio::awaitable<std::optional<T>> Run(
      boost::asio::awaitable<T> operation) {
    using namespace boost::asio::experimental::awaitable_operators;  // NOLINT
    end_.emplace(co_await boost::asio::this_coro::executor,
                 boost::asio::steady_timer::time_point::max());
    auto first = co_await (std::move(operation) || UntilEnded());
    end_.reset();
    if (first.index() != 0) {
      co_return std::nullopt;
    }
    co_return std::optional<T>(std::get<0>(std::move(first)));
  }

  /// Ends the running operation, if there is one.
  void End() {
    if (end_) {
      end_->cancel();
    }
  }

 private:
  boost::asio::awaitable<void> UntilEnded() {
    boost::system::error_code error;
    co_await end_->async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
  }

  /// Never expires; cancelled to end the operation.
  std::optional<boost::asio::steady_timer> end_;
};

}  // namespace sycamoreford
