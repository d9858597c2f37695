#include "sycamoreford/adapters/quarantine_guard.h"

#include <algorithm>

#include <xxhash.h>

#include "sycamoreford/core/log.h"
#include "sycamoreford/relay/relay_request.h"

namespace sycamoreford {

QuarantineVerdict QuarantineGuard::OnRequest(
    const std::vector<PromptPartId>& parts,
    TimePoint now,
    std::size_t rank) {
  const QuarantineVerdict verdict = quarantine_.OnRequest(parts, now, rank);
  if (verdict == QuarantineVerdict::kTrial) {
    LogEvent(Severity::kInfo, "prompt_part_trial")
        .With("parts", ToString(parts));
    TellNews(parts, now);
  }
  return verdict;
}

void QuarantineGuard::OnCrash(const std::vector<PromptPartId>& parts,
                              const std::string& endpoint,
                              EndpointRun run,
                              TimePoint now) {
  const auto news = quarantine_.OnCrash(parts, run, now);
  if (news.empty()) {
    return;
  }
  LogEvent(Severity::kInfo, "prompt_part_suspected")
      .With("parts", ToString(news))
      .With("endpoint", endpoint);
  TellNews(news, now);
  LogChanges();
}

void QuarantineGuard::OnSound(const std::vector<PromptPartId>& parts,
                              TimePoint first_event_at,
                              TimePoint now) {
  TellNews(quarantine_.OnSound(parts, first_event_at, now), now);
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
  const auto add = [&](PromptPartId part) {
    if (reports.size() < kMaxDueReports) {
      reports.push_back(*quarantine_.ReportOn(part, now));
      told_[part].sent_at = now;
    }
  };
  for (const auto& group : quarantine_.groups()) {
    for (const PromptPartId part : group) {
      if (now - told_[part].sent_at >= kReminderInterval) {
        add(part);
      }
    }
  }
  for (const auto& [part, told] : told_) {
    if (now - told.news_at < kRepeatTime && told.sent_at != now) {
      add(part);
    }
  }
  return reports;
}

std::vector<TraitReport> QuarantineGuard::QuarantineReports(
    TimePoint now) const {
  std::vector<TraitReport> reports;
  for (const auto& group : quarantine_.groups()) {
    for (const PromptPartId part : group) {
      reports.push_back(*quarantine_.ReportOn(part, now));
    }
  }
  return reports;
}

std::size_t QuarantineGuard::quarantined_count() const {
  std::size_t count = 0;
  for (const auto& group : quarantine_.groups()) {
    count += group.size();
  }
  return count;
}

EndpointRun QuarantineGuard::RunOf(const EndpointDirectory& directory,
                                   const std::string& endpoint) {
  const KnownEndpoint* known = directory.Find(endpoint);
  const std::uint64_t started_at_ms =
      known == nullptr ? 0 : known->record.started_at_ms;
  return EndpointRun(static_cast<std::uint32_t>(
      XXH64(endpoint.data(), endpoint.size(), started_at_ms)));
}

void QuarantineGuard::TellNews(const std::vector<PromptPartId>& parts,
                               TimePoint now) {
  for (const PromptPartId part : parts) {
    const auto report = quarantine_.ReportOn(part, now);
    if (!report) {
      continue;
    }
    told_[part] = {.news_at = now, .sent_at = now};
    if (notify_peers_) {
      notify_peers_(*report);
    }
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
      LogEvent(Severity::kWarning, "prompt_part_quarantined")
          .With("parts", ToString(group));
    }
  }
  for (const auto& group : logged_groups_) {
    if (std::find(groups.begin(), groups.end(), group) == groups.end()) {
      LogEvent(Severity::kInfo, "prompt_part_released")
          .With("parts", ToString(group));
    }
  }
  logged_groups_ = groups;
}

}  // namespace sycamoreford
