#include "sycamoreford/relay/endpoint_limits.h"

#include <algorithm>

namespace sycamoreford {

void EndpointLimits::SetDaemons(std::uint32_t daemons,
                                std::uint32_t interval_factor) {
  daemons_ = std::max(1U, daemons);
  interval_factor_ = std::max(1U, interval_factor);
  for (auto& [endpoint, entry] : entries_) {
    entry.limit.SetDaemons(daemons_, interval_factor_);
  }
}

EndpointLimits::Entry* EndpointLimits::FindOrAdd(const std::string& endpoint,
                                                 TimePoint now) {
  const auto found = entries_.find(endpoint);
  if (found != entries_.end()) {
    return &found->second;
  }
  if (entries_.size() >= kMaxEndpoints) {
    Expire(now);
  }
  if (entries_.size() >= kMaxEndpoints) {
    ++ignored_count_;
    return nullptr;
  }
  Entry entry{.limit = SharedRateLimit(0, now), .used_at = now};
  entry.limit.SetDaemons(daemons_, interval_factor_);
  return &entries_.emplace(endpoint, std::move(entry)).first->second;
}

bool EndpointLimits::Update(Entry& entry,
                            std::optional<double> per_second,
                            TimePoint evidence_at,
                            TimePoint now) {
  if (!per_second) {
    const bool ends = entry.is_in_force && evidence_at > entry.stated_at;
    if (ends) {
      ++version_;
      entry.is_in_force = false;
      entry.ended_at = evidence_at;
    }
    return ends;
  }
  if (evidence_at <= std::max(entry.stated_at, entry.ended_at)) {
    return false;
  }
  entry.stated_at = evidence_at;
  const double before = entry.limit.per_second();
  entry.limit.SetRate(*per_second, now);
  const bool has_changed =
      !entry.is_in_force || before != entry.limit.per_second();
  entry.is_in_force = true;
  version_ += has_changed ? 1 : 0;
  return has_changed;
}

bool EndpointLimits::OnResponse(const std::string& endpoint,
                                std::optional<double> per_second,
                                TimePoint sent_at,
                                TimePoint now) {
  if (!per_second && !entries_.contains(endpoint)) {
    return false;
  }
  Entry* entry = FindOrAdd(endpoint, now);
  if (entry == nullptr ||
      !Update(*entry, per_second, per_second ? now : sent_at, now)) {
    return false;
  }
  entry->has_news = true;
  return true;
}

bool EndpointLimits::OnReport(const EndpointLimitReport& report,
                              const std::string& daemon,
                              TimePoint now) {
  const bool is_known = entries_.contains(report.endpoint);
  if (!is_known && (!report.per_second || report.age > kTtl)) {
    return false;
  }
  Entry* entry = FindOrAdd(report.endpoint, now);
  if (entry == nullptr) {
    return false;
  }
  const bool has_changed =
      Update(*entry, report.per_second, now - report.age, now);
  entry->limit.OnPeerSends(daemon, report.sends, now);
  return has_changed;
}

std::set<std::string> EndpointLimits::Exhausted(TimePoint now) {
  std::set<std::string> exhausted;
  for (auto& [endpoint, entry] : entries_) {
    if (entry.is_in_force && !entry.limit.MaySend(now)) {
      exhausted.insert(endpoint);
    }
  }
  return exhausted;
}

bool EndpointLimits::MaySend(const std::string& endpoint, TimePoint now) {
  const auto found = entries_.find(endpoint);
  return found == entries_.end() || !found->second.is_in_force ||
         found->second.limit.MaySend(now);
}

bool EndpointLimits::MayOverdraw(const std::string& endpoint, TimePoint now) {
  const auto found = entries_.find(endpoint);
  return found == entries_.end() || !found->second.is_in_force ||
         found->second.limit.MayOverdraw(now);
}

Duration EndpointLimits::TimeUntilAvailable(const std::string& endpoint,
                                            TimePoint now) {
  const auto found = entries_.find(endpoint);
  return found == entries_.end() || !found->second.is_in_force
             ? Duration::zero()
             : found->second.limit.TimeUntilAvailable(now);
}

bool EndpointLimits::OnSent(const std::string& endpoint, TimePoint now) {
  const auto found = entries_.find(endpoint);
  if (found == entries_.end() || !found->second.is_in_force) {
    return false;
  }
  found->second.limit.OnSent(now);
  found->second.used_at = now;
  found->second.has_news = true;
  ++found->second.unreported_sends;
  return true;
}

std::optional<double> EndpointLimits::Find(const std::string& endpoint) const {
  const auto found = entries_.find(endpoint);
  return found == entries_.end() || !found->second.is_in_force
             ? std::nullopt
             : std::optional(found->second.limit.per_second());
}

std::set<std::string> EndpointLimits::InForce() const {
  std::set<std::string> endpoints;
  for (const auto& [endpoint, entry] : entries_) {
    if (entry.is_in_force) {
      endpoints.insert(endpoint);
    }
  }
  return endpoints;
}

std::size_t EndpointLimits::count() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(),
                    [](const auto& it) { return it.second.is_in_force; }));
}

std::vector<EndpointLimitReport> EndpointLimits::DueReports(TimePoint now) {
  Expire(now);
  std::vector<EndpointLimitReport> reports;
  for (auto& [endpoint, entry] : entries_) {
    if (!IsReportDue(entry, now)) {
      continue;
    }
    entry.reported_at = now;
    entry.has_news = false;
    entry.unreported_sends = 0;
    reports.push_back(ReportOn(endpoint, entry, now));
  }
  return reports;
}

bool EndpointLimits::IsReportDue(const Entry& entry, TimePoint now) const {
  const Duration since = now - entry.reported_at;
  if (!entry.has_news) {
    return since >= kReportInterval * interval_factor_;
  }
  const bool has_batch =
      entry.unreported_sends > 0 &&
      static_cast<double>(entry.unreported_sends) * kMaxSendReportsPerSecond >=
          entry.limit.per_second();
  return has_batch || since >= kNewsIntervalPerDaemon * daemons_;
}

std::vector<EndpointLimitReport> EndpointLimits::Reports(TimePoint now) const {
  std::vector<EndpointLimitReport> reports;
  for (const auto& [endpoint, entry] : entries_) {
    if (entry.is_in_force) {
      reports.push_back(ReportOn(endpoint, entry, now));
    }
  }
  return reports;
}

EndpointLimitReport EndpointLimits::ReportOn(const std::string& endpoint,
                                             const Entry& entry,
                                             TimePoint now) {
  EndpointLimitReport report{.endpoint = endpoint,
                             .age = now - entry.ended_at,
                             .sends = entry.limit.sends()};
  if (entry.is_in_force) {
    report.per_second = entry.limit.per_second();
    report.age = now - entry.stated_at;
  }
  return report;
}

void EndpointLimits::Expire(TimePoint now) {
  const std::size_t erased = std::erase_if(entries_, [&](const auto& it) {
    const Entry& entry = it.second;
    return entry.is_in_force
               ? now - std::max(entry.stated_at, entry.used_at) > kTtl
               : now - entry.ended_at > kEndRepeatTime * interval_factor_;
  });
  version_ += erased;
}

}  // namespace sycamoreford
