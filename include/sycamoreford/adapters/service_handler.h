#pragma once

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/caller_request.h"
#include "sycamoreford/adapters/entry_state.h"
#include "sycamoreford/adapters/http_server.h"

namespace sycamoreford {

/// Routes a call under `/v1/services/<service>/` to a plain service.
///
/// Calls with an idempotency key run at most once across all daemons. Other
/// calls of non-idempotent methods are not retried once they may have run.
///
/// \returns the failure if the call failed; the error response is not sent yet.
[[nodiscard]] boost::asio::awaitable<Result<void>> HandleService(
    EntryState& state,
    const CallerRequest& caller,
    HttpExchange& exchange);

}  // namespace sycamoreford
