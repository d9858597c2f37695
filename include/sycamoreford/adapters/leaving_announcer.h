#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/fleet/leaving_run.h"

namespace sycamoreford {

/// Tells the other daemons which endpoints are leaving, once.
///
/// Waits for a random time before it does, the longer the more daemons there
/// are: what another one tells meanwhile need not be told again. So few daemons
/// tell of an endpoint, however many learn of it at the same time.
///
/// Thread safety: none; runs on the thread of the `io_context`.
class LeavingAnnouncer {
 public:
  /// Sends a message of at most `kRunsPerMessage` runs to all other daemons.
  using Sender = std::function<void(const std::vector<LeavingRun>&)>;

  /// Such a message fits into a datagram with ids of usual length.
  static constexpr std::size_t kRunsPerMessage = 4;

  /// Precondition: `context` outlives this object, and does not run after it is
  /// destroyed.
  LeavingAnnouncer(boost::asio::io_context& context, Sender send)
      : context_(context), send_(std::move(send)) {}

  /// Called when this daemon was the first to find out that a run is leaving,
  /// as far as it knows.
  ///
  /// \param interval_factor grows with the number of daemons; 1 with few.
  void Add(const LeavingRun& leaving, std::uint32_t interval_factor) {
    pending_[leaving.run] = leaving.until_ms;
    if (!is_waiting_) {
      is_waiting_ = true;
      boost::asio::co_spawn(context_, SendPending(interval_factor),
                            boost::asio::detached);
    }
  }

  /// Splits runs into messages of at most `kRunsPerMessage`.
  [[nodiscard]] static std::vector<std::vector<LeavingRun>> Split(
      const std::vector<LeavingRun>& runs) {
    std::vector<std::vector<LeavingRun>> messages;
    for (const LeavingRun& run : runs) {
      if (messages.empty() || messages.back().size() == kRunsPerMessage) {
        messages.emplace_back();
      }
      messages.back().push_back(run);
    }
    return messages;
  }

  /// Called when another daemon told of a run. That it heard of it at another
  /// time does not matter.
  void OnTold(const EndpointRunId& run) { pending_.erase(run); }

 private:
  static constexpr std::chrono::milliseconds kMinDelay{50};
  /// Well below the time in which an endpoint that is leaving must not be used
  /// any more.
  static constexpr std::chrono::milliseconds kMaxDelay{1'000};

  boost::asio::awaitable<void> SendPending(std::uint32_t interval_factor) {
    std::uniform_int_distribution<std::int64_t> delay_ms(
        kMinDelay.count(),
        std::min(kMinDelay * interval_factor, kMaxDelay).count());
    co_await Pause(std::chrono::milliseconds(delay_ms(random_)));
    is_waiting_ = false;
    std::vector<LeavingRun> runs;
    for (const auto& [run, until_ms] : pending_) {
      runs.push_back({.run = run, .until_ms = until_ms});
    }
    pending_.clear();
    for (const auto& message : Split(runs)) {
      send_(message);
    }
  }

  boost::asio::io_context& context_;
  Sender send_;
  /// Runs that are to be told, with their `LeavingRun::until_ms`.
  std::map<EndpointRunId, std::uint64_t> pending_;
  bool is_waiting_ = false;
  std::minstd_rand random_{std::random_device{}()};
};

}  // namespace sycamoreford
