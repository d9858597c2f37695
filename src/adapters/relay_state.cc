#include "sycamoreford/adapters/relay_state.h"

#include <algorithm>
#include <utility>

#include "sycamoreford/core/log.h"
#include "sycamoreford/placement/placement_scheduler.h"

namespace sycamoreford {
namespace {

/// Number of daemons assumed until they have been counted. More than a small
/// installation has, so that shares of limits are too small rather than too
/// large.
constexpr std::uint32_t kAssumedDaemonCount = 12;

/// Interval at which other chains are tried for a silent request: several times
/// within the second for which a sound endpoint may be silent.
constexpr std::chrono::milliseconds kSilenceInterval{250};

std::string Describe(const Chain& stages) {
  std::string text;
  for (const ChainStage& stage : stages) {
    text += (text.empty() ? "" : ",") + stage.endpoint.value() + "=" +
            std::to_string(stage.layers.first) + "-" +
            std::to_string(stage.layers.end);
  }
  return text;
}

std::string Describe(const std::vector<LayerRange>& ranges) {
  std::string text;
  for (const LayerRange& range : ranges) {
    text += (text.empty() ? "" : ",") + std::to_string(range.first) + "-" +
            std::to_string(range.end);
  }
  return text;
}

}  // namespace

RelayState::RelayState(std::string data_centre, RetryLimits retry_limits)
    : data_centre_(std::move(data_centre)),
      retry_limits_(retry_limits),
      service_selector_(data_centre_),
      peers_(data_centre_),
      daemon_count_(kAssumedDaemonCount) {
  limits().SetDaemons(daemon_count_, interval_factor());
  leaving_.SetIdentifier([this](const std::string& id) {
    Inspect(id, InspectionCause::kLeaving);
  });
}

bool RelayState::Accept(std::shared_ptr<const Manifest> manifest) {
  const std::uint64_t old = manifest_ ? manifest_->revision() : 0;
  if (manifest_ && manifest->revision() <= old) {
    return false;
  }
  manifest_ = std::move(manifest);
  LogEvent(Severity::kInfo, "configuration_accepted")
      .With("revision", manifest_->revision())
      .With("previous", old)
      .With("routes", manifest_->route_count());
  if (on_configuration_) {
    on_configuration_();
  }
  return true;
}

ChainSelector& RelayState::ChainSelectorFor(const RelayService& requested,
                                            TimePoint now) {
  const RelayService* in_force = manifest_->FindService(requested.name);
  const RelayService& service =
      in_force != nullptr && in_force->engine ? *in_force : requested;
  const auto [entry, is_new] = chains_.try_emplace(
      service.name, ServiceChains{.selector = ChainSelector(data_centre_)});
  ServiceChains& cached = entry->second;
  if (cached.directory_version == directory_.version() &&
      cached.revision == manifest_->revision() &&
      cached.gate_version == gate_.version() && now < cached.valid_until) {
    return cached.selector;
  }
  cached.directory_version = directory_.version();
  cached.revision = manifest_->revision();
  cached.gate_version = gate_.version();
  cached.valid_until = TimePoint::max();
  for (const auto& [id, endpoint] : directory_.endpoints()) {
    if (endpoint.suspected_until > now) {
      cached.valid_until =
          std::min(cached.valid_until, endpoint.suspected_until);
    }
  }
  std::vector<ServingChain> chains;
  std::string missing_layers;
  for (const auto& [data_centre, accelerators] :
       GroupByDataCentre(AcceleratorsOf(directory_, service, now, true))) {
    auto built = BuildChains(*service.engine, accelerators);
    if (built.empty()) {
      missing_layers += (missing_layers.empty() ? "" : " ") + data_centre +
                        ":" +
                        Describe(MissingLayers(*service.engine, accelerators));
    }
    auto bypasses = BuildBypassChains(*service.engine, accelerators, built,
                                      gate_.Restricted(now));
    std::move(built.begin(), built.end(), std::back_inserter(chains));
    std::move(bypasses.begin(), bypasses.end(), std::back_inserter(chains));
  }
  if (missing_layers != cached.missing_layers) {
    cached.missing_layers = missing_layers;
    LogEvent(Severity::kWarning, "data_centres_without_chain")
        .With("service", service.name)
        .With("missing_layers", missing_layers)
        .With("directory_version", directory_.version());
  }
  const auto is_same = [](const ServingChain& a, const ServingChain& b) {
    return Describe(a.stages) == Describe(b.stages);
  };
  const auto& old = cached.selector.chains();
  if (!std::equal(old.begin(), old.end(), chains.begin(), chains.end(),
                  is_same)) {
    for (const ServingChain& chain : chains) {
      LogEvent(Severity::kInfo, "chain")
          .With("service", service.name)
          .With("data_centre", chain.data_centre)
          .With("stages", Describe(chain.stages))
          .With("room_tokens", static_cast<std::int64_t>(chain.token_capacity))
          .With("step_us", static_cast<std::int64_t>(
                               chain.decode_step_time.count() * 1'000));
    }
    LogEvent(Severity::kInfo, "chains_changed")
        .With("service", service.name)
        .With("before", old.size())
        .With("now", chains.size());
  }
  cached.selector.SetChains(std::move(chains));
  cached.selector.loads().Expire(now);
  return cached.selector;
}

void RelayState::OnReportedLoad(const std::string& service,
                                const std::string& first,
                                ReportedLoad load,
                                TimePoint now) {
  const auto found = chains_.find(service);
  if (found == chains_.end()) {
    return;
  }
  ChainSelector& selector = found->second.selector;
  selector.OnReportedLoad(first, load, now);
  if (!notify_loads_ || !manifest_->HasSeveralRanks(service)) {
    return;
  }
  if (const auto report = selector.loads().TakeUntold(first, now)) {
    metrics_.OnLoadTold(service);
    notify_loads_(service, *report);
  }
}

Duration RelayState::ChainKnowledgeAge(const std::string& service,
                                       TimePoint now) const {
  const auto found = chains_.find(service);
  return found == chains_.end() ? Duration(ChainLoads::kTtl)
                                : found->second.selector.KnowledgeAge(now);
}

void RelayState::OnToldLoad(const std::string& service,
                            const ChainLoadReport& report,
                            TimePoint now) {
  const auto found = chains_.find(service);
  if (found != chains_.end() && manifest_->HasSeveralRanks(service)) {
    metrics_.OnLoadHeard(service);
    found->second.selector.loads().OnTold(report, now);
  }
}

FleetRetryBudget& RelayState::RetryBudgetFor(const std::string& service) {
  return retry_budgets_.try_emplace(service, retry_limits_).first->second;
}

void RelayState::SetRetryLimits(RetryLimits limits) {
  retry_limits_ = limits;
  for (auto& [service, budget] : retry_budgets_) {
    budget.SetLimits(limits);
  }
}

std::list<ActiveAttempt>::iterator RelayState::AddAttempt(
    ActiveAttempt attempt) {
  return attempts_.insert(attempts_.end(), std::move(attempt));
}

void RelayState::RemoveAttempt(std::list<ActiveAttempt>::iterator attempt) {
  attempts_.erase(attempt);
}

std::set<std::string> RelayState::StagesOfActiveChains(
    const std::string& first) const {
  std::set<std::string> ids;
  for (const ActiveAttempt& attempt : attempts_) {
    if (!attempt.stages.empty() &&
        attempt.stages.front().endpoint.value() == first) {
      for (const ChainStage& stage : attempt.stages) {
        ids.insert(stage.endpoint.value());
      }
    }
  }
  return ids;
}

void RelayState::OnEndpointFault(const std::string& id, TimePoint now) {
  directory_.Suspect(id, now);
  Inspect(id, InspectionCause::kFault);
  // Where a few daemons inspect it for all, they also tell what they find.
  if (notify_peers_ && !duty_.IsShared()) {
    notify_peers_(id, std::nullopt);
  }
}

void RelayState::OnSlowness(const std::string& id, double slowness) {
  if (!directory_.OnSlowness(id, slowness)) {
    return;
  }
  LogEvent(Severity::kInfo, "endpoint_pace")
      .With("endpoint", id)
      .With("slowness_percent", static_cast<std::int64_t>(slowness * 100));
  if (notify_peers_) {
    notify_peers_(id, slowness);
  }
}

void RelayState::OnStatedLimit(const std::string& id,
                               std::optional<double> per_second,
                               TimePoint sent_at,
                               TimePoint now) {
  if (!limits().OnResponse(id, per_second, sent_at, now)) {
    return;
  }
  LogLimit(id);
  if (notify_limits_) {
    notify_limits_();
  }
}

void RelayState::OnLimitReport(const EndpointLimitReport& report,
                               const std::string& daemon,
                               TimePoint now) {
  if (limits().OnReport(report, daemon, now)) {
    LogLimit(report.endpoint);
  }
}

void RelayState::OnRetryAfter(const EndpointRunId& run,
                              std::chrono::milliseconds time,
                              BackoffSource source,
                              TimePoint now) {
  if (!gate_.backoffs().Add(run, time, now)) {
    return;
  }
  metrics_.OnBackoff(ToString(source));
  LogEvent(Severity::kInfo, "endpoint_backoff")
      .With("endpoint", run.id)
      .With("started_at_ms", run.started_at_ms)
      .With("for_ms", time)
      .With("source", ToString(source));
}

void RelayState::ExpireBackoffs(TimePoint now) {
  for (const EndpointRunId& run : gate_.backoffs().Expire(now)) {
    LogEvent(Severity::kInfo, "endpoint_backoff_ended")
        .With("endpoint", run.id)
        .With("started_at_ms", run.started_at_ms);
  }
}

void RelayState::OnSent(const std::string& id, TimePoint now) {
  if (limits().OnSent(id, now) && notify_limits_) {
    notify_limits_();
  }
}

void RelayState::LogLimit(const std::string& id) const {
  const auto per_second = gate_.limits().Find(id);
  if (!per_second) {
    LogEvent(Severity::kInfo, "endpoint_limit_ended").With("endpoint", id);
    return;
  }
  constexpr double kSecondsPerMinute = 60;
  LogEvent(Severity::kInfo, "endpoint_limited")
      .With("endpoint", id)
      .With("per_minute",
            static_cast<std::int64_t>(*per_second * kSecondsPerMinute));
}

void RelayState::OnConnected(TimePoint begun_at) {
  const bool was_isolated = is_isolated();
  isolation_.OnConnected(begun_at);
  if (was_isolated && !is_isolated()) {
    LogEvent(Severity::kWarning, "endpoints_regained");
  }
}

void RelayState::OnUnreachable(const std::string& id, TimePoint now) {
  const bool was_isolated = is_isolated();
  const auto known = static_cast<std::size_t>(std::count_if(
      directory_.endpoints().begin(), directory_.endpoints().end(),
      [](const auto& it) { return !it.second.record.is_leaving; }));
  isolation_.OnUnreachable(id, known, now);
  directory_.SetOutOfReach(id, true);
  if (is_isolated() && !was_isolated) {
    LogEvent(Severity::kWarning, "endpoints_lost").With("endpoints", known);
  }
}

std::vector<std::string> RelayState::DestinationsOf(const RelayService& service,
                                                    TimePoint now) {
  std::vector<std::string> ids;
  if (service.engine) {
    for (const ServingChain& chain : ChainSelectorFor(service, now).chains()) {
      ids.push_back(chain.first_endpoint());
    }
    return ids;
  }
  for (const auto& [id, known] : directory_.endpoints()) {
    if (known.record.service == service.name && known.IsUsable(now)) {
      ids.push_back(id);
    }
  }
  return ids;
}

void RelayState::Inspect(const std::string& id, InspectionCause cause) {
  if (inspect_) {
    inspect_(id, cause);
  }
}

void RelayState::OnEndpointSuspected(const std::string& id,
                                     std::string_view reason,
                                     TimePoint now) {
  const KnownEndpoint* known = directory_.Find(id);
  const bool was_usable = known != nullptr && known->IsUsable(now);
  Suspect(id, reason, now);
  // An endpoint that this daemon cannot reach may be sound.
  if (was_usable && notify_peers_ && !is_isolated()) {
    notify_peers_(id, std::nullopt);
  }
}

void RelayState::OnEndpointToldLost(const std::string& id, TimePoint now) {
  Suspect(id, "told", now);
}

void RelayState::Suspect(const std::string& id,
                         std::string_view reason,
                         TimePoint now) {
  const Duration time = directory_.Suspect(id, now);
  std::size_t requests = 0;
  for (ActiveAttempt& attempt : attempts_) {
    const bool uses_endpoint = std::any_of(
        attempt.stages.begin(), attempt.stages.end(),
        [&](const ChainStage& stage) { return stage.endpoint.value() == id; });
    if (uses_endpoint) {
      attempt.next_interrupt_at = now + kSilenceInterval;
      attempt.call->Interrupt();
      ++requests;
    }
  }
  LogEvent(Severity::kWarning, "endpoint_suspected")
      .With("endpoint", id)
      .With("reason", reason)
      .With("for_ms", time)
      .With("requests", requests);
}

void RelayState::OnChainAwaited(const std::string& service, TimePoint now) {
  awaited_at_[service] = now;
}

bool RelayState::IsChainAwaited(const std::string& service,
                                TimePoint now) const {
  const auto found = awaited_at_.find(service);
  // Requests that wait try again at each interval.
  return found != awaited_at_.end() &&
         now - found->second < 2 * kSilenceInterval;
}

void RelayState::InterruptSilentAttempts(TimePoint now) {
  for (ActiveAttempt& attempt : attempts_) {
    if (!attempt.peer.empty() && !peers_.IsHeard(attempt.peer, now)) {
      attempt.next_interrupt_at = std::min(
          attempt.next_interrupt_at.value_or(now), now + kSilenceInterval);
    }
    if (attempt.next_interrupt_at && now >= *attempt.next_interrupt_at) {
      attempt.next_interrupt_at = now + kSilenceInterval;
      attempt.call->Interrupt();
    }
  }
}

}  // namespace sycamoreford
