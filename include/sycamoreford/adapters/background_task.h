#pragma once

#include <chrono>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>

namespace sycamoreford {

/// A coroutine that runs while its starter goes on, and its result.
///
/// The starter has to end the coroutine, for example by closing its connection:
/// destroying this object does not. The coroutine may outlive the starter and
/// must own, or share, everything that it uses.
///
/// Thread safety: none; starter and coroutine run on the same thread.
template <class Value>
class BackgroundTask {
 public:
  /// Starts the coroutine.
  ///
  /// \param on_done called once, when the result is available. An exception of
  ///     the coroutine ends it with the result `value_on_exception`.
  BackgroundTask(const boost::asio::any_io_executor& executor,
                 boost::asio::awaitable<Value> coroutine,
                 Value value_on_exception,
                 std::function<void()> on_done)
      : state_(std::make_shared<State>()) {
    state_->on_done = std::move(on_done);
    boost::asio::co_spawn(executor, std::move(coroutine),
                          [state = state_, value_on_exception](
                              const std::exception_ptr& error, Value value) {
                            state->result = error ? value_on_exception : value;
                            const auto notify =
                                std::exchange(state->on_done, nullptr);
                            if (notify) {
                              notify();
                            }
                          });
  }
  BackgroundTask(const BackgroundTask&) = delete;
  BackgroundTask& operator=(const BackgroundTask&) = delete;
  /// The starter is no longer notified.
  ~BackgroundTask() { state_->on_done = nullptr; }

  /// The result; empty while the coroutine runs.
  [[nodiscard]] const std::optional<Value>& result() const noexcept {
    return state_->result;
  }

 private:
  struct State {
    std::optional<Value> result;
    std::function<void()> on_done;
  };

  std::shared_ptr<State> state_;
};

}  // namespace sycamoreford
