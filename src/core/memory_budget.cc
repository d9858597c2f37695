#include "sycamoreford/core/memory_budget.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

#include "sycamoreford/core/log.h"

namespace sycamoreford {
namespace {

constexpr std::size_t kGrantedPart = 4;

std::size_t IndexOf(HeldKind kind) {
  return static_cast<std::size_t>(kind);
}

std::string_view ToString(HeldKind kind) {
  switch (kind) {
    case HeldKind::kRequest:
      return "request";
    case HeldKind::kResponse:
      return "response";
    case HeldKind::kControl:
      return "control";
  }
  return "";
}

/// Memory that the system grants this process, as far as it tells.
std::size_t GrantedBytes() {
  std::size_t bytes = static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) *
                      static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  rlimit limit{};
  if (getrlimit(RLIMIT_AS, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY) {
    bytes = std::min<std::size_t>(bytes, limit.rlim_cur);
  }
  std::ifstream control_group("/sys/fs/cgroup/memory.max");
  std::size_t group_bytes = 0;
  if (control_group >> group_bytes) {
    bytes = std::min(bytes, group_bytes);
  }
  return bytes;
}

}  // namespace

MemoryBudget& MemoryBudget::OfProcess() {
  static MemoryBudget budget(DefaultLimit());
  return budget;
}

std::size_t MemoryBudget::DefaultLimit() {
  return std::min(kDefaultLimit, GrantedBytes() / kGrantedPart);
}

void MemoryBudget::SetLimit(std::size_t limit) {
  const std::lock_guard lock(mutex_);
  limit_ = limit;
}

std::size_t MemoryBudget::limit() const {
  const std::lock_guard lock(mutex_);
  return limit_;
}

std::size_t MemoryBudget::held(HeldKind kind) const {
  const std::lock_guard lock(mutex_);
  return held_.at(IndexOf(kind));
}

std::uint64_t MemoryBudget::refused(HeldKind kind) const {
  const std::lock_guard lock(mutex_);
  return refused_.at(IndexOf(kind));
}

MemoryBudget::Entries::iterator MemoryBudget::Add(
    HeldKind kind,
    std::string sender,
    std::function<void()> on_lost) {
  const std::lock_guard lock(mutex_);
  return entries_.insert(entries_.end(), {.kind = kind,
                                          .sender = std::move(sender),
                                          .on_lost = std::move(on_lost)});
}

void MemoryBudget::Remove(Entries::iterator entry) {
  const std::lock_guard lock(mutex_);
  held_.at(IndexOf(entry->kind)) -= entry->bytes;
  entries_.erase(entry);
}

bool MemoryBudget::IsLost(Entries::iterator entry) const {
  const std::lock_guard lock(mutex_);
  return entry->is_lost;
}

bool MemoryBudget::Exceeds(HeldKind kind) const {
  const std::size_t requests = held_.at(IndexOf(HeldKind::kRequest));
  const std::size_t responses = held_.at(IndexOf(HeldKind::kResponse));
  const std::size_t control = held_.at(IndexOf(HeldKind::kControl));
  switch (kind) {
    case HeldKind::kRequest:
      return requests > limit_ / 2 || requests + responses > limit_ / 4 * 3;
    case HeldKind::kResponse:
      return requests + responses > limit_ / 4 * 3;
    case HeldKind::kControl:
      return requests + responses + control > limit_;
  }
  return true;
}

MemoryBudget::Entries::iterator MemoryBudget::FindLargest(HeldKind kind) {
  const auto competes = [&](const Entry& entry) {
    return !entry.is_lost && entry.on_lost && entry.kind == kind;
  };
  std::map<std::string_view, std::size_t> by_sender;
  for (const Entry& entry : entries_) {
    if (competes(entry)) {
      by_sender[entry.sender] += entry.bytes;
    }
  }
  const auto most = std::max_element(
      by_sender.begin(), by_sender.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  auto largest = entries_.end();
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    if (competes(*it) && it->sender == most->first &&
        (largest == entries_.end() || it->bytes > largest->bytes)) {
      largest = it;
    }
  }
  return largest;
}

void MemoryBudget::Lose(Entry& entry) {
  ++refused_.at(IndexOf(entry.kind));
  LogEvent(Severity::kWarning, "memory_used_up")
      .With("kind", ToString(entry.kind))
      .With("sender", entry.sender)
      .With("bytes", entry.bytes)
      .With("limit", limit_);
  held_.at(IndexOf(entry.kind)) -= entry.bytes;
  entry.bytes = 0;
  entry.is_lost = true;
}

bool MemoryBudget::Resize(Entries::iterator entry, std::size_t bytes) {
  std::vector<std::function<void()>> lost;
  bool is_kept = true;
  {
    const std::lock_guard lock(mutex_);
    if (entry->is_lost) {
      return false;
    }
    std::size_t& held = held_.at(IndexOf(entry->kind));
    const bool grows = bytes > entry->bytes;
    held -= entry->bytes;
    entry->bytes = bytes;
    held += bytes;
    const bool may_be_lost = static_cast<bool>(entry->on_lost);
    while (grows && may_be_lost && !entry->is_lost && Exceeds(entry->kind)) {
      const auto largest = FindLargest(entry->kind);
      Entry& loser = largest == entries_.end() ? *entry : *largest;
      if (&loser != &*entry) {
        lost.push_back(std::move(loser.on_lost));
      }
      Lose(loser);
    }
    is_kept = !entry->is_lost;
  }
  for (const auto& notify : lost) {
    notify();
  }
  return is_kept;
}

}  // namespace sycamoreford
