#include "sycamoreford/adapters/quarantine_guard.h"

#include <algorithm>

#include <xxhash.h>

#include "sycamoreford/core/log.h"
#include "sycamoreford/relay/relay_request.h"

namespace sycamoreford {

void QuarantineGuard::OnTrial(const std::vector<RequestTrait>& traits,
                              TimePoint now) {
  quarantine_.OnTrial(traits, now);
  Log(Severity::kInfo, "trial", traits);
  // Another daemon may be about to make the same trial; one trait of the group
  // is enough to tell it.
  news_interval_at_ = now;
  news_reports_ = 0;
  std::vector<RequestTrait> sorted = traits;
  quarantine_.SortBySuspicion(sorted);
  TellNews(sorted, now);
}

void QuarantineGuard::OnCrash(const std::vector<RequestTrait>& traits,
                              const std::string& endpoint,
                              EndpointRun run,
                              TimePoint now) {
  const auto news = quarantine_.OnCrash(traits, run, now);
  if (news.empty()) {
    return;
  }
  Log(Severity::kInfo, "suspected", news, endpoint);
  TellNews(news, now);
  LogChanges();
}

void QuarantineGuard::OnSound(const std::vector<RequestTrait>& traits,
                              TimePoint first_event_at,
                              TimePoint now) {
  TellNews(quarantine_.OnSound(traits, first_event_at, now), now);
  LogChanges();
}

void QuarantineGuard::OnReport(const TraitReport& report, TimePoint now) {
  quarantine_.OnReport(report, now);
  LogChanges();
}

std::vector<TraitReport> QuarantineGuard::DueReports(TimePoint now) {
  quarantine_.Expire(now);
  LogChanges();
  std::erase_if(told_, [&](const auto& it) {
    return !quarantine_.ReportOn(it.first, now);
  });
  std::vector<TraitReport> reports;
  const auto add = [&](const RequestTrait& trait, std::size_t max_count) {
    if (reports.size() < max_count) {
      reports.push_back(*quarantine_.ReportOn(trait, now));
      told_[trait].sent_at = now;
    }
  };
  for (const auto& group : quarantine_.groups()) {
    for (const RequestTrait& trait : group) {
      if (now - told_[trait].sent_at >= kReminderInterval) {
        add(trait, kMaxDueReports / 2);
      }
    }
  }
  for (const RequestTrait& trait : TraitsWithNews(now)) {
    add(trait, kMaxDueReports);
  }
  return reports;
}

std::vector<RequestTrait> QuarantineGuard::TraitsWithNews(TimePoint now) const {
  std::vector<RequestTrait> unsent;
  std::vector<std::pair<TimePoint, RequestTrait>> sent;
  for (const auto& [trait, told] : told_) {
    if (told.HasUnsentNews()) {
      unsent.push_back(trait);
    } else if (now - told.news_at < kRepeatTime && told.sent_at != now) {
      sent.emplace_back(told.sent_at, trait);
    }
  }
  quarantine_.SortBySuspicion(unsent);
  std::sort(sent.begin(), sent.end());
  for (const auto& [sent_at, trait] : sent) {
    unsent.push_back(trait);
  }
  return unsent;
}

bool QuarantineGuard::MayTellNow(TimePoint now) {
  if (now - news_interval_at_ >= kNewsInterval) {
    news_interval_at_ = now;
    news_reports_ = 0;
  }
  return news_reports_ < kMaxNewsReports;
}

std::vector<TraitReport> QuarantineGuard::QuarantineReports(
    TimePoint now) const {
  std::vector<TraitReport> reports;
  for (const auto& group : quarantine_.groups()) {
    for (const RequestTrait& trait : group) {
      reports.push_back(*quarantine_.ReportOn(trait, now));
    }
  }
  return reports;
}

std::size_t QuarantineGuard::quarantined_part_count() const {
  std::size_t count = 0;
  for (const auto& group : quarantine_.groups()) {
    count += ContainsWholeRequest(group) ? 0 : group.size();
  }
  return count;
}

std::size_t QuarantineGuard::quarantined_request_count() const {
  const auto& groups = quarantine_.groups();
  return static_cast<std::size_t>(
      std::count_if(groups.begin(), groups.end(), ContainsWholeRequest));
}

EndpointRun QuarantineGuard::RunOf(const EndpointRunId& run) {
  return EndpointRun(static_cast<std::uint32_t>(
      XXH64(run.id.data(), run.id.size(), run.started_at_ms)));
}

EndpointRun QuarantineGuard::RunOf(const EndpointDirectory& directory,
                                   const std::string& endpoint) {
  const KnownEndpoint* known = directory.Find(endpoint);
  return RunOf(known == nullptr ? EndpointRunId{.id = endpoint}
                                : ::sycamoreford::RunOf(known->record));
}

void QuarantineGuard::TellNews(const std::vector<RequestTrait>& traits,
                               TimePoint now) {
  for (const RequestTrait& trait : traits) {
    const auto report = quarantine_.ReportOn(trait, now);
    if (!report) {
      continue;
    }
    Told& told = told_[trait];
    told.news_at = now;
    if (MayTellNow(now)) {
      ++news_reports_;
      told.sent_at = now;
      if (notify_peers_) {
        notify_peers_(*report);
      }
    }
  }
}

void QuarantineGuard::Log(Severity severity,
                          const std::string& event,
                          const std::vector<RequestTrait>& traits,
                          const std::string& endpoint) {
  const bool is_request = ContainsWholeRequest(traits);
  LogEvent entry(severity, (is_request ? "request_" : "prompt_part_") + event);
  entry.With("parts", PartsToString(traits));
  if (is_request) {
    entry.With("fingerprint", FingerprintsToString(traits));
  }
  if (!endpoint.empty()) {
    entry.With("endpoint", endpoint);
  }
}

void QuarantineGuard::LogChanges() {
  const auto& groups = quarantine_.groups();
  if (groups == logged_groups_) {
    return;
  }
  for (const auto& group : groups) {
    if (std::find(logged_groups_.begin(), logged_groups_.end(), group) ==
        logged_groups_.end()) {
      Log(Severity::kWarning, "quarantined", group);
    }
  }
  for (const auto& group : logged_groups_) {
    if (std::find(groups.begin(), groups.end(), group) == groups.end()) {
      Log(Severity::kInfo, "released", group);
    }
  }
  logged_groups_ = groups;
}

}  // namespace sycamoreford
