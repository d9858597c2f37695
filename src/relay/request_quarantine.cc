#include "sycamoreford/relay/request_quarantine.h"

#include <algorithm>
#include <tuple>

namespace sycamoreford {
namespace {

bool Contains(const std::vector<PromptPartId>& parts, PromptPartId part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

bool ContainsAll(const std::vector<PromptPartId>& parts,
                 const std::vector<PromptPartId>& group) {
  return std::all_of(group.begin(), group.end(),
                     [&](PromptPartId part) { return Contains(parts, part); });
}

/// Time from the last crash or trial to the next trial.
Duration TrialDelay(std::uint32_t trials) {
  constexpr std::uint32_t kMaxDoublings = 12;
  if (trials == 0) {
    return RequestQuarantine::kFirstTrialDelay;
  }
  return RequestQuarantine::kSecondTrialDelay *
         (1U << std::min(2 * (trials - 1), kMaxDoublings));
}

}  // namespace

QuarantineVerdict RequestQuarantine::OnRequest(
    const std::vector<PromptPartId>& parts,
    TimePoint now,
    std::size_t rank) {
  for (const PromptPartId part : parts) {
    const auto found = suspects_.find(part);
    if (found != suspects_.end()) {
      found->second.last_request = std::max(found->second.last_request, now);
    }
  }
  const std::vector<PromptPartId>* quarantined = nullptr;
  for (const auto& group : groups_) {
    if (ContainsAll(parts, group)) {
      if (quarantined != nullptr) {
        return QuarantineVerdict::kRefuse;
      }
      quarantined = &group;
    }
  }
  if (quarantined == nullptr) {
    return QuarantineVerdict::kAccept;
  }
  if (!IsTrialDue(*quarantined, parts, now, rank)) {
    return QuarantineVerdict::kRefuse;
  }
  for (const PromptPartId part : *quarantined) {
    Suspect& suspect = suspects_.at(part);
    suspect.last_trial = now;
    ++suspect.trials;
  }
  return QuarantineVerdict::kTrial;
}

bool RequestQuarantine::IsTrialDue(const std::vector<PromptPartId>& group,
                                   const std::vector<PromptPartId>& parts,
                                   TimePoint now,
                                   std::size_t rank) const {
  const std::size_t crashes = suspects_.at(group.front()).crashes.size();
  // With another part that is as suspicious, a crash would not tell which of
  // them caused it.
  const bool is_decisive =
      std::all_of(parts.begin(), parts.end(), [&](PromptPartId part) {
        const auto found = suspects_.find(part);
        return Contains(group, part) || found == suspects_.end() ||
               found->second.crashes.size() < (crashes + 1) / 2;
      });
  if (!is_decisive) {
    return false;
  }
  TimePoint last{};
  std::uint32_t trials = 0;
  for (const PromptPartId part : group) {
    const Suspect& suspect = suspects_.at(part);
    last = std::max({last, suspect.LastEvidence(),
                     suspect.last_trial.value_or(TimePoint{})});
    trials = std::max(trials, suspect.trials);
  }
  return now - last >=
         TrialDelay(trials) + kTrialStagger * static_cast<std::int64_t>(rank);
}

bool RequestQuarantine::IsQuarantined(
    const std::vector<PromptPartId>& parts) const {
  return std::any_of(groups_.begin(), groups_.end(), [&](const auto& group) {
    return ContainsAll(parts, group);
  });
}

std::vector<PromptPartId> RequestQuarantine::OnCrash(
    const std::vector<PromptPartId>& parts,
    EndpointRun run,
    TimePoint now) {
  std::vector<PromptPartId> news;
  for (const PromptPartId part : parts) {
    Suspect& suspect = SuspectFor(part, now);
    suspect.last_request = std::max(suspect.last_request, now);
    if (suspect.AddCrash(run, now)) {
      news.push_back(part);
    }
  }
  Evaluate();
  return news;
}

std::vector<PromptPartId> RequestQuarantine::OnSound(
    const std::vector<PromptPartId>& parts,
    TimePoint first_event_at,
    TimePoint now) {
  std::vector<PromptPartId> news;
  for (const PromptPartId part : parts) {
    RememberSound(part, first_event_at);
    const auto found = suspects_.find(part);
    if (found == suspects_.end() || Contains(news, part)) {
      continue;
    }
    Suspect& suspect = found->second;
    suspect.last_request = std::max(suspect.last_request, now);
    const std::size_t crashes = suspect.crashes.size();
    suspect.ApplySound(first_event_at);
    if (suspect.crashes.size() != crashes) {
      news.push_back(part);
    }
  }
  if (!news.empty()) {
    Evaluate();
  }
  return news;
}

void RequestQuarantine::OnReport(const TraitReport& report, TimePoint now) {
  if (!suspects_.contains(report.part) && report.crashes.empty()) {
    return;
  }
  Suspect& suspect = SuspectFor(report.part, now);
  suspect.last_request =
      std::max(suspect.last_request, now - report.request_age);
  if (report.trial_age) {
    suspect.last_trial = std::max(suspect.last_trial.value_or(TimePoint{}),
                                  now - *report.trial_age);
  }
  suspect.trials = std::max(suspect.trials, report.trials);
  for (const TraitReport::Crash& crash : report.crashes) {
    suspect.AddCrash(crash.run, now - crash.age);
  }
  if (report.sound_age) {
    suspect.ApplySound(now - *report.sound_age);
  }
  Evaluate();
}

RequestQuarantine::Suspect& RequestQuarantine::SuspectFor(PromptPartId part,
                                                          TimePoint now) {
  if (suspects_.size() >= kMaxParts && !suspects_.contains(part)) {
    Expire(now);
    DropLeastSuspicious();
  }
  const auto [entry, is_new] = suspects_.try_emplace(part);
  const auto sound = last_sound_.find(part);
  if (is_new && sound != last_sound_.end()) {
    entry->second.last_sound = sound->second;
  }
  return entry->second;
}

void RequestQuarantine::RememberSound(PromptPartId part, TimePoint at) {
  TimePoint& last = last_sound_[part];
  last = std::max(last, at);
  if (last_sound_.size() > kMaxSoundParts) {
    last_sound_.erase(std::min_element(
        last_sound_.begin(), last_sound_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
}

void RequestQuarantine::DropLeastSuspicious() {
  const auto rank = [&](const auto& entry) {
    return std::tuple(IsInGroup(entry.first), entry.second.crashes.size(),
                      entry.second.LastEvidence());
  };
  while (suspects_.size() >= kMaxParts) {
    suspects_.erase(std::min_element(
        suspects_.begin(), suspects_.end(),
        [&](const auto& a, const auto& b) { return rank(a) < rank(b); }));
  }
}

bool RequestQuarantine::IsInGroup(PromptPartId part) const {
  return std::any_of(groups_.begin(), groups_.end(),
                     [&](const auto& group) { return Contains(group, part); });
}

bool RequestQuarantine::IsEnough(const Crashes& crashes) {
  if (crashes.size() < kMinCrashes) {
    return false;
  }
  const auto [first, last] = std::minmax_element(
      crashes.begin(), crashes.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return last->second - first->second >= kMinCrashSpan;
}

void RequestQuarantine::Evaluate() {
  groups_.clear();
  std::map<PromptPartId, Crashes> unexplained;
  for (const auto& [part, suspect] : suspects_) {
    if (IsEnough(suspect.crashes)) {
      unexplained.emplace(part, suspect.crashes);
    }
  }
  while (!unexplained.empty()) {
    const auto best =
        std::max_element(unexplained.begin(), unexplained.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.size() < b.second.size();
                         });
    const Crashes explained = best->second;
    const auto is_same_run = [](const auto& a, const auto& b) {
      return a.first == b.first;
    };
    std::vector<PromptPartId> group;
    for (const auto& [part, crashes] : unexplained) {
      if (std::equal(crashes.begin(), crashes.end(), explained.begin(),
                     explained.end(), is_same_run)) {
        group.push_back(part);
      }
    }
    const auto was_sound = [&](PromptPartId part) {
      return suspects_.at(part).last_sound.has_value();
    };
    if (!std::all_of(group.begin(), group.end(), was_sound)) {
      std::erase_if(group, was_sound);
    }
    groups_.push_back(std::move(group));
    for (auto& [part, crashes] : unexplained) {
      std::erase_if(crashes, [&](const auto& crash) {
        return explained.contains(crash.first);
      });
    }
    std::erase_if(unexplained,
                  [](const auto& it) { return !IsEnough(it.second); });
  }
}

void RequestQuarantine::Expire(TimePoint now) {
  for (auto& [part, suspect] : suspects_) {
    if (!IsInGroup(part)) {
      std::erase_if(suspect.crashes, [&](const auto& crash) {
        return now - crash.second > kCrashMemory;
      });
    }
  }
  std::erase_if(suspects_, [&](const auto& entry) {
    const Suspect& suspect = entry.second;
    return IsInGroup(entry.first) ? now - suspect.last_request > kQuietTime
                                  : now - suspect.LastEvidence() > kCrashMemory;
  });
  Evaluate();
}

std::optional<TraitReport> RequestQuarantine::ReportOn(PromptPartId part,
                                                       TimePoint now) const {
  const auto found = suspects_.find(part);
  if (found == suspects_.end()) {
    return std::nullopt;
  }
  const Suspect& suspect = found->second;
  TraitReport report;
  report.part = part;
  for (const auto& [run, at] : suspect.crashes) {
    report.crashes.push_back({run, now - at});
  }
  if (report.crashes.size() > kMaxReportedCrashes) {
    std::sort(report.crashes.begin(), report.crashes.end(),
              [](const auto& a, const auto& b) { return a.age < b.age; });
    report.crashes.resize(kMaxReportedCrashes);
  }
  if (suspect.last_sound) {
    report.sound_age = now - *suspect.last_sound;
  }
  report.request_age = now - suspect.last_request;
  if (suspect.last_trial) {
    report.trial_age = now - *suspect.last_trial;
  }
  report.trials = suspect.trials;
  return report;
}

std::vector<PromptPartId> RequestQuarantine::parts() const {
  std::vector<PromptPartId> parts;
  for (const auto& [part, suspect] : suspects_) {
    parts.push_back(part);
  }
  return parts;
}

}  // namespace sycamoreford
