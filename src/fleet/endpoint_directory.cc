#include "sycamoreford/fleet/endpoint_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sycamoreford {
namespace {

/// Duration of the first suspicion: about the time in which a frozen endpoint
/// resumes, or its neighbours detect that it is dead.
constexpr std::chrono::milliseconds kInitialSuspicionTime{1'000};
/// Maximum duration of a suspicion; limits how long an endpoint that has
/// recovered stays unused.
constexpr std::chrono::milliseconds kMaxSuspicionTime{4'000};

/// How long an endpoint that is alive but refused a request, for lack of memory
/// or slots, is not used: about the time in which some of its requests end.
constexpr std::chrono::milliseconds kRecoveryDelay{100};

/// Refusals in a row after which an endpoint that responds to inspections is
/// not expected to take requests soon. One that lacks memory takes some.
constexpr std::uint32_t kMaxRefusals = 3;

/// Factor by which a reported slowness must differ from the stored one to
/// replace it.
constexpr double kMinSlownessChange = 1.3;

bool IsSameRun(const EndpointRecord& one, const EndpointRecord& other) {
  return one.id == other.id && one.started_at_ms == other.started_at_ms &&
         one.address == other.address;
}

}  // namespace

void EndpointDirectory::Upsert(EndpointRecord record) {
  if (record.is_leaving) {
    leaving_.Add({.run = RunOf(record)});
  }
  record.is_leaving = record.is_leaving || leaving_.Contains(RunOf(record));
  const auto [entry, is_new] = endpoints_.try_emplace(record.id);
  KnownEndpoint& known = entry->second;
  if (!is_new && IsSameRun(known.record, record)) {
    record.is_leaving = record.is_leaving || known.record.is_leaving;
    const bool changed = known.record != record || known.drop_at;
    known.record = std::move(record);
    known.drop_at.reset();
    version_ += changed ? 1 : 0;
    return;
  }
  known = KnownEndpoint();
  known.record = std::move(record);
  ++version_;
}

void EndpointDirectory::Remove(std::string_view id,
                               TimePoint now,
                               Duration grace) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    return;
  }
  if (grace <= Duration::zero()) {
    endpoints_.erase(found);
    ++version_;
  } else if (!found->second.drop_at) {
    found->second.drop_at = now + grace;
  }
}

void EndpointDirectory::Replace(std::vector<EndpointRecord> records,
                                TimePoint now,
                                Duration grace) {
  std::set<std::string, std::less<>> listed;
  for (EndpointRecord& record : records) {
    listed.insert(record.id);
    Upsert(std::move(record));
  }
  std::vector<std::string> missing;
  for (const auto& [id, known] : endpoints_) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    Remove(id, now, grace);
  }
}

bool EndpointDirectory::Expire(TimePoint now) {
  const std::size_t dropped = std::erase_if(endpoints_, [&](const auto& entry) {
    return entry.second.drop_at && now >= *entry.second.drop_at;
  });
  version_ += dropped > 0 ? 1 : 0;
  const auto is_listed = [&](const std::string& id) {
    const KnownEndpoint* known = Find(id);
    return known != nullptr && leaving_.Contains(RunOf(known->record));
  };
  if (leaving_.Expire(now, is_listed)) {
    for (auto& [id, known] : endpoints_) {
      if (known.record.is_leaving && !is_listed(id)) {
        known.record.is_leaving = false;
        ++version_;
      }
    }
  }
  return dropped > 0;
}

Duration EndpointDirectory::Suspect(std::string_view id, TimePoint now) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    return Duration::zero();
  }
  KnownEndpoint& known = found->second;
  if (now + kInitialSuspicionTime / 2 < known.suspected_until) {
    return known.suspected_until - now;
  }
  const auto time =
      std::min(kInitialSuspicionTime * (1U << known.consecutive_suspicions),
               kMaxSuspicionTime);
  known.consecutive_suspicions = std::min(known.consecutive_suspicions + 1, 2U);
  known.suspected_until = now + time;
  known.is_recovering = false;
  ++version_;
  return time;
}

void EndpointDirectory::OnAlive(std::string_view id, TimePoint now) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end() || found->second.suspected_until <= now) {
    return;
  }
  KnownEndpoint& known = found->second;
  if (known.consecutive_refusals >= kMaxRefusals) {
    return;
  }
  known.consecutive_suspicions = 0;
  known.is_recovering = true;
  // The endpoint may be asked repeatedly; that must not extend the delay again
  // and again.
  if (now + kRecoveryDelay < known.suspected_until) {
    known.suspected_until = now + kRecoveryDelay;
    ++version_;
  }
}

void EndpointDirectory::OnRefused(std::string_view id) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end()) {
    ++found->second.consecutive_refusals;
  }
}

void EndpointDirectory::OnPassed(std::string_view id) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end()) {
    found->second.consecutive_refusals = 0;
  }
}

bool EndpointDirectory::OnSlowness(std::string_view id, double slowness) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    return false;
  }
  const double reported = std::max(1.0, slowness);
  double& known = found->second.slowness;
  const bool is_significant = reported > known * kMinSlownessChange ||
                              reported * kMinSlownessChange < known;
  if (is_significant) {
    known = reported;
    ++version_;
  }
  return is_significant;
}

void EndpointDirectory::SetOutOfReach(std::string_view id,
                                      bool is_out_of_reach) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end()) {
    found->second.is_out_of_reach = is_out_of_reach;
  }
}

void EndpointDirectory::OnSuccess(std::string_view id) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end()) {
    found->second.consecutive_suspicions = 0;
  }
}

bool EndpointDirectory::OnLeaving(const LeavingRun& leaving) {
  const bool is_news = leaving_.Add(leaving);
  const auto found = endpoints_.find(leaving.run.id);
  if (found != endpoints_.end() &&
      leaving_.Contains(RunOf(found->second.record)) &&
      !found->second.record.is_leaving) {
    found->second.record.is_leaving = true;
    ++version_;
  }
  return is_news;
}

void EndpointDirectory::OnLayers(std::string_view id, LayerRange layers) {
  const auto found = endpoints_.find(id);
  if (found != endpoints_.end() && found->second.record.layers != layers) {
    found->second.record.layers = layers;
    ++version_;
  }
}

const KnownEndpoint* EndpointDirectory::Find(std::string_view id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

const KnownEndpoint* EndpointDirectory::FindByAddress(
    std::string_view address) const {
  const auto found = std::find_if(
      endpoints_.begin(), endpoints_.end(),
      [&](const auto& it) { return it.second.record.address == address; });
  return found == endpoints_.end() ? nullptr : &found->second;
}

}  // namespace sycamoreford
