#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sycamoreford/fleet/endpoint_directory.h"
#include "sycamoreford/relay/request_quarantine.h"

namespace sycamoreford {

/// The prompt quarantine of a daemon. Logs what changes, and tells the other
/// daemons: news at once, and repeatedly in case a message was lost.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
class QuarantineGuard {
 public:
  using Notifier = std::function<void(const TraitReport&)>;

  /// Sets the function that sends a report to the other daemons.
  void SetPeerNotifier(Notifier notify) { notify_peers_ = std::move(notify); }

  /// As `RequestQuarantine::OnRequest`.
  [[nodiscard]] QuarantineVerdict OnRequest(
      const std::vector<PromptPartId>& parts,
      TimePoint now,
      std::size_t rank);
  /// As `RequestQuarantine::IsQuarantined`.
  [[nodiscard]] bool IsQuarantined(
      const std::vector<PromptPartId>& parts) const {
    return quarantine_.IsQuarantined(parts);
  }
  /// Called when an endpoint crashed while it began to respond to a request
  /// with these parts.
  void OnCrash(const std::vector<PromptPartId>& parts,
               const std::string& endpoint,
               EndpointRun run,
               TimePoint now);
  /// As `RequestQuarantine::OnSound`.
  void OnSound(const std::vector<PromptPartId>& parts,
               TimePoint first_event_at,
               TimePoint now);
  /// Merges a report of another daemon.
  void OnReport(const TraitReport& report, TimePoint now);

  /// Drops what is no longer needed, and returns the reports that are to be
  /// sent to the other daemons with the next status message.
  [[nodiscard]] std::vector<TraitReport> DueReports(TimePoint now);

  /// Reports on all quarantined parts, for a daemon that has just started.
  [[nodiscard]] std::vector<TraitReport> QuarantineReports(TimePoint now) const;

  /// Number of quarantined parts.
  [[nodiscard]] std::size_t quarantined_count() const;

  /// The current run of an endpoint.
  [[nodiscard]] static EndpointRun RunOf(const EndpointDirectory& directory,
                                         const std::string& endpoint);

 private:
  /// How long news of this daemon are repeated.
  static constexpr std::chrono::seconds kRepeatTime{5};
  /// Interval between two reports on a quarantined part without news.
  static constexpr std::chrono::seconds kReminderInterval{2};
  /// Maximum number of reports with one status message.
  static constexpr std::size_t kMaxDueReports = 16;

  struct Told {
    TimePoint news_at{};
    TimePoint sent_at{};
  };

  void TellNews(const std::vector<PromptPartId>& parts, TimePoint now);
  void LogChanges();

  RequestQuarantine quarantine_;
  /// When suspected parts were reported to the other daemons.
  std::map<PromptPartId, Told> told_;
  /// Groups of quarantined parts as last logged.
  std::vector<std::vector<PromptPartId>> logged_groups_;
  Notifier notify_peers_;
};

}  // namespace sycamoreford
