#include "sycamoreford/relay/request_quarantine.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace sycamoreford {
namespace {

bool Contains(const std::vector<RequestTrait>& traits,
              const RequestTrait& trait) {
  return std::find(traits.begin(), traits.end(), trait) != traits.end();
}

bool ContainsAll(const std::vector<RequestTrait>& traits,
                 const std::vector<RequestTrait>& group) {
  return std::all_of(
      group.begin(), group.end(),
      [&](const RequestTrait& trait) { return Contains(traits, trait); });
}

}  // namespace

QuarantineVerdict RequestQuarantine::OnRequest(
    const std::vector<RequestTrait>& traits,
    TimePoint now,
    std::size_t rank,
    std::size_t daemon_count) {
  for (const RequestTrait& trait : traits) {
    const auto found = suspects_.find(trait);
    if (found != suspects_.end()) {
      found->second.last_request = std::max(found->second.last_request, now);
    }
  }
  const auto is_in = [&](const auto& group) {
    return ContainsAll(traits, group);
  };
  const auto group = std::find_if(groups_.begin(), groups_.end(), is_in);
  if (group == groups_.end()) {
    return QuarantineVerdict::kAccept;
  }
  const bool is_only_one =
      std::find_if(std::next(group), groups_.end(), is_in) == groups_.end();
  return is_only_one && IsDecisive(*group, traits) &&
                 IsTrialDue(*group, now, rank, daemon_count)
             ? QuarantineVerdict::kTrial
             : QuarantineVerdict::kRefuse;
}

void RequestQuarantine::ReserveTrial(const std::vector<RequestTrait>& traits,
                                     TimePoint now) {
  if (const auto* group = FindGroup(traits)) {
    for (const RequestTrait& trait : *group) {
      suspects_.at(trait).trial_reserved_until = now + kTrialReservation;
    }
  }
}

void RequestQuarantine::OnTrial(const std::vector<RequestTrait>& traits,
                                TimePoint now) {
  const auto* group = FindGroup(traits);
  if (group == nullptr) {
    return;
  }
  for (const RequestTrait& trait : *group) {
    Suspect& suspect = suspects_.at(trait);
    suspect.last_trial = now;
    ++suspect.trials;
  }
}

bool RequestQuarantine::IsDecisive(
    const std::vector<RequestTrait>& group,
    const std::vector<RequestTrait>& traits) const {
  const std::size_t crashes = suspects_.at(group.front()).crashes.size();
  // With another trait that is as suspicious, a crash would not tell which of
  // them caused it. A whole request explains its crashes better than its parts.
  return ContainsWholeRequest(group) ||
         std::all_of(
             traits.begin(), traits.end(), [&](const RequestTrait& trait) {
               const auto found = suspects_.find(trait);
               return Contains(group, trait) || found == suspects_.end() ||
                      found->second.crashes.size() < (crashes + 1) / 2;
             });
}

std::optional<TimePoint> RequestQuarantine::NextTrial(
    const std::vector<RequestTrait>& group) const {
  TimePoint last{};
  std::uint32_t trials = 0;
  for (const RequestTrait& trait : group) {
    const Suspect& suspect = suspects_.at(trait);
    last = std::max({last, suspect.LastEvidence(),
                     suspect.last_trial.value_or(TimePoint{})});
    trials = std::max(trials, suspect.trials);
  }
  const auto due_after = [&](const auto& delays) {
    return trials < delays.size() ? std::optional(last + delays[trials])
                                  : std::nullopt;
  };
  return ContainsWholeRequest(group) ? due_after(kWholeRequestTrialDelays)
                                     : due_after(kPartTrialDelays);
}

bool RequestQuarantine::IsTrialDue(const std::vector<RequestTrait>& group,
                                   TimePoint now,
                                   std::size_t rank,
                                   std::size_t daemon_count) const {
  const auto due = NextTrial(group);
  const bool is_reserved =
      std::any_of(group.begin(), group.end(), [&](const RequestTrait& trait) {
        return now < suspects_.at(trait).trial_reserved_until;
      });
  if (!due || now < *due || is_reserved) {
    return false;
  }
  const auto turn = static_cast<std::size_t>((now - *due) / kTrialTurn);
  return turn % daemon_count == rank % daemon_count;
}

std::optional<Duration> RequestQuarantine::TimeUntilTrial(
    const std::vector<RequestTrait>& traits,
    TimePoint now) const {
  const auto* group = FindGroup(traits);
  const auto due = group == nullptr ? std::nullopt : NextTrial(*group);
  return due ? std::optional(std::max(*due - now, Duration::zero()))
             : std::nullopt;
}

const std::vector<RequestTrait>* RequestQuarantine::FindGroup(
    const std::vector<RequestTrait>& traits) const {
  const auto found = std::find_if(
      groups_.begin(), groups_.end(),
      [&](const auto& group) { return ContainsAll(traits, group); });
  return found == groups_.end() ? nullptr : &*found;
}

bool RequestQuarantine::IsQuarantinedAsWhole(
    const std::vector<RequestTrait>& traits) const {
  const auto* group = FindGroup(traits);
  return group != nullptr && ContainsWholeRequest(*group);
}

std::vector<RequestTrait> RequestQuarantine::OnCrash(
    const std::vector<RequestTrait>& traits,
    EndpointRun run,
    TimePoint now) {
  std::vector<RequestTrait> news;
  for (const RequestTrait& trait : traits) {
    Suspect& suspect = SuspectFor(trait);
    suspect.last_request = std::max(suspect.last_request, now);
    if (suspect.AddCrash(run, now)) {
      news.push_back(trait);
    }
  }
  DropExcess(now);
  Evaluate();
  std::erase_if(news,
                [&](const auto& trait) { return !suspects_.contains(trait); });
  SortBySuspicion(news);
  return news;
}

std::vector<RequestTrait> RequestQuarantine::OnSound(
    const std::vector<RequestTrait>& traits,
    TimePoint first_event_at,
    TimePoint now) {
  std::vector<RequestTrait> news;
  for (const RequestTrait& trait : traits) {
    SoundHistoryFor(trait).Add(trait, first_event_at);
    const auto found = suspects_.find(trait);
    if (found == suspects_.end() || Contains(news, trait)) {
      continue;
    }
    Suspect& suspect = found->second;
    suspect.last_request = std::max(suspect.last_request, now);
    const std::size_t crashes = suspect.crashes.size();
    suspect.ApplySound(first_event_at);
    if (suspect.crashes.size() != crashes) {
      news.push_back(trait);
    }
  }
  if (!news.empty()) {
    Evaluate();
  }
  return news;
}

void RequestQuarantine::OnReport(const TraitReport& report, TimePoint now) {
  if (!suspects_.contains(report.trait) && report.crashes.empty()) {
    return;
  }
  Suspect& suspect = SuspectFor(report.trait);
  suspect.last_request =
      std::max(suspect.last_request, now - report.request_age);
  if (report.trial_age) {
    suspect.MergeTrials(report.trials, now - *report.trial_age);
  }
  for (const TraitReport::Crash& crash : report.crashes) {
    suspect.AddCrash(crash.run, now - crash.age);
  }
  if (report.sound_age) {
    suspect.ApplySound(now - *report.sound_age);
  }
  DropExcess(now);
  Evaluate();
}

RequestQuarantine::Suspect& RequestQuarantine::SuspectFor(
    const RequestTrait& trait) {
  const auto [entry, is_new] = suspects_.try_emplace(trait);
  if (is_new) {
    entry->second.last_sound = SoundHistoryFor(trait).Find(trait);
  }
  return entry->second;
}

void RequestQuarantine::DropExcess(TimePoint now) {
  if (suspects_.size() <= kMaxTraits) {
    return;
  }
  ForgetOld(now);
  const std::size_t parts = suspected_part_count();
  const std::size_t requests = suspects_.size() - parts;
  DropLeastSuspicious(false, std::max(parts, kMaxTraits) - kMaxTraits);
  DropLeastSuspicious(true, std::max(requests, kMaxTraits) - kMaxTraits);
}

void RequestQuarantine::DropLeastSuspicious(bool is_whole_request,
                                            std::size_t count) {
  if (count == 0) {
    return;
  }
  using Suspicion = std::tuple<bool, std::size_t, bool, TimePoint>;
  std::vector<std::pair<Suspicion, RequestTrait>> ranked;
  for (const auto& [trait, suspect] : suspects_) {
    if (IsWholeRequest(trait) == is_whole_request) {
      ranked.emplace_back(
          Suspicion(IsInGroup(trait), suspect.crashes.size(),
                    !suspect.last_sound.has_value(), suspect.LastEvidence()),
          trait);
    }
  }
  const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
  std::nth_element(ranked.begin(), end, ranked.end());
  std::for_each(ranked.begin(), end,
                [&](const auto& it) { suspects_.erase(it.second); });
  dropped_count_ += count;
}

void RequestQuarantine::SortBySuspicion(
    std::vector<RequestTrait>& traits) const {
  std::vector<std::pair<std::pair<bool, std::size_t>, RequestTrait>> ranked;
  ranked.reserve(traits.size());
  for (const RequestTrait& trait : traits) {
    const auto found = suspects_.find(trait);
    ranked.emplace_back(found == suspects_.end()
                            ? std::pair(false, std::size_t{0})
                            : std::pair(!found->second.last_sound,
                                        found->second.crashes.size()),
                        trait);
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first > b.first; });
  std::transform(ranked.begin(), ranked.end(), traits.begin(),
                 [](const auto& it) { return it.second; });
}

std::size_t RequestQuarantine::suspected_part_count() const {
  return static_cast<std::size_t>(
      std::count_if(suspects_.begin(), suspects_.end(),
                    [](const auto& it) { return !IsWholeRequest(it.first); }));
}

bool RequestQuarantine::IsInGroup(const RequestTrait& trait) const {
  return std::any_of(groups_.begin(), groups_.end(),
                     [&](const auto& group) { return Contains(group, trait); });
}

bool RequestQuarantine::IsEnough(const RequestTrait& trait,
                                 const Crashes& crashes) const {
  if (crashes.size() < kMinCrashes) {
    return false;
  }
  if (IsWholeRequest(trait) && !suspects_.at(trait).last_sound) {
    return true;
  }
  const auto [first, last] = std::minmax_element(
      crashes.begin(), crashes.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  return last->second - first->second >= kMinCrashSpan;
}

void RequestQuarantine::AddGroup(const std::vector<RequestTrait>& group) {
  if (!ContainsWholeRequest(group)) {
    groups_.push_back(group);
    return;
  }
  for (const RequestTrait& request : group) {
    if (IsWholeRequest(request)) {
      auto& added = groups_.emplace_back();
      std::copy_if(group.begin(), group.end(), std::back_inserter(added),
                   [&](const RequestTrait& trait) {
                     return !IsWholeRequest(trait) || trait == request;
                   });
    }
  }
}

void RequestQuarantine::Evaluate() {
  groups_.clear();
  std::map<RequestTrait, Crashes> unexplained;
  for (const auto& [trait, suspect] : suspects_) {
    if (IsEnough(trait, suspect.crashes)) {
      unexplained.emplace(trait, suspect.crashes);
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
    std::vector<RequestTrait> group;
    for (const auto& [trait, crashes] : unexplained) {
      if (std::equal(crashes.begin(), crashes.end(), explained.begin(),
                     explained.end(), is_same_run)) {
        group.push_back(trait);
      }
    }
    const auto was_sound = [&](const RequestTrait& trait) {
      return suspects_.at(trait).last_sound.has_value();
    };
    if (!std::all_of(group.begin(), group.end(), was_sound)) {
      std::erase_if(group, was_sound);
    }
    AddGroup(group);
    for (auto& [trait, crashes] : unexplained) {
      std::erase_if(crashes, [&](const auto& crash) {
        return explained.contains(crash.first);
      });
    }
    std::erase_if(unexplained, [&](const auto& it) {
      return !IsEnough(it.first, it.second);
    });
  }
}

void RequestQuarantine::Expire(TimePoint now) {
  ForgetOld(now);
  Evaluate();
}

void RequestQuarantine::ForgetOld(TimePoint now) {
  for (auto& [trait, suspect] : suspects_) {
    if (!IsInGroup(trait)) {
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
}

std::optional<TraitReport> RequestQuarantine::ReportOn(
    const RequestTrait& trait,
    TimePoint now) const {
  const auto found = suspects_.find(trait);
  if (found == suspects_.end()) {
    return std::nullopt;
  }
  const Suspect& suspect = found->second;
  TraitReport report;
  report.trait = trait;
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

std::vector<RequestTrait> RequestQuarantine::traits() const {
  std::vector<RequestTrait> traits;
  for (const auto& [trait, suspect] : suspects_) {
    traits.push_back(trait);
  }
  return traits;
}

}  // namespace sycamoreford
