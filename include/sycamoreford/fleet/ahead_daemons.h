#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// The daemons that have a newer configuration in force than this one, by what
/// they told.
///
/// Answers the load of a change that many daemons cannot read from the store:
/// they ask those that can, each one at random, and not again one that could
/// not give it.
///
/// Thread safety: none.
class AheadDaemons {
 public:
  /// Records that a daemon has this revision in force.
  ///
  /// \param address empty if the daemon cannot be asked.
  void OnTold(const std::string& address,
              std::uint64_t revision,
              TimePoint now);

  /// Records that a daemon did not give its configuration.
  void OnFailed(const std::string& address, TimePoint now);

  /// Chooses a daemon that is ahead of this one.
  ///
  /// \param in_force revision in force at this daemon.
  /// \returns its address; nothing if none is known, or all have failed lately.
  [[nodiscard]] std::optional<std::string> Pick(std::uint64_t in_force,
                                                TimePoint now);

  /// The highest revision that was told lately; 0 if none was.
  [[nodiscard]] std::uint64_t Newest(TimePoint now) const;

 private:
  /// How long a daemon is asked after it was last heard. Several of few
  /// daemons, and dozens of many, send a message in this time.
  static constexpr std::chrono::milliseconds kTtl{5'000};
  /// How long a daemon that did not give its configuration is not asked: it is
  /// out of reach, or it sends some to others, which takes less.
  static constexpr std::chrono::milliseconds kFailureDelay{1'000};

  struct Daemon {
    std::uint64_t revision = 0;
    TimePoint heard_at{};
    TimePoint failed_until{};
  };

  std::map<std::string, Daemon> daemons_;
  std::minstd_rand random_{std::random_device{}()};
};

}  // namespace sycamoreford
