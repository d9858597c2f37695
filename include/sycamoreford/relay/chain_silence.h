#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Notices chains on which nothing moves any more.
///
/// All streams of a chain stop together when one of its stages dies or freezes,
/// long before the endpoints give the streams up. Load answered: a lost card
/// cuts a hundred streams, which are moved while their callers still wait.
///
/// Thread safety: none.
class ChainSilence {
 public:
  /// A request was sent to the chain that begins with `first`.
  void OnSent(const std::string& first, TimePoint now);
  /// Something arrived from the chain.
  void OnProgress(const std::string& first, TimePoint now);
  /// The request ended or left the chain.
  void OnEnded(const std::string& first);

  /// Chains to look at: they carry requests, and nothing arrived for longer
  /// than a chain's usual pause. Each is named again only after a while.
  [[nodiscard]] std::vector<std::string> Silent(TimePoint now);

 private:
  struct Activity {
    std::uint32_t requests = 0;
    /// Whether anything has arrived since it was last idle.
    bool has_moved = false;
    TimePoint last{};
    TimePoint asked{};
  };

  std::map<std::string, Activity> chains_;
};

}  // namespace sycamoreford
