#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// A limit on the rate of requests over all daemons together, as enforced by
/// one of them.
///
/// Each daemon keeps the same token bucket: it fills at the rate of the limit
/// and is emptied by the requests of all daemons, which tell each other how
/// many they have sent. A daemon that was not heard of lately may send as well,
/// so its part of the rate is left to it.
///
/// Thread safety: none.
class SharedRateLimit {
 public:
  /// Requests that may be sent at once after a time without any.
  static constexpr double kBurst = 3;
  /// Requests that may be sent beyond the limit if they cannot wait; they are
  /// made up for by later ones.
  static constexpr double kOverdraft = 2;
  /// How long a daemon counts as heard of; long enough for two of its reports
  /// to be lost.
  static constexpr std::chrono::milliseconds kPeerTtl{1'300};

  /// The bucket is empty at first.
  ///
  /// \param per_second requests per second; a very low limit is raised so far
  ///     that a request is let through from time to time.
  SharedRateLimit(double per_second, TimePoint now);

  [[nodiscard]] double per_second() const noexcept { return per_second_; }
  void SetRate(double per_second, TimePoint now);

  /// Sets the number of daemons that share the limit, including this one, and
  /// how many times longer than `kPeerTtl` each of them counts as heard of.
  ///
  /// Precondition: both are at least 1.
  void SetDaemons(std::uint32_t daemons, std::uint32_t ttl_factor);

  /// Whether a request may be sent now.
  [[nodiscard]] bool MaySend(TimePoint now);
  /// Whether a request may be sent now if it must not wait for the rate.
  [[nodiscard]] bool MayOverdraw(TimePoint now);
  /// Time until `MaySend` if no daemon sends anything meanwhile.
  [[nodiscard]] Duration TimeUntilAvailable(TimePoint now);

  /// Counts a request of this daemon.
  void OnSent(TimePoint now);
  /// Number of requests that this daemon has sent; never falls.
  [[nodiscard]] std::uint64_t sends() const noexcept { return sends_; }

  /// Records how many requests another daemon has sent in total.
  void OnPeerSends(const std::string& daemon,
                   std::uint64_t sends,
                   TimePoint now);

 private:
  struct Peer {
    std::uint64_t sends = 0;
    TimePoint heard_at{};
  };

  /// Fills the bucket up to `now`, and forgets daemons that were not heard of.
  void Refill(TimePoint now);
  /// The part of the rate that belongs to this daemon and those heard of.
  [[nodiscard]] double OwnRate() const noexcept;

  double per_second_;
  std::uint32_t daemons_ = 1;
  std::uint32_t ttl_factor_ = 1;
  /// Requests that may be sent; negative if too many were.
  double tokens_ = 0;
  TimePoint filled_at_;
  std::uint64_t sends_ = 0;
  /// Daemons that were heard of lately, by address.
  std::map<std::string, Peer> peers_;
};

}  // namespace sycamoreford
