#pragma once

#include <algorithm>
#include <chrono>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "support/peer_relay.h"

namespace sycamoreford::support {

/// Closes all connections of the relays, also those that are accepted
/// meanwhile, and runs the context until their requests have ended. Requests
/// must not outlive the relay whose state they use.
inline void CutOff(boost::asio::io_context& context,
                   const std::vector<std::unique_ptr<PeerRelay>>& relays) {
  constexpr std::chrono::milliseconds kInterval{20};
  constexpr std::chrono::seconds kMaxTime{10};
  const auto deadline = std::chrono::steady_clock::now() + kMaxTime;
  const auto has_connections = [](const auto& relay) {
    return relay->open_connections() > 0;
  };
  const auto run = [&] {
    context.restart();
    context.run_for(kInterval);
  };
  do {
    for (const auto& relay : relays) {
      relay->CutOff();
    }
    run();
  } while (std::any_of(relays.begin(), relays.end(), has_connections) &&
           std::chrono::steady_clock::now() < deadline);
  // The callers see that their connections were closed.
  run();
  CHECK(std::none_of(relays.begin(), relays.end(), has_connections));
}

}  // namespace sycamoreford::support
