#pragma once

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/caller_request.h"
#include "sycamoreford/adapters/entry_state.h"
#include "sycamoreford/adapters/http_server.h"

namespace sycamoreford {

/// Answers callers: recognizes the request and hands it to its handler.
///
/// Thread safety: `Handle` may run for many exchanges at once.
class CallerHandler {
 public:
  /// Precondition: `state` outlives this object.
  explicit CallerHandler(EntryState& state) : state_(state) {}

  [[nodiscard]] boost::asio::awaitable<void> Handle(HttpExchange& exchange);

 private:
  boost::asio::awaitable<void> HandleRequest(HttpExchange& exchange);
  boost::asio::awaitable<Result<void>> Serve(HttpExchange& exchange,
                                             CallerRequest& caller);
  /// Counts and logs a request that has ended.
  void RecordCompletion(const HttpExchange& exchange,
                        const CallerRequest& caller,
                        const Result<void>& served);
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] HttpResponse ReadinessResponse() const;
  [[nodiscard]] HttpResponse MetricsResponse() const;

  EntryState& state_;
};

}  // namespace sycamoreford
