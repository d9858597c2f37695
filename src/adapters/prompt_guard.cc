#include "sycamoreford/adapters/prompt_guard.h"

#include <algorithm>

#include <xxhash.h>

#include "sycamoreford/core/log.h"
#include "sycamoreford/relay/relay_request.h"

namespace sycamoreford {

PromptVerdict PromptGuard::OnRequest(const std::vector<PromptPartId>& parts,
                                     TimePoint now,
                                     std::size_t rank) {
  const PromptVerdict verdict = quarantine_.OnRequest(parts, now, rank);
  if (verdict == PromptVerdict::kTrial) {
    LogEvent(Severity::kInfo, "prompt_part_trial")
        .With("parts", ToString(parts));
    TellNews(parts, now);
  }
  return verdict;
}

void PromptGuard::OnCrash(const std::vector<PromptPartId>& parts,
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

void PromptGuard::OnSound(const std::vector<PromptPartId>& parts,
                          TimePoint first_event_at,
                          TimePoint now) {
  TellNews(quarantine_.OnSound(parts, first_event_at, now), now);
  LogChanges();
}

void PromptGuard::OnReport(const PromptPartReport& report, TimePoint now) {
  quarantine_.OnReport(report, now);
  LogChanges();
}

std::vector<PromptPartReport> PromptGuard::DueReports(TimePoint now) {
  quarantine_.Expire(now);
  LogChanges();
  std::erase_if(told_, [&](const auto& it) {
    return !quarantine_.ReportOn(it.first, now);
  });
  std::vector<PromptPartReport> reports;
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

std::vector<PromptPartReport> PromptGuard::QuarantineReports(
    TimePoint now) const {
  std::vector<PromptPartReport> reports;
  for (const auto& group : quarantine_.groups()) {
    for (const PromptPartId part : group) {
      reports.push_back(*quarantine_.ReportOn(part, now));
    }
  }
  return reports;
}

std::size_t PromptGuard::quarantined_count() const {
  std::size_t count = 0;
  for (const auto& group : quarantine_.groups()) {
    count += group.size();
  }
  return count;
}

EndpointRun PromptGuard::RunOf(const EndpointDirectory& directory,
                               const std::string& endpoint) {
  const KnownEndpoint* known = directory.Find(endpoint);
  const std::uint64_t started_at_ms =
      known == nullptr ? 0 : known->record.started_at_ms;
  return EndpointRun(static_cast<std::uint32_t>(
      XXH64(endpoint.data(), endpoint.size(), started_at_ms)));
}

void PromptGuard::TellNews(const std::vector<PromptPartId>& parts,
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

void PromptGuard::LogChanges() {
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

void PromptWatch::OnEvents(TimePoint now) {
  first_event_at_ = first_event_at_.value_or(now);
  if (now - *first_event_at_ >= PromptQuarantine::kBeginning) {
    ReportSound(now);
  }
}

void PromptWatch::OnComplete(TimePoint now) {
  first_event_at_ = first_event_at_.value_or(now);
  ReportSound(now);
}

void PromptWatch::OnConnectionLost(TimePoint now) const {
  const bool has_only_begun =
      !first_event_at_ || now - *first_event_at_ < PromptQuarantine::kBeginning;
  if (!is_sound_ && has_only_begun && !parts_.empty()) {
    guard_.OnCrash(parts_, endpoint_, run_, now);
  }
}

void PromptWatch::ReportSound(TimePoint now) {
  if (!is_sound_) {
    is_sound_ = true;
    guard_.OnSound(parts_, *first_event_at_, now);
  }
}

}  // namespace sycamoreford
