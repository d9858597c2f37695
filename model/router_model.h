#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet_model.h"
#include "placement_policies.h"
#include "run_result.h"
#include "sycamoreford/placement/chain_builder.h"
#include "sycamoreford/relay/chain_selector.h"
#include "sycamoreford/relay/fleet_retry_budget.h"
#include "sycamoreford/relay/send_limits.h"

namespace sycamoreford::model {

/// Delays and intervals of the simulated daemons.
struct RouterDelays {
  /// Time from the loss of an endpoint until all daemons know of it and give up
  /// its streams. Daemons notice a stall after a few token intervals, and then
  /// ask the endpoint for a report.
  std::chrono::milliseconds failure_detection{400};
  /// Time from a change of an endpoint's layers until the list of endpoints
  /// shows it.
  std::chrono::milliseconds list_update{300};
  /// Time from the start of an endpoint until the list of endpoints shows it.
  std::chrono::milliseconds endpoint_listing{1'000};
  /// Network delay from a caller to a daemon and back.
  std::chrono::milliseconds network_round_trip{7};
  std::chrono::milliseconds placement_interval{100};
  /// Interval at which daemons report their retry usage to each other.
  std::chrono::milliseconds retry_report_interval{400};
};

/// Runs a scenario through the router's own decisions: placement, chains,
/// choice of a chain, refusal, resumption and retry budget, over all daemons.
///
/// Callers retry after a refusal, as often as their kind of request allows, and
/// abort a stream without an event for four times its target latency.
///
/// Thread safety: none; use once.
template <PlacementPolicy Placement>
class RouterModel {
 public:
  /// Precondition: `scenario` outlives this object.
  RouterModel(const Scenario& scenario, std::uint64_t seed)
      : scenario_(scenario), fleet_(scenario, queue_), random_(seed) {
    for (std::size_t i = 0; i < scenario.data_centres.size(); ++i) {
      const DataCentreSpec& data_centre = scenario.data_centres[i];
      for (std::uint32_t n = 0; n < std::max(1U, data_centre.daemons); ++n) {
        daemons_.push_back(
            std::make_unique<Daemon>(data_centre.name, scenario.retries));
        daemons_by_data_centre_[data_centre.name].push_back(daemons_.size() -
                                                            1);
      }
    }
    for (const auto& [id, endpoint] : fleet_.endpoints()) {
      endpoint_views_[id] = {.accelerator = endpoint->accelerator()};
    }
    std::vector<double> shares;
    for (const RequestKind& kind : scenario.requests) {
      shares.push_back(kind.share);
    }
    kind_distribution_ =
        std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
    fleet_.SetObserver(
        {.on_event = [this](const StreamPtr& it) { OnEvent(it); },
         .on_done = [this](const StreamPtr& it) { OnDone(it); },
         .on_refused = [this](const StreamPtr& it,
                              const std::string& at) { OnRefused(it, at); },
         .on_broken = [this](const StreamPtr& it) { OnBroken(it); }});
  }

  /// Runs the scenario and returns its results.
  RunResult Run() {
    queue_.Schedule(Duration::zero(), [this] { RunPlacement(); });
    queue_.Schedule(delays_.retry_report_interval,
                    [this] { ExchangeRetryUsage(); });
    queue_.RunUntil(TimePoint{} + scenario_.warm_up);
    start_ = queue_.Now();
    fleet_.BeginTraffic();
    for (const DataCentreSpec& data_centre : scenario_.data_centres) {
      ScheduleArrival(data_centre);
    }
    for (const Fault& fault : scenario_.faults) {
      queue_.Schedule(fault.start, [this, &fault] { InjectFault(fault); });
    }
    queue_.RunUntil(start_ + scenario_.duration);
    has_load_ended_ = true;
    constexpr std::chrono::seconds kDrainTime{12};
    queue_.RunUntil(queue_.Now() + kDrainTime);
    return Summarize();
  }

 private:
  struct Daemon {
    Daemon(std::string data_centre, RetryLimits retries)
        : selector(std::move(data_centre)), budget(retries) {}
    ChainSelector selector;
    FleetRetryBudget budget;
  };

  /// State of an endpoint as the daemons know it.
  struct EndpointView {
    Accelerator accelerator;
    bool is_usable = true;
  };

  struct Request {
    RequestRecord record;
    std::size_t data_centre = 0;
    /// Index into `daemons_`.
    std::size_t daemon = 0;
    TimePoint arrived{};
    /// Time of the last event or, before the first one, of the last attempt of
    /// the caller.
    TimePoint last_event{};
    /// Sends to endpoints in the current attempt of the caller.
    std::uint32_t sends = 0;
    std::uint32_t caller_retries = 0;
    std::uint32_t generated_tokens = 0;
    /// Prompt tokens plus the mean of output tokens: the router does not know
    /// the length of the output when it chooses a chain.
    double estimated_tokens = 0;
    /// First endpoints of the chains tried in the current attempt of the
    /// caller.
    std::set<std::string> tried;
    /// The current send; null when there is none.
    StreamPtr stream;
    Chain chain;
    bool has_first_event = false;
    bool is_over = false;
  };

  [[nodiscard]] const RequestKind& KindOf(const Request& request) const {
    return scenario_.requests[request.record.kind];
  }

  // Load

  void ScheduleArrival(const DataCentreSpec& data_centre) {
    if (has_load_ended_ || data_centre.requests_per_second <= 0) {
      return;
    }
    std::exponential_distribution<double> gap(data_centre.requests_per_second *
                                              load_factor_);
    queue_.Schedule(std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(gap(random_))),
                    [this, &data_centre] {
                      if (!has_load_ended_) {
                        OnArrival(data_centre);
                      }
                      ScheduleArrival(data_centre);
                    });
  }

  std::uint32_t DrawTokenCount(const TokenDistribution& distribution) {
    double value = distribution.mean;
    if (distribution.coefficient_of_variation > 0) {
      const double variance =
          std::log(1 + distribution.coefficient_of_variation *
                           distribution.coefficient_of_variation);
      std::lognormal_distribution<double> token_distribution(
          std::log(distribution.mean) - variance / 2, std::sqrt(variance));
      value = token_distribution(random_);
    }
    return static_cast<std::uint32_t>(std::clamp(value, 1.0, distribution.max));
  }

  void OnArrival(const DataCentreSpec& data_centre) {
    requests_.emplace_back();
    Request& request = requests_.back();
    request.record.kind = kind_distribution_(random_);
    const RequestKind& kind = KindOf(request);
    request.record.prompt_tokens = DrawTokenCount(kind.prompt);
    request.record.output_tokens = DrawTokenCount(kind.output);
    request.record.arrived = queue_.Now() - start_;
    request.arrived = queue_.Now();
    request.last_event = request.arrived;
    request.estimated_tokens =
        request.record.prompt_tokens + scenario_.engine.mean_output_tokens;
    const auto& daemons = daemons_by_data_centre_[data_centre.name];
    std::uniform_int_distribution<std::size_t> daemon_distribution(
        0, daemons.size() - 1);
    request.daemon = daemons[daemon_distribution(random_)];
    const std::size_t index = requests_.size() - 1;
    Accept(index);
    ScheduleCallerTimeout(index);
  }

  /// Aborts the request when its caller has received nothing for four times the
  /// target latency.
  void ScheduleCallerTimeout(std::size_t index) {
    const Request& request = requests_[index];
    const auto caller_timeout = 4 * KindOf(request).target_latency;
    queue_.Schedule(request.last_event + caller_timeout - queue_.Now(),
                    [this, index, caller_timeout] {
                      Request& it = requests_[index];
                      if (it.is_over) {
                        return;
                      }
                      if (queue_.Now() - it.last_event >= caller_timeout) {
                        it.record.is_broken = it.has_first_event;
                        EndRequest(it);
                      } else {
                        ScheduleCallerTimeout(index);
                      }
                    });
  }

  // Requests

  void Accept(std::size_t index) {
    daemons_[requests_[index].daemon]->budget.OnRequest(queue_.Now());
    TrySend(index);
  }

  void TrySend(std::size_t index) {
    Request& request = requests_[index];
    const TimePoint now = queue_.Now();
    Daemon& daemon = *daemons_[request.daemon];
    const auto daemon_count = static_cast<std::uint32_t>(daemons_.size());
    const bool may_send =
        request.sends == 0 || (request.sends < relay::kMaxSends &&
                               daemon.budget.TryAcquire(now, daemon_count));
    const ServingChain* chain =
        may_send
            ? daemon.selector.Pick(
                  request.estimated_tokens, daemon_count, request.tried,
                  request.tried.size() >= KindOf(request).max_attempts, now)
            : nullptr;
    if (chain == nullptr) {
      Refuse(index);
      return;
    }
    ++request.sends;
    resumes_ += request.has_first_event ? 1 : 0;
    request.chain = chain->stages;
    daemon.selector.OnSent(request.chain, request.estimated_tokens, now);
    request.stream = fleet_.Send(
        {.request_index = index,
         .chain = request.chain,
         .urgency = request.has_first_event ? relay::kResumeUrgencyOffset : 0,
         .prompt_tokens = request.record.prompt_tokens,
         .output_tokens = request.record.output_tokens,
         .generated_tokens = request.generated_tokens});
  }

  /// Ends the current send, if any.
  void EndSend(Request& request) {
    if (!request.stream) {
      return;
    }
    fleet_.Abort(request.stream);
    request.stream = nullptr;
    daemons_[request.daemon]->selector.OnEnded(
        request.chain, request.estimated_tokens, queue_.Now());
  }

  void EndRequest(Request& request) {
    request.is_over = true;
    EndSend(request);
  }

  void Refuse(std::size_t index) {
    Request& request = requests_[index];
    if (request.has_first_event) {
      request.record.is_broken = true;
      EndRequest(request);
      return;
    }
    request.record.was_refused = true;
    if (request.caller_retries >= KindOf(request).max_caller_retries) {
      EndRequest(request);
      return;
    }
    ++request.caller_retries;
    queue_.Schedule(relay::DrawRetryAfter(random_), [this, index] {
      Request& it = requests_[index];
      if (!it.is_over) {
        it.sends = 0;
        it.tried.clear();
        it.last_event = queue_.Now();
        Accept(index);
      }
    });
  }

  void OnEvent(const StreamPtr& stream) {
    Request& request = requests_[stream->request_index];
    const TimePoint now = queue_.Now();
    if (!request.has_first_event) {
      request.has_first_event = true;
      request.record.first_event =
          now + delays_.network_round_trip - request.arrived;
    } else {
      request.record.longest_pause =
          std::max(request.record.longest_pause, now - request.last_event);
    }
    if (stream->generated_tokens <= 1 + request.generated_tokens) {
      const std::string& first = request.chain.front().endpoint.value();
      daemons_[request.daemon]->selector.OnReportedLoad(
          first, fleet_.LoadOf(first), now);
    }
    request.generated_tokens = stream->generated_tokens;
    request.last_event = now;
  }

  void OnDone(const StreamPtr& stream) {
    Request& request = requests_[stream->request_index];
    request.record.is_served = true;
    EndRequest(request);
  }

  void OnRefused(const StreamPtr& stream, const std::string& faulty_endpoint) {
    Request& request = requests_[stream->request_index];
    if (request.stream != stream) {
      return;
    }
    request.tried.insert(request.chain.front().endpoint.value());
    EndSend(request);
    if (!faulty_endpoint.empty()) {
      MarkUnusable(faulty_endpoint);
    }
    TrySend(stream->request_index);
  }

  void OnBroken(const StreamPtr& stream) {
    Request& request = requests_[stream->request_index];
    if (request.stream != stream) {
      return;
    }
    const std::string first = request.chain.front().endpoint.value();
    request.tried.insert(first);
    EndSend(request);
    if (!fleet_.endpoints().at(first)->is_alive()) {
      MarkUnusable(first);
    }
    TrySend(stream->request_index);
  }

  // Endpoints as the daemons know them

  /// Takes an endpoint out of the chains and sends its requests again.
  void MarkUnusable(const std::string& id) {
    if (!endpoint_views_[id].is_usable) {
      return;
    }
    endpoint_views_[id].is_usable = false;
    RebuildChains();
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      Request& request = requests_[i];
      const bool uses_endpoint =
          request.stream &&
          std::any_of(
              request.chain.begin(), request.chain.end(),
              [&](const ChainStage& it) { return it.endpoint.value() == id; });
      if (uses_endpoint) {
        request.tried.insert(request.chain.front().endpoint.value());
        EndSend(request);
        queue_.Schedule(Duration::zero(), [this, i] {
          if (!requests_[i].is_over && !requests_[i].stream) {
            TrySend(i);
          }
        });
      }
    }
  }

  void RebuildChains() {
    std::vector<Accelerator> usable;
    for (const auto& [id, view] : endpoint_views_) {
      if (view.is_usable) {
        usable.push_back(view.accelerator);
      }
    }
    std::vector<ServingChain> chains;
    std::set<std::string> with_chain;
    for (const auto& [data_centre, accelerators] :
         GroupByDataCentre(std::move(usable))) {
      for (ServingChain& chain : BuildChains(scenario_.engine, accelerators)) {
        with_chain.insert(data_centre);
        chains.push_back(std::move(chain));
      }
    }
    AddTimeWithoutChain();
    data_centres_without_chain_ =
        scenario_.data_centres.size() - with_chain.size();
    for (const auto& daemon : daemons_) {
      daemon->selector.SetChains(chains);
    }
    chains_ = std::move(chains);
  }

  void AddTimeWithoutChain() {
    const TimePoint now = queue_.Now();
    if (start_ != TimePoint{} && !has_load_ended_) {
      time_without_chain_ += (now - std::max(start_, chain_time_counted_at_)) *
                             data_centres_without_chain_;
    }
    chain_time_counted_at_ = now;
  }

  void RunPlacement() {
    std::vector<Accelerator> accelerators;
    for (const auto& [id, view] : endpoint_views_) {
      if (view.is_usable) {
        accelerators.push_back(view.accelerator);
      }
    }
    for (const PlacementChange& change :
         placement_.NextOrders(scenario_.engine, std::move(accelerators),
                               AcceleratorsInUse(chains_), queue_.Now())) {
      SendOrder(change);
    }
    double used = 0;
    double total = 0;
    for (const auto& [id, endpoint] : fleet_.endpoints()) {
      if (endpoint->is_alive() && !endpoint->layers().is_empty()) {
        used += endpoint->used_request_memory_mb();
        total += endpoint->request_memory_mb();
      }
    }
    peak_memory_share_ =
        std::max(peak_memory_share_, total > 0 ? used / total : 0);
    queue_.Schedule(delays_.placement_interval, [this] { RunPlacement(); });
  }

  void SendOrder(const PlacementChange& change) {
    const bool is_accepted = fleet_.OrderLayers(
        change.accelerator_id, change.layers,
        [this, id = change.accelerator_id] {
          queue_.Schedule(delays_.list_update,
                          [this, id] { UpdateListedLayers(id); });
        });
    if (!is_accepted) {
      placement_.OnRefused(change.accelerator_id, queue_.Now());
      return;
    }
    UpdateListedLayers(change.accelerator_id);
  }

  /// Copies an endpoint's layers to the daemons' view of it.
  void UpdateListedLayers(const std::string& id) {
    const LayerRange layers = fleet_.endpoints().at(id)->layers();
    if (endpoint_views_[id].accelerator.layers != layers) {
      endpoint_views_[id].accelerator.layers = layers;
      RebuildChains();
    }
  }

  void ExchangeRetryUsage() {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      const RetryUsage usage = daemons_[i]->budget.ReportUsage(queue_.Now());
      for (std::size_t other = 0; other < daemons_.size(); ++other) {
        if (other != i) {
          daemons_[other]->budget.OnUsageReport(std::to_string(i), usage,
                                                queue_.Now());
        }
      }
    }
    queue_.Schedule(delays_.retry_report_interval,
                    [this] { ExchangeRetryUsage(); });
  }

  // Faults

  void InjectFault(const Fault& fault) {
    if (fault.kind == Fault::Kind::kBurst) {
      load_factor_ = fault.factor;
      queue_.Schedule(fault.duration, [this] { load_factor_ = 1; });
      return;
    }
    std::vector<std::string> ids;
    for (const auto& [id, endpoint] : fleet_.endpoints()) {
      if (endpoint->is_alive()) {
        ids.push_back(id);
      }
    }
    std::shuffle(ids.begin(), ids.end(), random_);
    const auto count = static_cast<std::size_t>(std::max(
        1L, std::lround(fault.share * static_cast<double>(ids.size()))));
    ids.resize(std::min(ids.size(), count));
    for (const std::string& id : ids) {
      InjectFault(fault, id);
    }
  }

  void InjectFault(const Fault& fault, const std::string& id) {
    switch (fault.kind) {
      case Fault::Kind::kBurst:
        break;
      case Fault::Kind::kCrash:
      case Fault::Kind::kPermanentCrash:
        fleet_.Crash(id);
        queue_.Schedule(delays_.failure_detection,
                        [this, id] { MarkUnusable(id); });
        if (fault.kind == Fault::Kind::kCrash) {
          queue_.Schedule(fault.duration, [this, id] {
            fleet_.Restart(id);
            ListEndpoint(id, delays_.endpoint_listing);
          });
        }
        break;
      case Fault::Kind::kUnresponsive:
        fleet_.SetUnresponsive(id, true);
        queue_.Schedule(delays_.failure_detection,
                        [this, id] { MarkUnusable(id); });
        queue_.Schedule(fault.duration, [this, id] {
          fleet_.SetUnresponsive(id, false);
          ListEndpoint(id, delays_.failure_detection);
        });
        break;
      case Fault::Kind::kSlow:
        SetSlowness(id, fault.factor);
        queue_.Schedule(fault.duration, [this, id] { SetSlowness(id, 1); });
        break;
    }
  }

  /// Updates the daemons' view of an endpoint after `delay`.
  void ListEndpoint(const std::string& id, Duration delay) {
    queue_.Schedule(delay, [this, id] {
      endpoint_views_[id].is_usable = fleet_.endpoints().at(id)->is_alive();
      endpoint_views_[id].accelerator.layers =
          fleet_.endpoints().at(id)->layers();
      RebuildChains();
    });
  }

  /// Changes the speed of an endpoint. Endpoints report it, and the daemons
  /// take it into account in their choice of chains.
  void SetSlowness(const std::string& id, double factor) {
    fleet_.SetSlowness(id, factor);
    queue_.Schedule(delays_.failure_detection, [this, id, factor] {
      AcceleratorKind& kind = endpoint_views_[id].accelerator.kind;
      kind = fleet_.endpoints().at(id)->accelerator().kind;
      kind.decode_factor *= factor;
      kind.prefill_factor *= factor;
      endpoint_views_[id].accelerator.slowness = factor;
      RebuildChains();
    });
  }

  RunResult Summarize() {
    AddTimeWithoutChain();
    constexpr std::chrono::seconds kWindow{5};
    std::vector<RequestRecord> records;
    records.reserve(requests_.size());
    for (const Request& request : requests_) {
      records.push_back(request.record);
    }
    RunResult result = RunResult::FromRecords(scenario_, records, kWindow);
    result.time_without_chain =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            time_without_chain_);
    result.resumes = resumes_;
    result.loads = fleet_.loads();
    result.preemptions = fleet_.preemptions();
    result.overcommitted_orders = fleet_.overcommitted_orders();
    result.peak_memory_share = peak_memory_share_;
    return result;
  }

  const Scenario& scenario_;
  RouterDelays delays_;
  EventQueue queue_;
  FleetModel fleet_;
  Placement placement_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> kind_distribution_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::map<std::string, std::vector<std::size_t>> daemons_by_data_centre_;
  std::map<std::string, EndpointView> endpoint_views_;
  std::vector<ServingChain> chains_;
  std::deque<Request> requests_;
  TimePoint start_{};
  /// Time up to which `time_without_chain_` is counted.
  TimePoint chain_time_counted_at_{};
  std::size_t data_centres_without_chain_ = 0;
  Duration time_without_chain_{0};
  double load_factor_ = 1;
  bool has_load_ended_ = false;
  std::uint32_t resumes_ = 0;
  double peak_memory_share_ = 0;
};

}  // namespace sycamoreford::model
