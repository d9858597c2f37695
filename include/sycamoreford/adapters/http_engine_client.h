#pragma once

#include <chrono>
#include <deque>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/http_client.h"
#include "sycamoreford/stream/engine_client.h"

namespace sycamoreford {

/// Client of model engines that stream newline-delimited JSON over HTTP; see
/// docs/INTERFACES.md. Models `EngineClient`. Thread safe; a stream is used by
/// one coroutine at a time.
class HttpEngineClient {
 public:
  /// Event stream of one attempt, on its own connection.
  class Stream {
   public:
    Stream(HttpCall call, std::string address);

    [[nodiscard]] boost::asio::awaitable<Result<EngineEvent>> Next(
        std::chrono::milliseconds timeout);

   private:
    HttpCall call_;
    std::string address_;
    std::string buffer_;
  };

  /// \param connect_timeout maximum time to establish a connection.
  explicit HttpEngineClient(std::chrono::milliseconds connect_timeout);

  [[nodiscard]] boost::asio::awaitable<Result<Stream>> Open(
      const GenerateRequest& request,
      std::chrono::milliseconds timeout);

 private:
  std::chrono::milliseconds connect_timeout_;
};

}  // namespace sycamoreford
