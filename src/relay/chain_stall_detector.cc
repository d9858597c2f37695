#include "sycamoreford/relay/chain_stall_detector.h"

#include <algorithm>

namespace sycamoreford {
namespace {

/// Pause after which a chain that has answered is looked at: some times the
/// usual pause of its streams, within bounds.
constexpr double kStallPauseFactor = 3;
constexpr std::chrono::milliseconds kMinStallPause{120};
constexpr std::chrono::milliseconds kMaxStallPause{500};
/// The same before its first answer, which waits for the prompt to be read.
constexpr std::chrono::milliseconds kFirstEventStallPause{700};
/// Mean pause from which a chain is looked at for slow stages: half of the
/// pause that the users' sheets call late.
constexpr double kSlowMeanPauseMs = 100;
/// Weight of the newest pause in the mean.
constexpr double kSmoothingFactor = 0.05;
/// Time from one look to the next, which doubles up to a bound.
constexpr std::chrono::milliseconds kMinInspectionInterval{250};
constexpr std::chrono::milliseconds kMaxInspectionInterval{2'000};

Duration AllowedPause(double mean_pause_ms) {
  const std::chrono::duration<double, std::milli> pause(kStallPauseFactor *
                                                        mean_pause_ms);
  return std::clamp(std::chrono::duration_cast<Duration>(pause),
                    Duration(kMinStallPause), Duration(kMaxStallPause));
}

}  // namespace

void ChainStallDetector::OnSent(const std::string& first, TimePoint now) {
  Activity& activity = chains_[first];
  if (activity.requests == 0) {
    activity.has_progress = false;
    activity.last_progress_at = now;
  }
  ++activity.requests;
}

void ChainStallDetector::OnProgress(const std::string& first, TimePoint now) {
  Activity& activity = chains_[first];
  activity.has_progress = true;
  activity.last_progress_at = now;
  if (activity.mean_pause_ms < kSlowMeanPauseMs) {
    activity.inspection_interval = kMinInspectionInterval;
  }
}

void ChainStallDetector::OnPause(const std::string& first, Duration pause) {
  Activity& activity = chains_[first];
  const double ms = std::chrono::duration<double, std::milli>(pause).count();
  activity.mean_pause_ms += kSmoothingFactor * (ms - activity.mean_pause_ms);
}

void ChainStallDetector::OnEnded(const std::string& first) {
  const auto found = chains_.find(first);
  if (found != chains_.end() && found->second.requests > 0) {
    --found->second.requests;
  }
}

std::vector<std::string> ChainStallDetector::ChainsToInspect(TimePoint now) {
  std::vector<std::string> inspected;
  for (auto& [first, activity] : chains_) {
    if (activity.requests == 0 || now < activity.next_inspection_at) {
      continue;
    }
    const Duration allowed = activity.has_progress
                                 ? AllowedPause(activity.mean_pause_ms)
                                 : Duration(kFirstEventStallPause);
    if (now - activity.last_progress_at <= allowed &&
        activity.mean_pause_ms < kSlowMeanPauseMs) {
      continue;
    }
    activity.inspection_interval = std::clamp(2 * activity.inspection_interval,
                                              Duration(kMinInspectionInterval),
                                              Duration(kMaxInspectionInterval));
    activity.next_inspection_at = now + activity.inspection_interval;
    inspected.push_back(first);
  }
  return inspected;
}

}  // namespace sycamoreford
