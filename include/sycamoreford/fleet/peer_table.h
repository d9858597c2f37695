#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// What a daemon tells the others about its ability to serve.
struct PeerStatus {
  std::string data_centre;
  /// Requests that it is handling.
  std::uint32_t active_requests = 0;
  /// Whether it has endpoints for the service.
  bool serves = false;
};

/// The other daemons to which requests can be forwarded, by what they last
/// told.
///
/// Thread safety: none.
class PeerTable {
 public:
  /// \param data_centre data centre of this daemon.
  explicit PeerTable(std::string data_centre)
      : data_centre_(std::move(data_centre)) {}

  /// Sets how many times longer than with few daemons a status is used.
  void SetIntervalFactor(std::uint32_t factor) noexcept {
    interval_factor_ = factor;
  }

  /// Records the status of a daemon for one service.
  void OnStatus(const std::string& address,
                const std::string& service,
                const PeerStatus& status,
                TimePoint now);

  /// Chooses the daemon that serves the service with the fewest requests.
  ///
  /// \param tried daemons that the request was already sent to; never chosen.
  /// \returns its address, or nothing if no daemon is known to serve it.
  [[nodiscard]] std::optional<std::string> Pick(
      const std::string& service,
      const std::set<std::string>& tried,
      TimePoint now) const;

  /// Whether the daemon has told anything lately.
  [[nodiscard]] bool IsHeard(const std::string& address, TimePoint now) const;

  /// Called when a request is forwarded to a daemon.
  void OnSent(const std::string& address);
  /// Called when a forwarded request has ended.
  void OnEnded(const std::string& address);
  /// Called when a daemon refused a request or could not be reached; it is not
  /// chosen for a short time.
  void OnRefused(const std::string& address, TimePoint now);

  /// Called when a daemon refused a request because all of its endpoints for
  /// the service are in a pause.
  ///
  /// \param time time after which it may take requests for the service.
  void OnBackoff(const std::string& service, Duration time, TimePoint now);
  /// Time until a daemon that refused requests in that way may take some; 0 if
  /// none has.
  [[nodiscard]] Duration BackoffLeft(const std::string& service,
                                     TimePoint now) const;

 private:
  /// How long a status is used, with few daemons; long enough for two messages
  /// to be lost.
  static constexpr std::chrono::milliseconds kStatusTtl{1'300};
  /// How long a daemon that refused a request is not chosen.
  static constexpr std::chrono::milliseconds kRefusalDelay{200};
  /// A daemon in another data centre is chosen if it has fewer requests by this
  /// number.
  static constexpr std::uint32_t kRemotePenalty = 4;

  struct Peer {
    std::string data_centre;
    std::uint32_t active_requests = 0;
    /// Requests forwarded by this daemon that have not ended.
    std::uint32_t own_requests = 0;
    /// Time of the last status by service, if the daemon serves it.
    std::map<std::string, TimePoint> served_at;
    TimePoint heard_at{};
    TimePoint refused_until{};
  };

  void Expire(TimePoint now);

  std::string data_centre_;
  std::uint32_t interval_factor_ = 1;
  std::map<std::string, Peer> peers_;
  /// First end of the pauses that other daemons named, by service.
  std::map<std::string, TimePoint> backoff_until_;
};

}  // namespace sycamoreford
