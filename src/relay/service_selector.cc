#include "sycamoreford/relay/service_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sycamoreford {
namespace {

/// Weight of the newest answer in the running means.
constexpr double kNewest = 0.3;
/// Time of an answer before any was seen, in ms; the order of a small call.
constexpr double kUnseenMs = 60;
/// Share of failures above which an endpoint is not sound.
constexpr double kUnsound = 0.5;
/// Weight of failures against time: an endpoint that fails half of its requests
/// counts as five times slower.
constexpr double kFailureWeight = 8;
/// Factor for endpoints of another data centre.
constexpr double kRemoteFactor = 1.1;
/// Failures are forgotten by half in this time, so that an endpoint which gets
/// no requests is tried again.
constexpr std::chrono::duration<double> kForgetHalf{1.5};

}  // namespace

double ServiceSelector::FailuresAt(const Score& score, TimePoint now) const {
  const std::chrono::duration<double> since = now - score.updated;
  return score.failures * std::exp2(-(since / kForgetHalf));
}

const KnownEndpoint* ServiceSelector::Pick(const EndpointDirectory& directory,
                                           const std::string& service,
                                           TimePoint now,
                                           const std::set<std::string>& tried,
                                           bool must_be_sound) const {
  const KnownEndpoint* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const auto& [id, known] : directory.endpoints()) {
    if (known.record.service != service || !known.IsUsable(now) ||
        tried.contains(id)) {
      continue;
    }
    const auto found = scores_.find(id);
    const Score score = found == scores_.end() ? Score{} : found->second;
    const double failures = FailuresAt(score, now);
    double cost = (score.answer_ms > 0 ? score.answer_ms : kUnseenMs) *
                  (1 + score.in_flight) * (1 + kFailureWeight * failures);
    if (must_be_sound && failures > kUnsound) {
      cost *= 1 / kUnsound * kFailureWeight;
    }
    if (known.record.data_centre != data_centre_) {
      cost *= kRemoteFactor;
    }
    if (cost < best_cost) {
      best_cost = cost;
      best = &known;
    }
  }
  return best;
}

void ServiceSelector::OnSent(const std::string& id) {
  ++scores_[id].in_flight;
}

void ServiceSelector::OnAnswered(const std::string& id,
                                 TimePoint now,
                                 Duration time,
                                 bool ok) {
  Score& score = scores_[id];
  score.in_flight -= score.in_flight > 0 ? 1 : 0;
  const double ms = std::chrono::duration<double, std::milli>(time).count();
  score.answer_ms = score.answer_ms <= 0
                        ? ms
                        : (1 - kNewest) * score.answer_ms + kNewest * ms;
  score.failures =
      (1 - kNewest) * FailuresAt(score, now) + kNewest * (ok ? 0 : 1);
  score.updated = now;
}

void ServiceSelector::OnEnded(const std::string& id) {
  Score& score = scores_[id];
  score.in_flight -= score.in_flight > 0 ? 1 : 0;
}

}  // namespace sycamoreford
