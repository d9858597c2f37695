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
  /// Maximum number of reports with one status message.
  static constexpr std::size_t kMaxDueReports = 16;

  struct Told {
    TimePoint news_at{};
    TimePoint sent_at{};
  };

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
};

}  // namespace sycamoreford
