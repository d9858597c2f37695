#pragma once

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/caller_request.h"
#include "sycamoreford/adapters/entry_state.h"
#include "sycamoreford/adapters/http_server.h"

namespace sycamoreford {

/// Handles `POST /v1/chat/completions`; sends one JSON response or a stream of
/// server-sent events.
///
/// \returns the failure if the request failed. The error is already sent if a
///     response was started; otherwise the caller of this function sends it.
[[nodiscard]] boost::asio::awaitable<Result<void>> HandleChat(
    EntryState& state,
    const CallerRequest& caller,
    HttpExchange& exchange);

}  // namespace sycamoreford
