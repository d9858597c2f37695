#pragma once

#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace sycamoreford::support {

/// Runs a coroutine to completion on its own io_context and returns its value;
/// rethrows an exception of the coroutine.
template <class T>
T Run(boost::asio::awaitable<T> work) {
  boost::asio::io_context context;
  std::optional<T> value;
  std::exception_ptr failure;
  boost::asio::co_spawn(context, std::move(work),
                        [&](std::exception_ptr error, T result) {
                          failure = std::move(error);
                          value.emplace(std::move(result));
                        });
  context.run();
  if (failure) {
    std::rethrow_exception(failure);
  }
  return std::move(*value);
}

}  // namespace sycamoreford::support
