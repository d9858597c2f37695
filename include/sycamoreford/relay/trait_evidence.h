#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// Identifier of one run of an endpoint process, from its start to its end.
using EndpointRun = StrongId<struct EndpointRunTag, std::uint32_t>;

/// What is known of a suspected trait of requests.
///
/// Thread safety: none.
struct TraitEvidence {
  using Crashes = std::map<EndpointRun, TimePoint>;

  /// Maximum number of crashes that are remembered; the oldest is dropped.
  static constexpr std::size_t kMaxCrashes = 64;

  /// Crashes after the latest sound request.
  Crashes crashes;
  /// Also set if the latest sound request was before all known crashes.
  std::optional<TimePoint> last_sound;
  TimePoint last_request{};
  /// The latest trial, and the number of trials, since the latest sound
  /// request.
  std::optional<TimePoint> last_trial;
  std::uint32_t trials = 0;
  /// Until when a trial of this daemon may still reach its endpoint.
  TimePoint trial_reserved_until{};

  [[nodiscard]] TimePoint LastEvidence() const;
  /// \returns whether the crash was not known.
  bool AddCrash(EndpointRun run, TimePoint at);
  /// Merges what another daemon knows of trials.
  void MergeTrials(std::uint32_t count, TimePoint last);
  void ApplySound(TimePoint at);
};

}  // namespace sycamoreford
