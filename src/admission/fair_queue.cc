#include "sycamoreford/admission/fair_queue.h"

#include <algorithm>

namespace sycamoreford {

void FairQueue::Push(const QueuedRequest& request) {
  Rank& rank = ranks_[request.rank];
  CustomerQueue& queue = rank.queues[request.customer];
  queue.weight = request.weight;
  if (queue.waiting.empty()) {
    queue.next_start = std::max(queue.next_start, rank.virtual_time);
  }
  queue.waiting.push_back(request.id);
  ++rank.waiting;
  ++waiting_;
  entries_[request.id] = {.rank = request.rank,
                          .customer = request.customer,
                          .expires = request.expires};
  expiries_.emplace(request.expires, request.id);
}

std::optional<AdmissionId> FairQueue::Next() const {
  const auto rank =
      std::find_if(ranks_.begin(), ranks_.end(),
                   [](const auto& it) { return it.second.waiting > 0; });
  if (rank == ranks_.end()) {
    return std::nullopt;
  }
  const CustomerQueue* next = nullptr;
  for (const auto& [customer, queue] : rank->second.queues) {
    if (!queue.waiting.empty() &&
        (next == nullptr || queue.next_start < next->next_start)) {
      next = &queue;
    }
  }
  return next->waiting.front();
}

std::optional<AdmissionId> FairQueue::Last() const {
  const auto rank =
      std::find_if(ranks_.rbegin(), ranks_.rend(),
                   [](const auto& it) { return it.second.waiting > 0; });
  if (rank == ranks_.rend()) {
    return std::nullopt;
  }
  const CustomerQueue* last = nullptr;
  double last_start = 0;
  for (const auto& [customer, queue] : rank->second.queues) {
    // The costs of requests that wait are not known; those of a customer count
    // alike.
    const double start =
        queue.next_start +
        static_cast<double>(queue.waiting.size()) / queue.weight;
    if (!queue.waiting.empty() && (last == nullptr || start >= last_start)) {
      last = &queue;
      last_start = start;
    }
  }
  return last->waiting.back();
}

void FairQueue::Start(AdmissionId id, double cost) {
  Entry& entry = entries_.at(id);
  Rank& rank = ranks_.at(entry.rank);
  CustomerQueue& queue = rank.queues.at(entry.customer);
  queue.waiting.pop_front();
  expiries_.erase({entry.expires, id});
  entry.is_running = true;
  entry.charged_cost = cost;
  rank.virtual_time = std::max(rank.virtual_time, queue.next_start);
  queue.next_start += cost / queue.weight;
  --rank.waiting;
  --waiting_;
  ++queue.running;
  ++rank.running;
  ++running_;
}

void FairQueue::End(AdmissionId id, double cost) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  const Entry& entry = found->second;
  if (entry.is_running) {
    CustomerQueue& queue = ranks_.at(entry.rank).queues.at(entry.customer);
    queue.next_start += (cost - entry.charged_cost) / queue.weight;
  }
  Remove(id);
}

void FairQueue::Remove(AdmissionId id) {
  const auto found = entries_.find(id);
  if (found == entries_.end()) {
    return;
  }
  const Entry& entry = found->second;
  Rank& rank = ranks_.at(entry.rank);
  CustomerQueue& queue = rank.queues.at(entry.customer);
  if (entry.is_running) {
    --queue.running;
    --rank.running;
    --running_;
  } else {
    std::erase(queue.waiting, id);
    expiries_.erase({entry.expires, id});
    --rank.waiting;
    --waiting_;
  }
  entries_.erase(found);
}

std::vector<AdmissionId> FairQueue::TakeExpired(TimePoint now) {
  std::vector<AdmissionId> expired;
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    expired.push_back(expiries_.begin()->second);
    Remove(expired.back());
  }
  return expired;
}

std::optional<TimePoint> FairQueue::ExpiryOf(AdmissionId id) const {
  const auto found = entries_.find(id);
  return found == entries_.end() || found->second.is_running
             ? std::nullopt
             : std::optional(found->second.expires);
}

double FairQueue::RequestsAhead(std::uint32_t rank,
                                const CustomerId& customer,
                                double weight) const {
  double ahead = 0;
  for (const auto& [number, other] : ranks_) {
    if (number < rank) {
      ahead += other.waiting;
    }
    if (number != rank) {
      continue;
    }
    const auto own = other.queues.find(customer);
    const double own_requests =
        own == other.queues.end()
            ? 1
            : static_cast<double>(own->second.waiting.size()) + 1;
    for (const auto& [name, queue] : other.queues) {
      const auto length = static_cast<double>(queue.waiting.size());
      ahead += name == customer
                   ? length
                   : std::min(length, own_requests * queue.weight / weight);
    }
  }
  return ahead;
}

void FairQueue::Sweep() {
  for (auto& [number, rank] : ranks_) {
    const bool is_idle = rank.waiting == 0 && rank.running == 0;
    const double virtual_time = rank.virtual_time;
    std::erase_if(rank.queues, [&](const auto& it) {
      const CustomerQueue& queue = it.second;
      return queue.waiting.empty() && queue.running == 0 &&
             (is_idle || queue.next_start <= virtual_time);
    });
  }
  std::erase_if(ranks_,
                [](const auto& it) { return it.second.queues.empty(); });
}

}  // namespace sycamoreford
