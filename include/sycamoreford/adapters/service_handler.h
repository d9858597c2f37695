#pragma once

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/caller_request.h"
#include "sycamoreford/adapters/entry_state.h"
#include "sycamoreford/adapters/http_server.h"

namespace sycamoreford {

/// Routes a call under `/v1/services/<service>/` to a plain service.
///
/// Calls with an idempotency key run at most once over all daemons; other
/// calls of non-idempotent methods are sent once and never again.
///
/// \returns nothing when the answer was sent, or the failure that is still to
///     be told to the caller.
[[nodiscard]] boost::asio::awaitable<Result<void>> HandleService(
    EntryState& state,
    const CallerRequest& caller,
    HttpExchange& exchange);

}  // namespace sycamoreford
