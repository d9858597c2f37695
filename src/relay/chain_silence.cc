#include "sycamoreford/relay/chain_silence.h"

namespace sycamoreford {
namespace {

/// Pause after which a chain that has answered is looked at: several times the
/// pause between events of a chain under load.
constexpr std::chrono::milliseconds kPause{300};
/// The same before its first answer, which waits for the prompt to be read.
constexpr std::chrono::milliseconds kFirstPause{700};
/// Time from one look to the next.
constexpr std::chrono::milliseconds kAskAgain{300};

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
}

void ChainSilence::OnEnded(const std::string& first) {
  const auto found = chains_.find(first);
  if (found != chains_.end() && --found->second.requests == 0) {
    chains_.erase(found);
  }
}

std::vector<std::string> ChainSilence::Silent(TimePoint now) {
  std::vector<std::string> silent;
  for (auto& [first, activity] : chains_) {
    const auto pause = activity.has_moved ? kPause : kFirstPause;
    if (now - activity.last > pause && now - activity.asked > kAskAgain) {
      activity.asked = now;
      silent.push_back(first);
    }
  }
  return silent;
}

}  // namespace sycamoreford
