#include "sycamoreford/relay/trait_evidence.h"

#include <algorithm>

namespace sycamoreford {

TimePoint TraitEvidence::LastEvidence() const {
  TimePoint last = last_sound.value_or(TimePoint{});
  for (const auto& [run, at] : crashes) {
    last = std::max(last, at);
  }
  return last;
}

bool TraitEvidence::AddCrash(EndpointRun run, TimePoint at) {
  if (last_sound && at <= *last_sound) {
    return false;
  }
  const auto [entry, is_new] = crashes.try_emplace(run, at);
  entry->second = std::min(entry->second, at);
  if (crashes.size() > kMaxCrashes) {
    crashes.erase(std::min_element(
        crashes.begin(), crashes.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  return is_new;
}

void TraitEvidence::MergeTrials(std::uint32_t count, TimePoint last) {
  if (last_sound && last <= *last_sound) {
    return;
  }
  last_trial = std::max(last_trial.value_or(last), last);
  trials = std::max(trials, count);
}

void TraitEvidence::ApplySound(TimePoint at) {
  const TimePoint last = std::max(last_sound.value_or(TimePoint{}), at);
  last_sound = last;
  std::erase_if(crashes,
                [&](const auto& crash) { return crash.second <= last; });
  if (last_trial && *last_trial <= last) {
    last_trial.reset();
    trials = 0;
  }
}

}  // namespace sycamoreford
