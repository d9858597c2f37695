#pragma once

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/caller_request.h"
#include "sycamoreford/adapters/entry_state.h"
#include "sycamoreford/adapters/http_server.h"

namespace sycamoreford {

/// Authenticates the requests of callers and routes them to their handlers;
/// also serves the health, readiness and metrics endpoints.
///
/// Thread safety: `Handle` may run for several exchanges concurrently.
class CallerHandler {
 public:
  /// Precondition: `state` outlives this object.
  explicit CallerHandler(EntryState& state) : state_(state) {}

  [[nodiscard]] boost::asio::awaitable<void> Handle(HttpExchange& exchange);

 private:
  boost::asio::awaitable<void> HandleRequest(HttpExchange& exchange);
  boost::asio::awaitable<Result<void>> Serve(HttpExchange& exchange,
                                             CallerRequest& caller);
  /// Records metrics for a finished request and logs it.
  void RecordCompletion(const HttpExchange& exchange,
                        const CallerRequest& caller,
                        const Result<void>& result);
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] HttpResponse ReadinessResponse() const;
  [[nodiscard]] HttpResponse MetricsResponse() const;

  EntryState& state_;
};

}  // namespace sycamoreford
