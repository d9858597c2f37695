#include "sycamoreford/relay/chain_stall_detector.h"

#include <algorithm>

namespace sycamoreford {
namespace {

/// A chain that has sent data is inspected after a pause of this many times the
/// mean pause of its streams, within the two limits below.
constexpr double kStallPauseFactor = 3;
constexpr std::chrono::milliseconds kMinStallPause{120};
constexpr std::chrono::milliseconds kMaxStallPause{500};
/// Maximum pause before the first event of an idle chain, which has to wait for
/// the prefill of its prompt.
constexpr std::chrono::milliseconds kFirstEventStallPause{700};
/// Mean pause from which a chain is inspected for slow stages: half of the
/// pause that the service requirements count as late.
constexpr double kSlowMeanPauseMs = 100;
/// Weight of the newest pause in the moving average.
constexpr double kSmoothingFactor = 0.05;
/// Interval between two inspections of a chain; doubles up to the maximum.
constexpr std::chrono::milliseconds kMinInspectionInterval{250};
constexpr std::chrono::milliseconds kMaxInspectionInterval{2'000};

Duration MaxPause(double mean_pause_ms) {
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
  std::vector<std::string> to_inspect;
  for (auto& [first, activity] : chains_) {
    if (activity.requests == 0 || now < activity.next_inspection_at) {
      continue;
    }
    const Duration max_pause = activity.has_progress
                                   ? MaxPause(activity.mean_pause_ms)
                                   : Duration(kFirstEventStallPause);
    if (now - activity.last_progress_at <= max_pause &&
        activity.mean_pause_ms < kSlowMeanPauseMs) {
      continue;
    }
    activity.inspection_interval = std::clamp(2 * activity.inspection_interval,
                                              Duration(kMinInspectionInterval),
                                              Duration(kMaxInspectionInterval));
    activity.next_inspection_at = now + activity.inspection_interval;
    to_inspect.push_back(first);
  }
  return to_inspect;
}

}  // namespace sycamoreford
