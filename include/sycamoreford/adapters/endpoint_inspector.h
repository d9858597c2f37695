#pragma once

#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/fleet/endpoint_control.h"

namespace sycamoreford {

/// Looks at chains on which nothing moves and finds the stage that is lost.
///
/// Thread safety: none; runs on the thread of its state.
template <EndpointControl Control, Clock TheClock>
class EndpointInspector {
 public:
  /// Precondition: all arguments outlive this object.
  EndpointInspector(RelayState& state, Control& control, const TheClock& clock)
      : state_(state), control_(control), clock_(clock) {}

  /// Watches the chains; does not return.
  boost::asio::awaitable<void> Watch() {
    const auto executor = co_await boost::asio::this_coro::executor;
    for (;;) {
      co_await Pause(kInterval);
      for (std::string& first : state_.silence().Silent(clock_.Now())) {
        boost::asio::co_spawn(executor, Inspect(std::move(first)),
                              boost::asio::detached);
      }
    }
  }

 private:
  /// Time from one look at all chains to the next.
  static constexpr std::chrono::milliseconds kInterval{50};

  boost::asio::awaitable<void> Inspect(std::string first) {
    const KnownEndpoint* known = state_.directory().Find(first);
    if (known == nullptr) {
      state_.OnEndpointLost(first, "not_listed", clock_.Now());
      co_return;
    }
    const std::string address = known->record.address;
    const auto report = co_await control_.Report(address);
    if (!report) {
      state_.OnEndpointLost(first, "no_report", clock_.Now());
      co_return;
    }
    for (const StalledRequest& stalled : report->stalled) {
      const KnownEndpoint* blamed =
          state_.directory().FindByAddress(stalled.address);
      if (blamed != nullptr && blamed->IsUsable(clock_.Now())) {
        const std::string id = blamed->record.id;
        state_.OnEndpointLost(id, "stalls_chain", clock_.Now());
      }
    }
  }

  RelayState& state_;
  Control& control_;
  const TheClock& clock_;
};

}  // namespace sycamoreford
