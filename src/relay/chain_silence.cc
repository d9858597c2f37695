#include "sycamoreford/relay/chain_silence.h"

#include <algorithm>

namespace sycamoreford {
namespace {

/// Pause after which a chain that has answered is looked at: some times the
/// usual pause of its streams, within bounds.
constexpr double kPauses = 3;
constexpr std::chrono::milliseconds kLeastPause{120};
constexpr std::chrono::milliseconds kMostPause{500};
/// The same before its first answer, which waits for the prompt to be read.
constexpr std::chrono::milliseconds kFirstPause{700};
/// Mean pause from which a chain is looked at for slow stages: half of the
/// pause that the users' sheets call late.
constexpr double kSlowMs = 100;
/// Weight of the newest pause in the mean.
constexpr double kNewest = 0.05;
/// Time from one look to the next, which doubles up to a bound.
constexpr std::chrono::milliseconds kAskAgain{250};
constexpr std::chrono::milliseconds kAskAgainMost{2'000};

Duration AllowedPause(double pause_ms) {
  const std::chrono::duration<double, std::milli> pause(kPauses * pause_ms);
  return std::clamp(std::chrono::duration_cast<Duration>(pause),
                    Duration(kLeastPause), Duration(kMostPause));
}

}  // namespace

void ChainSilence::OnSent(const std::string& first, TimePoint now) {
  Activity& activity = chains_[first];
  if (activity.requests == 0) {
    activity.has_moved = false;
    activity.last = now;
  }
  ++activity.requests;
}

void ChainSilence::OnProgress(const std::string& first, TimePoint now) {
  Activity& activity = chains_[first];
  activity.has_moved = true;
  activity.last = now;
  if (activity.pause_ms < kSlowMs) {
    activity.ask_again = kAskAgain;
  }
}

void ChainSilence::OnPause(const std::string& first, Duration pause) {
  Activity& activity = chains_[first];
  const double ms = std::chrono::duration<double, std::milli>(pause).count();
  activity.pause_ms += kNewest * (ms - activity.pause_ms);
}

void ChainSilence::OnEnded(const std::string& first) {
  const auto found = chains_.find(first);
  if (found != chains_.end() && found->second.requests > 0) {
    --found->second.requests;
  }
}

std::vector<std::string> ChainSilence::ToInspect(TimePoint now) {
  std::vector<std::string> names;
  for (auto& [first, activity] : chains_) {
    if (activity.requests == 0 || now < activity.ask_at) {
      continue;
    }
    const Duration allowed = activity.has_moved
                                 ? AllowedPause(activity.pause_ms)
                                 : Duration(kFirstPause);
    if (now - activity.last <= allowed && activity.pause_ms < kSlowMs) {
      continue;
    }
    activity.ask_again = std::clamp(2 * activity.ask_again, Duration(kAskAgain),
                                    Duration(kAskAgainMost));
    activity.ask_at = now + activity.ask_again;
    names.push_back(first);
  }
  return names;
}

}  // namespace sycamoreford
