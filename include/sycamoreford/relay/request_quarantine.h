#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/relay/request_trait.h"
#include "sycamoreford/relay/sound_history.h"
#include "sycamoreford/relay/trait_evidence.h"

namespace sycamoreford {

/// What a daemon knows about a suspected trait, for the other daemons.
/// Holds ages instead of times, since clocks differ between VMs.
struct TraitReport {
  struct Crash {
    EndpointRun run;
    Duration age{0};
  };
  RequestTrait trait;
  std::vector<Crash> crashes;
  /// Age of the latest evidence that the trait is harmless, if there is any.
  std::optional<Duration> sound_age;
  /// Time since the last request with the trait.
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

/// Finds the traits of requests under which endpoints crash, and quarantines
/// them.
///
/// A trait is suspected when several endpoints crashed while they began to
/// respond to requests with it, and no such request has got past its beginning
/// since. Requests that happen to run on a crashing endpoint suspect their
/// traits as well. Therefore the trait that explains most crashes is
/// quarantined first, and the crashes that it explains do not count against
/// other traits. If several traits explain the same crashes, those that were
/// sound earlier are presumed harmless. Of the remaining ones, only requests
/// that contain all prompt parts among them, and are one of the whole requests
/// among them if there are any, are refused; others show which of the traits is
/// harmless.
///
/// Daemons exchange reports. Merging them is commutative and idempotent, so
/// that reports may be lost, reordered or repeated.
///
/// Memory is bounded: only crashes add suspected traits, up to a limit, and
/// only the traits that were sound most recently are remembered.
///
/// Thread safety: none.
class RequestQuarantine {
 public:
  /// Number of endpoint runs that have to crash under a trait. Two may crash by
  /// chance while a retried request runs on them.
  static constexpr std::size_t kMinCrashes = 3;
  /// Minimum time between the first and the last of these crashes. A failure of
  /// many endpoints at once is over by then, and requests with a harmless trait
  /// have succeeded elsewhere. Does not apply to a whole request that was not
  /// sound lately: it is too rare to be on several endpoints by chance.
  static constexpr std::chrono::milliseconds kMinCrashSpan{1'000};
  /// Time after the first event of a response during which a crash is
  /// attributed to the request; later, the request counts as sound.
  static constexpr std::chrono::milliseconds kBeginning{300};
  /// How long crashes are remembered while the trait is not quarantined.
  static constexpr std::chrono::seconds kCrashMemory{600};
  /// How long a trait is quarantined when there are no requests with it. Not
  /// shorter than `kCrashMemory`, or crashes that a forgotten trait explained
  /// would count against others.
  static constexpr std::chrono::seconds kQuietTime{600};
  static_assert(kQuietTime >= kCrashMemory);
  /// Time from the last crash or trial to the first trial, which follows soon
  /// in case the part was suspected by mistake.
  static constexpr std::chrono::milliseconds kFirstTrialDelay{1'000};
  /// Times from the last crash or trial to each trial of a prompt part. There
  /// are no further ones, which would exceed the crashes that it may cause, so
  /// it stays quarantined while there are requests with it.
  static constexpr std::array<std::chrono::milliseconds, 3> kPartTrialDelays = {
      kFirstTrialDelay, std::chrono::seconds(10), std::chrono::seconds(40)};
  /// The same for a whole request, whose copies come at several daemons at
  /// once.
  static constexpr std::array<std::chrono::milliseconds, 2>
      kWholeRequestTrialDelays = {kFirstTrialDelay, std::chrono::seconds(60)};
  /// Time in which one daemon may make a due trial, before it is the turn of
  /// the next one.
  static constexpr std::chrono::milliseconds kTrialTurn{500};
  /// How long a trial is reserved; longer than it takes to connect.
  static constexpr std::chrono::milliseconds kTrialReservation{500};
  /// Maximum number of suspected prompt parts, and of suspected whole requests;
  /// the least suspicious ones are dropped. One crash suspects all parts of all
  /// requests that the endpoint had begun, several hundred each.
  static constexpr std::size_t kMaxTraits = 4'096;
  /// Maximum number of sound prompt parts that are remembered.
  static constexpr std::size_t kMaxSoundParts = 8'192;
  /// Maximum number of sound whole requests that are remembered.
  static constexpr std::size_t kMaxSoundRequests = 4'096;
  /// Maximum number of crashes in a report, the latest ones; it has to fit into
  /// a datagram of 512 bytes.
  static constexpr std::size_t kMaxReportedCrashes = 16;

  /// Called for each request of a caller before it is sent.
  ///
  /// \param rank position of this daemon among all daemons, from 0.
  /// \param daemon_count number of daemons, at least 1.
  [[nodiscard]] QuarantineVerdict OnRequest(
      const std::vector<RequestTrait>& traits,
      TimePoint now,
      std::size_t rank,
      std::size_t daemon_count);

  /// Called before a request for which `OnRequest` has returned `kTrial` is
  /// sent: this daemon makes no other trial in the meantime.
  void ReserveTrial(const std::vector<RequestTrait>& traits, TimePoint now);

  /// Called when such a request was sent.
  void OnTrial(const std::vector<RequestTrait>& traits, TimePoint now);

  /// Whether a request with these traits must not be sent, or not once more.
  [[nodiscard]] bool IsQuarantined(
      const std::vector<RequestTrait>& traits) const {
    return FindGroup(traits) != nullptr;
  }

  /// Whether such a request is quarantined as a whole, not only for parts of
  /// its prompt.
  [[nodiscard]] bool IsQuarantinedAsWhole(
      const std::vector<RequestTrait>& traits) const;

  /// Time until such a request may be sent once, at some daemon; nothing if it
  /// may not while such requests come, or is not quarantined.
  [[nodiscard]] std::optional<Duration> TimeUntilTrial(
      const std::vector<RequestTrait>& traits,
      TimePoint now) const;

  /// Called when an endpoint run crashed while it began to respond to a request
  /// with these traits.
  ///
  /// \returns the traits for which this is news, the most suspicious first.
  std::vector<RequestTrait> OnCrash(const std::vector<RequestTrait>& traits,
                                    EndpointRun run,
                                    TimePoint now);

  /// Called when a request with these traits got past its beginning.
  ///
  /// \param first_event_at when the response began.
  /// \returns the suspected traits among them, for which this is news.
  std::vector<RequestTrait> OnSound(const std::vector<RequestTrait>& traits,
                                    TimePoint first_event_at,
                                    TimePoint now);

  /// Merges a report of another daemon.
  void OnReport(const TraitReport& report, TimePoint now);

  /// Drops traits that are no longer suspected.
  void Expire(TimePoint now);

  /// The report on a trait; nothing if it is not suspected.
  [[nodiscard]] std::optional<TraitReport> ReportOn(const RequestTrait& trait,
                                                    TimePoint now) const;
  /// Sorts traits: those that are suspected and were never sound first, then
  /// those with more crashes.
  void SortBySuspicion(std::vector<RequestTrait>& traits) const;

  /// Suspected traits.
  [[nodiscard]] std::vector<RequestTrait> traits() const;
  /// Number of suspected prompt parts.
  [[nodiscard]] std::size_t suspected_part_count() const;
  /// Number of suspected traits that were dropped for lack of room.
  [[nodiscard]] std::uint64_t dropped_count() const noexcept {
    return dropped_count_;
  }
  /// Quarantined traits; those of one element are only refused together.
  [[nodiscard]] const std::vector<std::vector<RequestTrait>>& groups()
      const noexcept {
    return groups_;
  }

 private:
  using Suspect = TraitEvidence;
  using Crashes = TraitEvidence::Crashes;

  Suspect& SuspectFor(const RequestTrait& trait);
  [[nodiscard]] SoundHistory& SoundHistoryFor(const RequestTrait& trait) {
    return IsWholeRequest(trait) ? sound_requests_ : sound_parts_;
  }
  /// Drops the least suspicious traits of each kind beyond `kMaxTraits`.
  /// `Evaluate` must be called afterwards.
  void DropExcess(TimePoint now);
  /// Drops the `count` least suspicious traits of a kind.
  void DropLeastSuspicious(bool is_whole_request, std::size_t count);
  /// Drops old evidence, without evaluating the rest.
  void ForgetOld(TimePoint now);
  /// Determines `groups_` from the evidence.
  void Evaluate();
  /// Adds a group to `groups_`, or one for each whole request in it, since no
  /// request is several of them.
  void AddGroup(const std::vector<RequestTrait>& group);
  /// Whether crashes, not all of which need be those of the suspect, suffice to
  /// quarantine the trait.
  [[nodiscard]] bool IsEnough(const RequestTrait& trait,
                              const Crashes& crashes) const;
  /// The quarantined traits that a request contains; null if there are none.
  [[nodiscard]] const std::vector<RequestTrait>* FindGroup(
      const std::vector<RequestTrait>& traits) const;
  /// Whether a crash of a request with these traits would tell that the group
  /// is its cause.
  [[nodiscard]] bool IsDecisive(const std::vector<RequestTrait>& group,
                                const std::vector<RequestTrait>& traits) const;
  /// When the next trial of a group is due; nothing if there is none.
  [[nodiscard]] std::optional<TimePoint> NextTrial(
      const std::vector<RequestTrait>& group) const;
  /// Whether a trial may be made at this daemon.
  [[nodiscard]] bool IsTrialDue(const std::vector<RequestTrait>& group,
                                TimePoint now,
                                std::size_t rank,
                                std::size_t daemon_count) const;
  [[nodiscard]] bool IsInGroup(const RequestTrait& trait) const;

  std::map<RequestTrait, Suspect> suspects_;
  std::vector<std::vector<RequestTrait>> groups_;
  /// When traits were sound, as far as this daemon has seen. In two histories,
  /// since whole requests would displace the prompt parts.
  SoundHistory sound_parts_{kMaxSoundParts};
  SoundHistory sound_requests_{kMaxSoundRequests};
  std::uint64_t dropped_count_ = 0;
};

}  // namespace sycamoreford
