#include "sycamoreford/relay/service_selector.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sycamoreford {
namespace {

/// Weight of the newest response in the moving averages.
constexpr double kSmoothingFactor = 0.3;
/// Response time assumed before the first response, in ms; typical of a small
/// request.
constexpr double kInitialResponseMs = 60;
/// Failure rate above which an endpoint counts as unhealthy.
constexpr double kUnhealthyFailureRate = 0.5;
/// Weight of the failure rate relative to the response time: an endpoint that
/// fails half of its requests counts as five times slower.
constexpr double kFailureWeight = 8;
/// Cost factor for endpoints in another data centre.
constexpr double kRemoteFactor = 1.1;
/// Half-life of the failure rate, so that an endpoint without requests is tried
/// again.
constexpr std::chrono::duration<double> kFailureHalfLife{1.5};

}  // namespace

double ServiceSelector::FailureRateAt(const EndpointScore& score,
                                      TimePoint now) const {
  const std::chrono::duration<double> since = now - score.updated_at;
  return score.failure_rate * std::exp2(-(since / kFailureHalfLife));
}

const KnownEndpoint* ServiceSelector::Pick(const EndpointDirectory& directory,
                                           const std::string& service,
                                           TimePoint now,
                                           const std::set<std::string>& tried,
                                           bool avoid_unhealthy) const {
  const KnownEndpoint* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  for (const auto& [id, known] : directory.endpoints()) {
    if (known.record.service != service || !known.IsUsable(now) ||
        tried.contains(id)) {
      continue;
    }
    const auto found = scores_.find(id);
    const EndpointScore score =
        found == scores_.end() ? EndpointScore{} : found->second;
    const double failure_rate = FailureRateAt(score, now);
    double cost =
        (score.response_ms > 0 ? score.response_ms : kInitialResponseMs) *
        (1 + score.in_flight) * (1 + kFailureWeight * failure_rate);
    if (avoid_unhealthy && failure_rate > kUnhealthyFailureRate) {
      cost *= 1 / kUnhealthyFailureRate * kFailureWeight;
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

void ServiceSelector::OnResponse(const std::string& id,
                                 TimePoint now,
                                 Duration time,
                                 bool ok) {
  EndpointScore& score = scores_[id];
  score.in_flight -= score.in_flight > 0 ? 1 : 0;
  RecordResult(score, now, time, ok);
}

void ServiceSelector::OnOverdue(const std::string& id,
                                TimePoint now,
                                Duration time) {
  RecordResult(scores_[id], now, time, false);
}

void ServiceSelector::RecordResult(EndpointScore& score,
                                   TimePoint now,
                                   Duration time,
                                   bool ok) const {
  const double ms = std::chrono::duration<double, std::milli>(time).count();
  score.response_ms =
      score.response_ms <= 0
          ? ms
          : (1 - kSmoothingFactor) * score.response_ms + kSmoothingFactor * ms;
  score.failure_rate = (1 - kSmoothingFactor) * FailureRateAt(score, now) +
                       kSmoothingFactor * (ok ? 0 : 1);
  score.updated_at = now;
}

void ServiceSelector::OnEnded(const std::string& id) {
  EndpointScore& score = scores_[id];
  score.in_flight -= score.in_flight > 0 ? 1 : 0;
}

}  // namespace sycamoreford
