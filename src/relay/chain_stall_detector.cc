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
/// A chain is inspected for slow stages when its mean pause is more than a half
/// of the longest one with which streams are on time: some pauses are then
/// late.
constexpr int kSlowPauseDivisor = 2;
/// Weight of the newest pause in the moving average.
constexpr double kSmoothingFactor = 0.05;
/// Interval between two inspections of a chain; doubles up to the maximum.
constexpr std::chrono::milliseconds kMinInspectionInterval{250};
constexpr std::chrono::milliseconds kMaxInspectionInterval{2'000};

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Duration MaxPause(double mean_pause_ms) {
  const std::chrono::duration<double, std::milli> pause(kStallPauseFactor *
                                                        mean_pause_ms);
  return std::clamp(std::chrono::duration_cast<Duration>(pause),
                    Duration(kMinStallPause), Duration(kMaxStallPause));
}

}  // namespace

void ChainStallDetector::OnSent(const std::string& first,
                                std::chrono::milliseconds target_pause,
                                TimePoint now) {
  Activity& activity = chains_[first];
  activity.slow_pause = target_pause / kSlowPauseDivisor;
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
  if (activity.mean_pause_ms < ToMs(activity.slow_pause)) {
    activity.inspection_interval = kMinInspectionInterval;
  }
}

void ChainStallDetector::OnPause(const std::string& first, Duration pause) {
  Activity& activity = chains_[first];
  activity.mean_pause_ms +=
      kSmoothingFactor * (ToMs(pause) - activity.mean_pause_ms);
}

void ChainStallDetector::OnEnded(const std::string& first) {
  const auto found = chains_.find(first);
  if (found != chains_.end() && found->second.requests > 0) {
    --found->second.requests;
  }
}

std::vector<std::string> ChainStallDetector::ChainsToInspect(
    TimePoint now,
    std::uint32_t interval_factor) {
  std::vector<std::string> to_inspect;
  for (auto& [first, activity] : chains_) {
    if (activity.requests == 0) {
      continue;
    }
    const Duration max_pause = activity.has_progress
                                   ? MaxPause(activity.mean_pause_ms)
                                   : Duration(kFirstEventStallPause);
    const bool is_silent = now - activity.last_progress_at > max_pause;
    const bool is_slow = activity.mean_pause_ms >= ToMs(activity.slow_pause);
    const bool is_due = (is_silent && now >= activity.next_inspection_at) ||
                        (is_slow && now >= activity.next_slow_inspection_at);
    if (!is_due) {
      continue;
    }
    activity.inspection_interval = std::clamp(2 * activity.inspection_interval,
                                              Duration(kMinInspectionInterval),
                                              Duration(kMaxInspectionInterval));
    activity.next_inspection_at = now + activity.inspection_interval;
    activity.next_slow_inspection_at =
        now + activity.inspection_interval * interval_factor;
    to_inspect.push_back(first);
  }
  return to_inspect;
}

}  // namespace sycamoreford
