#include "sycamoreford/admission/admission.h"

#include <algorithm>
#include <cmath>

namespace sycamoreford {
namespace {

using Seconds = std::chrono::duration<double>;

/// Weight of the newest request in the smoothed holding time.
constexpr double kHoldingWeight = 0.1;
constexpr std::uint32_t kMostWaiting = 4'096;
constexpr double kLeastRetrySeconds = 0.25;
constexpr std::chrono::seconds kSweepInterval{1};
/// Time after which an unused pool is forgotten.
constexpr std::chrono::minutes kPoolLife{10};

}  // namespace

std::chrono::milliseconds Admission::Spread(double seconds) {
  random_ ^= random_ << 13U;
  random_ ^= random_ >> 7U;
  random_ ^= random_ << 17U;
  const double uniform = static_cast<double>(random_ >> 11U) / (1ULL << 53U);
  const double spread = std::max(seconds, kLeastRetrySeconds) * (1 + uniform);
  return std::chrono::ceil<std::chrono::milliseconds>(Seconds(spread));
}

std::optional<Failure> Admission::CheckLimits(const AdmissionRequest& request,
                                              TimePoint now) {
  const CustomerTerms& terms = request.terms;
  Customer& customer = customers_[request.customer];
  if (terms.max_in_flight > 0 && customer.in_flight >= terms.max_in_flight) {
    return Failure{.code = Errc::kLimitExceeded,
                   .where = "max_in_flight",
                   .retry_after = Spread(pools_[request.pool].holding)};
  }
  if (terms.max_per_second > 0) {
    const double most = std::max(terms.max_per_second, 1.0);
    const Seconds since = now - customer.allowance_at;
    customer.allowance = std::min(
        most, customer.max_per_second == 0
                  ? most
                  : customer.allowance + since.count() * terms.max_per_second);
    customer.allowance_at = now;
    customer.max_per_second = terms.max_per_second;
    if (customer.allowance < 1) {
      return Failure{.code = Errc::kLimitExceeded,
                     .where = "max_requests_per_second",
                     .retry_after = Spread((1 - customer.allowance) /
                                           terms.max_per_second)};
    }
  }
  return std::nullopt;
}

std::optional<Failure> Admission::CheckWait(const AdmissionRequest& request,
                                            const Pool& pool,
                                            TimePoint now) {
  const std::uint32_t places = pool.limit.value();
  if (pool.running < places && pool.waiting == 0) {
    return std::nullopt;
  }
  double ahead = 0;
  for (const auto& [number, rank] : pool.ranks) {
    if (number < request.terms.rank) {
      ahead += rank.waiting;
    }
    if (number != request.terms.rank) {
      continue;
    }
    const auto own = rank.lines.find(request.customer);
    const double turns =
        own == rank.lines.end()
            ? 1
            : static_cast<double>(own->second.waiting.size()) + 1;
    for (const auto& [customer, line] : rank.lines) {
      const auto length = static_cast<double>(line.waiting.size());
      ahead +=
          customer == request.customer
              ? length
              : std::min(length, turns * line.weight / request.terms.weight);
    }
  }
  // Places come free one after another, evenly over the usual holding time.
  const double wait = places == 0 ? 0 : (ahead + 1) * pool.holding / places;
  const auto expected = std::chrono::duration_cast<Duration>(Seconds(wait));
  const auto served =
      std::chrono::duration_cast<Duration>(Seconds(wait + pool.holding));
  if (now + served >= request.deadline) {
    return Failure{.code = Errc::kDeadlineExceeded,
                   .where = "queue",
                   .retry_after = Spread(wait)};
  }
  if (expected > request.terms.max_wait ||
      request.terms.max_wait.count() == 0 || pool.waiting >= kMostWaiting) {
    return Failure{.code = Errc::kOverloaded,
                   .where = "queue",
                   .retry_after = Spread(wait)};
  }
  return std::nullopt;
}

Result<AdmissionId> Admission::Offer(const AdmissionRequest& request,
                                     TimePoint now) {
  Sweep(now);
  if (now >= request.deadline) {
    return Failure{.code = Errc::kDeadlineExceeded, .where = "deadline"};
  }
  Pool& pool = pools_[request.pool];
  pool.used_at = now;
  pool.limit.Configure(request.first_places, request.places,
                       request.most_places, request.unit_seconds);
  if (auto refusal = CheckLimits(request, now)) {
    return *refusal;
  }
  if (auto refusal = CheckWait(request, pool, now)) {
    return *refusal;
  }
  Customer& customer = customers_[request.customer];
  ++customer.in_flight;
  customer.allowance -= request.terms.max_per_second > 0 ? 1 : 0;
  const AdmissionId id(next_id_++);
  Rank& rank = pool.ranks[request.terms.rank];
  Line& line = rank.lines[request.customer];
  line.weight = request.terms.weight;
  if (line.waiting.empty()) {
    line.next_start = std::max(line.next_start, rank.virtual_time);
  }
  line.waiting.push_back(id);
  ++rank.waiting;
  ++pool.waiting;
  const TimePoint expires =
      std::min(request.deadline, now + request.terms.max_wait);
  requests_[id] = {.pool = request.pool,
                   .customer = request.customer,
                   .rank = request.terms.rank,
                   .expires = expires,
                   .deadline = request.deadline};
  expiries_.emplace(expires, id);
  return id;
}

void Admission::Remove(AdmissionId id, const Request& request) {
  Pool& pool = pools_[request.pool];
  Rank& rank = pool.ranks[request.rank];
  Line& line = rank.lines[request.customer];
  if (request.is_running) {
    --pool.running;
    --rank.running;
    --line.running;
  } else {
    std::erase(line.waiting, id);
    --rank.waiting;
    --pool.waiting;
    expiries_.erase({request.expires, id});
  }
  --customers_[request.customer].in_flight;
  requests_.erase(id);
}

void Admission::End(AdmissionId id,
                    AdmissionEnd how,
                    TimePoint now,
                    std::uint32_t units) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  const Request request = found->second;
  Remove(id, request);
  if (!request.is_running) {
    return;
  }
  Pool& pool = pools_[request.pool];
  const double held = Seconds(now - request.started).count();
  Line& line = pool.ranks[request.rank].lines[request.customer];
  line.next_start += (held - request.charged) / line.weight;
  const auto holding =
      std::chrono::duration_cast<Duration>(Seconds(pool.holding));
  switch (how) {
    case AdmissionEnd::kServed:
      pool.holding =
          pool.holding == 0
              ? held
              : pool.holding + kHoldingWeight * (held - pool.holding);
      if (units > 0 && held > 0) {
        pool.limit.OnServed(pool.waiting > 0, held / units, holding, now);
      }
      return;
    case AdmissionEnd::kRefused:
      pool.limit.OnRefused(holding, now);
      return;
  }
}

void Admission::Expire(TimePoint now,
                       std::vector<AdmissionDecision>& decisions) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    const AdmissionId id = expiries_.begin()->second;
    const Request request = requests_.at(id);
    Remove(id, request);
    const Errc code =
        request.deadline <= now ? Errc::kDeadlineExceeded : Errc::kOverloaded;
    decisions.push_back(
        {id, Failure{.code = code,
                     .where = "queue",
                     .retry_after = Spread(pools_[request.pool].holding)}});
  }
}

void Admission::StartNext(Pool& pool,
                          TimePoint now,
                          std::vector<AdmissionDecision>& decisions) {
  const auto rank =
      std::find_if(pool.ranks.begin(), pool.ranks.end(),
                   [](const auto& item) { return item.second.waiting > 0; });
  Line* next = nullptr;
  for (auto& [customer, line] : rank->second.lines) {
    if (!line.waiting.empty() &&
        (next == nullptr || line.next_start < next->next_start)) {
      next = &line;
    }
  }
  const AdmissionId id = next->waiting.front();
  next->waiting.pop_front();
  --rank->second.waiting;
  --pool.waiting;
  Request& request = requests_.at(id);
  expiries_.erase({request.expires, id});
  request.is_running = true;
  request.started = now;
  request.charged = pool.holding;
  rank->second.virtual_time =
      std::max(rank->second.virtual_time, next->next_start);
  next->next_start += request.charged / next->weight;
  ++next->running;
  ++rank->second.running;
  ++pool.running;
  decisions.push_back({id, std::nullopt});
}

std::vector<AdmissionDecision> Admission::Advance(TimePoint now) {
  std::vector<AdmissionDecision> decisions;
  Expire(now, decisions);
  for (auto& [name, pool] : pools_) {
    while (pool.waiting > 0 && pool.running < pool.limit.value()) {
      StartNext(pool, now, decisions);
    }
  }
  return decisions;
}

void Admission::Sweep(TimePoint now) {
  if (now - swept_ < kSweepInterval) {
    return;
  }
  swept_ = now;
  for (auto& [name, pool] : pools_) {
    for (auto& [number, rank] : pool.ranks) {
      const bool is_idle = rank.waiting == 0 && rank.running == 0;
      const double passed = rank.virtual_time;
      std::erase_if(rank.lines, [&](const auto& item) {
        const Line& line = item.second;
        return line.waiting.empty() && line.running == 0 &&
               (is_idle || line.next_start <= passed);
      });
    }
    std::erase_if(pool.ranks,
                  [](const auto& item) { return item.second.lines.empty(); });
  }
  std::erase_if(customers_, [&](const auto& item) {
    const Customer& customer = item.second;
    const Seconds since = now - customer.allowance_at;
    return customer.in_flight == 0 &&
           (customer.max_per_second == 0 ||
            customer.allowance + since.count() * customer.max_per_second >=
                std::max(customer.max_per_second, 1.0));
  });
  std::erase_if(pools_, [&](const auto& item) {
    return item.second.ranks.empty() && now - item.second.used_at > kPoolLife;
  });
}

std::optional<TimePoint> Admission::ExpiryOf(AdmissionId id) const {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.is_running) {
    return std::nullopt;
  }
  return found->second.expires;
}

std::uint32_t Admission::waiting(const std::string& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.waiting;
}

std::uint32_t Admission::running(const std::string& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.running;
}

std::uint32_t Admission::places(const std::string& pool) const {
  const auto found = pools_.find(pool);
  return found == pools_.end() ? 0 : found->second.limit.value();
}

}  // namespace sycamoreford
