#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/relay/trait_evidence.h"

namespace sycamoreford {

/// What a daemon knows about a suspected prompt part, for the other daemons.
/// Holds ages instead of times, since clocks differ between VMs.
struct TraitReport {
  struct Crash {
    EndpointRun run;
    Duration age{0};
  };
  PromptPartId part;
  std::vector<Crash> crashes;
  /// Age of the latest evidence that the part is harmless, if there is any.
  std::optional<Duration> sound_age;
  /// Time since the last request with the part.
  Duration request_age{0};
  /// Time since the last trial.
  std::optional<Duration> trial_age;
  std::uint32_t trials = 0;
};

/// What to do with a request.
enum class QuarantineVerdict {
  kAccept,
  /// The request would probably crash the endpoint.
  kRefuse,
  /// The request may be sent once, to find out whether the quarantine is still
  /// necessary; the other daemons have to be told of it.
  kTrial,
};

/// Finds prompt parts under which endpoints crash, and quarantines them.
///
/// A part is suspected when several endpoints crashed while they began to
/// respond to requests with it, and no such request has got past its beginning
/// since. Requests that happen to run on a crashing endpoint suspect their
/// parts as well. Therefore the part that explains most crashes is quarantined
/// first, and the crashes that it explains do not count against other parts. If
/// several parts explain the same crashes, those that were sound earlier are
/// presumed harmless. Of the remaining ones, only requests that contain all of
/// them are refused; others show which of the parts is harmless.
///
/// Daemons exchange reports. Merging them is commutative and idempotent, so
/// that reports may be lost, reordered or repeated.
///
/// Memory is bounded: only crashes add suspected parts, up to a limit, and only
/// the parts that were sound most recently are remembered.
///
/// Thread safety: none.
class RequestQuarantine {
 public:
  /// Number of endpoint runs that have to crash under a part. Two may crash by
  /// chance while a retried request runs on them.
  static constexpr std::size_t kMinCrashes = 3;
  /// Minimum time between the first and the last of these crashes. A failure of
  /// many endpoints at once is over by then, and requests with a harmless part
  /// have succeeded elsewhere.
  static constexpr std::chrono::milliseconds kMinCrashSpan{1'000};
  /// Time after the first event of a response during which a crash is
  /// attributed to the request; later, the request counts as sound.
  static constexpr std::chrono::milliseconds kBeginning{300};
  /// How long crashes are remembered while the part is not quarantined.
  static constexpr std::chrono::seconds kCrashMemory{120};
  /// How long a part is quarantined when there are no requests with it.
  static constexpr std::chrono::seconds kQuietTime{60};
  /// Time from the last crash or trial to the first trial, which follows soon
  /// in case the part was suspected by mistake.
  static constexpr std::chrono::milliseconds kFirstTrialDelay{1'000};
  /// The same for the second trial; quadruples with each further trial.
  static constexpr std::chrono::seconds kSecondTrialDelay{10};
  /// Added for each rank of a daemon, so that usually only one makes a trial.
  static constexpr std::chrono::milliseconds kTrialStagger{500};
  /// Maximum number of suspected parts; the least suspicious one is dropped.
  static constexpr std::size_t kMaxParts = 256;
  /// Maximum number of sound parts that are remembered.
  static constexpr std::size_t kMaxSoundParts = 1'024;
  /// Maximum number of crashes in a report, the latest ones; it has to fit into
  /// a datagram of 512 bytes.
  static constexpr std::size_t kMaxReportedCrashes = 16;

  /// Called for each request of a caller before it is sent.
  ///
  /// \param rank position of this daemon among all daemons, from 0.
  [[nodiscard]] QuarantineVerdict OnRequest(
      const std::vector<PromptPartId>& parts,
      TimePoint now,
      std::size_t rank);

  /// Whether a request with these parts must not be sent, or not once more.
  [[nodiscard]] bool IsQuarantined(
      const std::vector<PromptPartId>& parts) const;

  /// Called when an endpoint run crashed while it began to respond to a request
  /// with these parts.
  ///
  /// \returns the parts for which this is news.
  std::vector<PromptPartId> OnCrash(const std::vector<PromptPartId>& parts,
                                    EndpointRun run,
                                    TimePoint now);

  /// Called when a request with these parts got past its beginning.
  ///
  /// \param first_event_at when the response began.
  /// \returns the suspected parts among them, for which this is news.
  std::vector<PromptPartId> OnSound(const std::vector<PromptPartId>& parts,
                                    TimePoint first_event_at,
                                    TimePoint now);

  /// Merges a report of another daemon.
  void OnReport(const TraitReport& report, TimePoint now);

  /// Drops parts that are no longer suspected.
  void Expire(TimePoint now);

  /// The report on a part; nothing if it is not suspected.
  [[nodiscard]] std::optional<TraitReport> ReportOn(PromptPartId part,
                                                    TimePoint now) const;
  /// Suspected parts.
  [[nodiscard]] std::vector<PromptPartId> parts() const;
  /// Quarantined parts; those of one element are only refused together.
  [[nodiscard]] const std::vector<std::vector<PromptPartId>>& groups()
      const noexcept {
    return groups_;
  }

 private:
  using Suspect = TraitEvidence;
  using Crashes = TraitEvidence::Crashes;

  Suspect& SuspectFor(PromptPartId part, TimePoint now);
  void RememberSound(PromptPartId part, TimePoint at);
  /// Makes room for a further part.
  void DropLeastSuspicious();
  /// Determines `groups_` from the evidence.
  void Evaluate();
  [[nodiscard]] static bool IsEnough(const Crashes& crashes);
  [[nodiscard]] bool IsTrialDue(const std::vector<PromptPartId>& group,
                                const std::vector<PromptPartId>& parts,
                                TimePoint now,
                                std::size_t rank) const;
  [[nodiscard]] bool IsInGroup(PromptPartId part) const;

  std::map<PromptPartId, Suspect> suspects_;
  std::vector<std::vector<PromptPartId>> groups_;
  /// When parts were sound, as far as this daemon has seen.
  std::map<PromptPartId, TimePoint> last_sound_;
};

}  // namespace sycamoreford
