#include "sycamoreford/relay/chain_admission.h"

#include <algorithm>
#include <cmath>

namespace sycamoreford {
namespace {

/// A request waits at most for this share of its target; its response needs the
/// rest.
constexpr double kMaxWaitShare = 0.5;
/// A rank starves if less of it starts, relative to all ranks, than this share:
/// a kind of request that is served less than a quarter as often as all counts
/// as not served.
constexpr double kStarvingShare = 0.3;
/// Maximum share of a chain's room that is kept for more urgent requests.
constexpr double kMaxReservedShare = 0.5;
/// Weight of the newest request in moving averages.
constexpr double kSmoothingFactor = 0.05;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration Smooth(Duration mean, Duration newest) {
  return mean + std::chrono::duration_cast<Duration>(kSmoothingFactor *
                                                     (newest - mean));
}

/// Rank in the queue. Streams that have begun go before all others.
std::uint32_t QueueRank(const ChainRequest& request) {
  return request.last_event ? 0 : request.rank + 1;
}

}  // namespace

Duration ChainAdmission::MaxWait(const ChainRequest& request) const {
  const Duration longest = std::chrono::duration_cast<Duration>(
      kMaxWaitShare * Duration(request.target_latency));
  return std::clamp(request.target_latency - mean_first_event_,
                    Duration::zero(), longest);
}

ChainAdmission::Entered ChainAdmission::Enter(const ChainRequest& request,
                                              TimePoint now) {
  queue_.Sweep();
  if (!request.was_sent) {
    RankTokens& tokens = ranks_[request.rank];
    tokens.asked.Add(request.tokens, now);
    tokens.asked_lately.Add(request.tokens, now);
  }
  const Duration max_wait = MaxWait(request);
  const TimePoint expires =
      request.last_event ? *request.last_event + kMaxPause : now + max_wait;
  const AdmissionId id(next_id_++);
  queue_.Push({.id = id,
               .rank = QueueRank(request),
               .customer = request.customer,
               .expires = std::min(expires, request.deadline)});
  requests_[id] = {.request = request, .started_at = std::nullopt};
  new_waiting_ += request.last_event ? 0 : 1;
  const double expected_starts =
      std::ceil(starts_.PerSecond(now) * ToSeconds(max_wait));
  if (request.last_event || new_waiting_ <= std::max(1.0, expected_starts)) {
    return {.id = id, .evicted = std::nullopt};
  }
  const AdmissionId last = *queue_.Last();
  Leave(last, true, now);
  return last == id ? Entered{} : Entered{.id = id, .evicted = last};
}

bool ChainAdmission::IsStarving(const ChainRequest& request,
                                TimePoint now) const {
  double asked = 0;
  double started = 0;
  for (const auto& [number, tokens] : ranks_) {
    asked += tokens.asked.Value(now);
    started += tokens.started.Value(now);
  }
  const auto own = ranks_.find(request.rank);
  if (own == ranks_.end() || asked <= 0) {
    return false;
  }
  // That this request waits does not show that its rank starves.
  const double asked_before = own->second.asked.Value(now) - request.tokens;
  return own->second.started.Value(now) <
         kStarvingShare * asked_before * started / asked;
}

double ChainAdmission::ReservedShare(const ChainRequest& request,
                                     Duration knowledge_age,
                                     TimePoint now) const {
  if (request.was_sent || IsStarving(request, now)) {
    return 0;
  }
  double urgent = 0;
  double started = 0;
  for (const auto& [number, tokens] : ranks_) {
    urgent += number < request.rank ? tokens.asked.Value(now) : 0;
    started += tokens.started.Value(now);
  }
  if (urgent <= 0 || started <= 0) {
    return 0;
  }
  // A chain that is full starts its room once in the duration of a request.
  return std::min(kMaxReservedShare,
                  urgent / started * ToSeconds(knowledge_age + kReportDelay) /
                      ToSeconds(mean_duration_));
}

void ChainAdmission::Start(AdmissionId id, TimePoint now) {
  Request& request = requests_.at(id);
  request.started_at = now;
  queue_.Start(id, request.request.tokens * ToSeconds(mean_duration_));
  if (!request.request.was_sent) {
    ranks_[request.request.rank].started.Add(request.request.tokens, now);
    starts_.Add(1, now);
  }
  new_waiting_ -= request.request.last_event ? 0 : 1;
}

void ChainAdmission::Leave(AdmissionId id, bool is_refused, TimePoint now) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  const Request& request = found->second;
  if (request.started_at) {
    const Duration duration = now - *request.started_at;
    mean_duration_ = Smooth(mean_duration_, duration);
    queue_.End(id, request.request.tokens * ToSeconds(duration));
  } else {
    queue_.Remove(id);
    new_waiting_ -= request.request.last_event ? 0 : 1;
    if (is_refused && !request.request.was_sent) {
      ranks_[request.request.rank].refused_lately.Add(request.request.tokens,
                                                      now);
    }
  }
  requests_.erase(found);
}

void ChainAdmission::OnFirstEvent(Duration since_start) {
  mean_first_event_ = Smooth(mean_first_event_, since_start);
}

std::chrono::milliseconds ChainAdmission::RetryAfter(std::uint32_t rank,
                                                     TimePoint now) const {
  const auto found = ranks_.find(rank);
  if (found == ranks_.end()) {
    return std::chrono::milliseconds(0);
  }
  const double asked = found->second.asked_lately.Value(now);
  const double share =
      asked <= 0
          ? 0
          : std::min(1.0, found->second.refused_lately.Value(now) / asked);
  // All room is taken anew in the duration of a request. Where more is refused,
  // more come back, and to less room.
  return std::chrono::duration_cast<std::chrono::milliseconds>(2 * share *
                                                               mean_duration_);
}

}  // namespace sycamoreford
