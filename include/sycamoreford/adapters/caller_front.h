#pragma once

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/entry_state.h"
#include "sycamoreford/adapters/http_server.h"

namespace sycamoreford {

/// Answers callers: recognizes the request and hands it to its handler.
///
/// Thread safety: `Handle` may run for many exchanges at once.
class CallerFront {
 public:
  /// Precondition: `state` outlives this object.
  explicit CallerFront(EntryState& state) : state_(state) {}

  [[nodiscard]] boost::asio::awaitable<void> Handle(HttpExchange& exchange);

 private:
  boost::asio::awaitable<Result<void>> Serve(HttpExchange& exchange,
                                             const std::string& id);
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] HttpResponse Readiness() const;
  [[nodiscard]] HttpResponse Metrics() const;

  EntryState& state_;
};

}  // namespace sycamoreford
