#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sycamoreford/core/log.h"
#include "sycamoreford/fleet/endpoint_directory.h"
#include "sycamoreford/relay/request_quarantine.h"

namespace sycamoreford {

/// The quarantine of a daemon for requests that crash endpoints. Logs what
/// changes, and tells the other daemons: news at once, and repeatedly in case a
/// message was lost.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
class QuarantineGuard {
 public:
  using Notifier = std::function<void(const TraitReport&)>;

  /// Sets the function that sends a report to the other daemons.
  void SetPeerNotifier(Notifier notify) { notify_peers_ = std::move(notify); }

  /// As `RequestQuarantine::OnRequest`.
  [[nodiscard]] QuarantineVerdict OnRequest(
      const std::vector<RequestTrait>& traits,
      TimePoint now,
      std::size_t rank,
      std::size_t daemon_count) {
    return quarantine_.OnRequest(traits, now, rank, daemon_count);
  }
  /// As `RequestQuarantine::ReserveTrial`.
  void ReserveTrial(const std::vector<RequestTrait>& traits, TimePoint now) {
    quarantine_.ReserveTrial(traits, now);
  }
  /// As `RequestQuarantine::OnTrial`.
  void OnTrial(const std::vector<RequestTrait>& traits, TimePoint now);
  /// As `RequestQuarantine::IsQuarantined`.
  [[nodiscard]] bool IsQuarantined(
      const std::vector<RequestTrait>& traits) const {
    return quarantine_.IsQuarantined(traits);
  }
  /// As `RequestQuarantine::IsQuarantinedAsWhole`.
  [[nodiscard]] bool IsQuarantinedAsWhole(
      const std::vector<RequestTrait>& traits) const {
    return quarantine_.IsQuarantinedAsWhole(traits);
  }
  /// As `RequestQuarantine::TimeUntilTrial`.
  [[nodiscard]] std::optional<Duration> TimeUntilTrial(
      const std::vector<RequestTrait>& traits,
      TimePoint now) const {
    return quarantine_.TimeUntilTrial(traits, now);
  }
  /// Called when an endpoint crashed while it began to respond to a request
  /// with these traits.
  void OnCrash(const std::vector<RequestTrait>& traits,
               const std::string& endpoint,
               EndpointRun run,
               TimePoint now);
  /// As `RequestQuarantine::OnSound`.
  void OnSound(const std::vector<RequestTrait>& traits,
               TimePoint first_event_at,
               TimePoint now);
  /// Merges a report of another daemon.
  void OnReport(const TraitReport& report, TimePoint now);

  /// Drops what is no longer needed, and returns the reports that are to be
  /// sent to the other daemons with the next status message.
  [[nodiscard]] std::vector<TraitReport> DueReports(TimePoint now);

  /// Reports on all quarantined traits, for a daemon that has just started.
  [[nodiscard]] std::vector<TraitReport> QuarantineReports(TimePoint now) const;

  /// Number of quarantined prompt parts.
  [[nodiscard]] std::size_t quarantined_part_count() const;
  /// Number of requests that are quarantined as a whole.
  [[nodiscard]] std::size_t quarantined_request_count() const;
  /// As `RequestQuarantine::suspected_part_count`.
  [[nodiscard]] std::size_t suspected_part_count() const {
    return quarantine_.suspected_part_count();
  }
  /// As `RequestQuarantine::dropped_count`.
  [[nodiscard]] std::uint64_t dropped_count() const noexcept {
    return quarantine_.dropped_count();
  }

  /// The number that stands for a run in reports.
  [[nodiscard]] static EndpointRun RunOf(const EndpointRunId& run);
  /// The same for the current run of an endpoint.
  [[nodiscard]] static EndpointRun RunOf(const EndpointDirectory& directory,
                                         const std::string& endpoint);

 private:
  /// How long news of this daemon are repeated.
  static constexpr std::chrono::seconds kRepeatTime{5};
  /// Interval between two reports on a quarantined trait without news.
  static constexpr std::chrono::seconds kReminderInterval{2};
  /// Maximum number of reports with one status message; reminders take half of
  /// them at most.
  static constexpr std::size_t kMaxDueReports = 16;
  /// Maximum number of reports that are sent at once in each `kNewsInterval`.
  /// The others follow with the next status messages, since a crash concerns
  /// the parts of many requests.
  static constexpr std::size_t kMaxNewsReports = 16;
  static constexpr std::chrono::milliseconds kNewsInterval{400};

  struct Told {
    TimePoint news_at{};
    TimePoint sent_at{};

    [[nodiscard]] bool HasUnsentNews() const noexcept {
      return sent_at < news_at;
    }
  };

  /// Traits with news that are to be told or repeated, in this order.
  [[nodiscard]] std::vector<RequestTrait> TraitsWithNews(TimePoint now) const;
  /// Whether a further report may be sent at once.
  [[nodiscard]] bool MayTellNow(TimePoint now);
  void TellNews(const std::vector<RequestTrait>& traits, TimePoint now);
  void LogChanges();
  /// Logs an event as `prompt_part_EVENT` or, if a whole request is among the
  /// traits, as `request_EVENT`.
  static void Log(Severity severity,
                  const std::string& event,
                  const std::vector<RequestTrait>& traits,
                  const std::string& endpoint = "");

  RequestQuarantine quarantine_;
  /// When suspected traits were reported to the other daemons.
  std::map<RequestTrait, Told> told_;
  /// Groups of quarantined traits as last logged.
  std::vector<std::vector<RequestTrait>> logged_groups_;
  Notifier notify_peers_;
  /// Start of the current `kNewsInterval`, and reports sent in it.
  TimePoint news_interval_at_{};
  std::size_t news_reports_ = 0;
};

}  // namespace sycamoreford
