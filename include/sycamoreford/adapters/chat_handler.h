#pragma once

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/caller_request.h"
#include "sycamoreford/adapters/entry_state.h"
#include "sycamoreford/adapters/http_server.h"

namespace sycamoreford {

/// Answers `POST /v1/chat/completions`, whole or as a stream.
///
/// \returns nothing when the answer was sent, or the failure that is still to
///     be told to the caller.
[[nodiscard]] boost::asio::awaitable<Result<void>> HandleChat(
    EntryState& state,
    const CallerRequest& caller,
    HttpExchange& exchange);

}  // namespace sycamoreford
