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

void TraitEvidence::ApplySound(TimePoint at) {
  const TimePoint last = std::max(last_sound.value_or(TimePoint{}), at);
  last_sound = last;
  std::erase_if(crashes,
                [&](const auto& crash) { return crash.second <= last; });
}

}  // namespace sycamoreford
