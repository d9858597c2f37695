#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <utility>

#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/pause.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/fleet/fleet_store.h"

namespace sycamoreford::fakes {

/// A store that may fall silent. As in the platform's protocol, a call that is
/// sent or answered while it is silent never gets a response, also after it is
/// back; the client gives such a call up `kClientMargin` after its wait.
///
/// Thread safety: none.
class OutageStore {
 public:
  /// What is silent.
  enum class Silence { kNone, kAll, kConfiguration };

  /// Timeout of the client, beyond the time that a call waits.
  static constexpr std::chrono::milliseconds kClientMargin{900};

  void SetSilence(Silence silence) { silence_ = silence; }

  /// Falls silent when the next response about the configuration was sent.
  void FallSilentAfterResponse(Silence silence) { next_silence_ = silence; }

  /// Refuses the call about the configuration that is waiting.
  void RefuseConfiguration() { refuses_configuration_ = true; }

  void Write(std::shared_ptr<const Manifest> manifest) {
    manifest_ = std::move(manifest);
    manifest_position_ = ++position_;
  }

  /// Number of calls about the configuration.
  [[nodiscard]] int configuration_calls() const noexcept {
    return configuration_calls_;
  }

  boost::asio::awaitable<Result<ManifestListing>> ReadManifest() {
    return AwaitManifest({}, std::chrono::milliseconds(0));
  }

  boost::asio::awaitable<Result<ManifestListing>> AwaitManifest(
      StorePosition position,
      std::chrono::milliseconds wait) {
    ++configuration_calls_;
    const TimePoint sent_at = clock_.Now();
    bool is_lost = silence_ != Silence::kNone;
    while (!is_lost && !refuses_configuration_ &&
           manifest_position_ <= position.version &&
           clock_.Now() - sent_at < wait) {
      co_await Pause(kTick);
    }
    is_lost = is_lost || silence_ != Silence::kNone;
    if (is_lost) {
      co_await GiveUp(sent_at, wait);
      co_return LostResponse();
    }
    silence_ = std::exchange(next_silence_, Silence::kNone);
    if (std::exchange(refuses_configuration_, false)) {
      co_return Refusal();
    }
    ManifestListing listing;
    if (manifest_position_ > position.version) {
      listing.manifest = manifest_;
    }
    listing.position.version = position_;
    co_return listing;
  }

  boost::asio::awaitable<Result<EndpointListing>> ReadEndpoints() {
    return AwaitEndpoints({}, std::chrono::milliseconds(0));
  }

  /// Endpoints renew their entries each second.
  boost::asio::awaitable<Result<EndpointListing>> AwaitEndpoints(
      StorePosition /*position*/,
      std::chrono::milliseconds wait) {
    const TimePoint sent_at = clock_.Now();
    bool is_lost = silence_ == Silence::kAll;
    if (!is_lost) {
      co_await Pause(std::min(wait, kRenewalInterval));
    }
    is_lost = is_lost || silence_ == Silence::kAll;
    if (is_lost) {
      co_await GiveUp(sent_at, wait);
      co_return LostResponse();
    }
    EndpointListing listing;
    listing.position.version = position_;
    co_return listing;
  }

 private:
  static constexpr std::chrono::milliseconds kTick{10};
  static constexpr std::chrono::milliseconds kRenewalInterval{1'000};

  static Failure LostResponse() {
    return {.code = Errc::kTableUnavailable, .where = "stalled"};
  }

  static Failure Refusal() {
    Failure failure{.code = Errc::kTableUnavailable, .where = "status 503"};
    failure.retry_after = std::chrono::milliseconds(500);
    return failure;
  }

  boost::asio::awaitable<void> GiveUp(TimePoint sent_at,
                                      std::chrono::milliseconds wait) {
    co_await Pause(std::chrono::duration_cast<std::chrono::milliseconds>(
        sent_at + wait + kClientMargin - clock_.Now()));
  }

  SteadyClock clock_;
  Silence silence_ = Silence::kNone;
  Silence next_silence_ = Silence::kNone;
  std::shared_ptr<const Manifest> manifest_;
  std::uint64_t manifest_position_ = 0;
  std::uint64_t position_ = 0;
  int configuration_calls_ = 0;
  bool refuses_configuration_ = false;
};

}  // namespace sycamoreford::fakes
