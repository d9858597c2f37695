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

#include "day_result.h"
#include "fleet_model.h"
#include "placement_policies.h"
#include "sycamoreford/placement/chain_builder.h"
#include "sycamoreford/relay/chain_selector.h"
#include "sycamoreford/relay/fleet_retry_budget.h"
#include "sycamoreford/relay/send_limits.h"

namespace sycamoreford::model {

/// What the daemons learn, and when.
struct RouterDelays {
  /// From the loss of an endpoint until all daemons know and give its streams
  /// up; silence is noticed after a few paces, and then asked about.
  std::chrono::milliseconds notice{400};
  /// From a change of an endpoint's layers until the list shows it.
  std::chrono::milliseconds list{300};
  /// From the start of an endpoint until the list shows it.
  std::chrono::milliseconds announce{1'000};
  /// From a caller to a daemon, and back.
  std::chrono::milliseconds way{7};
  /// Time from one round of placing to the next.
  std::chrono::milliseconds placing{100};
  /// Time from one telling of retries to the next.
  std::chrono::milliseconds telling{400};
};

/// Plays a scenario through the router's own decisions: placement, chains,
/// choice, refusal, resumption and retry budget, over all daemons.
///
/// Callers come back once after a refusal, and leave a stream that has been
/// silent for four times its target.
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
        daemons_of_[data_centre.name].push_back(daemons_.size() - 1);
      }
    }
    for (const auto& [id, endpoint] : fleet_.endpoints()) {
      views_[id] = {.card = endpoint->card()};
    }
    std::vector<double> shares;
    for (const RequestKind& kind : scenario.requests) {
      shares.push_back(kind.share);
    }
    draw_kind_ =
        std::discrete_distribution<std::size_t>(shares.begin(), shares.end());
    fleet_.SetWatcher(
        {.on_event = [this](const StreamPtr& it) { OnEvent(it); },
         .on_done = [this](const StreamPtr& it) { OnDone(it); },
         .on_refused = [this](const StreamPtr& it,
                              const std::string& at) { OnRefused(it, at); },
         .on_broken = [this](const StreamPtr& it) { OnBroken(it); }});
  }

  /// Plays the day and sums it up.
  DayResult Play() {
    queue_.After(Duration::zero(), [this] { PlaceRound(); });
    queue_.After(delays_.telling, [this] { TellRetries(); });
    queue_.RunUntil(TimePoint{} + scenario_.lead);
    start_ = queue_.Now();
    fleet_.BeginTraffic();
    for (const DataCentreSpec& data_centre : scenario_.data_centres) {
      NextArrival(data_centre);
    }
    for (const Fault& fault : scenario_.faults) {
      queue_.After(fault.at, [this, &fault] { Inflict(fault); });
    }
    queue_.RunUntil(start_ + scenario_.length);
    is_closing_ = true;
    constexpr std::chrono::seconds kLastAnswers{12};
    queue_.RunUntil(queue_.Now() + kLastAnswers);
    return SumUp();
  }

 private:
  struct Daemon {
    Daemon(std::string data_centre, RetryLimits retries)
        : selector(std::move(data_centre)), budget(retries) {}
    ChainSelector selector;
    FleetRetryBudget budget;
  };

  /// An endpoint as the daemons know it.
  struct View {
    Accelerator card;
    bool is_usable = true;
  };

  struct Request {
    RequestRecord record;
    std::size_t data_centre = 0;
    std::size_t daemon = 0;
    TimePoint arrived{};
    TimePoint last_event{};
    std::uint32_t sends = 0;
    std::uint32_t returns = 0;
    std::uint32_t written = 0;
    double tokens = 0;
    std::set<std::string> tried;
    StreamPtr stream;
    Chain chain;
    bool has_begun = false;
    bool is_over = false;
  };

  [[nodiscard]] const RequestKind& KindOf(const Request& request) const {
    return scenario_.requests[request.record.kind];
  }

  // Load.

  void NextArrival(const DataCentreSpec& data_centre) {
    if (is_closing_ || data_centre.requests_per_second <= 0) {
      return;
    }
    std::exponential_distribution<double> gap(data_centre.requests_per_second *
                                              burst_);
    queue_.After(std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(gap(random_))),
                 [this, &data_centre] {
                   if (!is_closing_) {
                     Arrive(data_centre);
                   }
                   NextArrival(data_centre);
                 });
  }

  std::uint32_t Draw(const TokenCounts& counts) {
    double value = counts.mean;
    if (counts.spread > 0) {
      const double variance = std::log(1 + counts.spread * counts.spread);
      std::lognormal_distribution<double> draw(
          std::log(counts.mean) - variance / 2, std::sqrt(variance));
      value = draw(random_);
    }
    return static_cast<std::uint32_t>(std::clamp(value, 1.0, counts.most));
  }

  void Arrive(const DataCentreSpec& data_centre) {
    requests_.emplace_back();
    Request& request = requests_.back();
    request.record.kind = draw_kind_(random_);
    const RequestKind& kind = KindOf(request);
    request.record.prompt_tokens = Draw(kind.prompt);
    request.record.answer_tokens = Draw(kind.answer);
    request.record.arrived = queue_.Now() - start_;
    request.arrived = queue_.Now();
    request.last_event = request.arrived;
    request.tokens =
        request.record.prompt_tokens + scenario_.engine.mean_output_tokens;
    const auto& daemons = daemons_of_[data_centre.name];
    std::uniform_int_distribution<std::size_t> draw_daemon(0,
                                                           daemons.size() - 1);
    request.daemon = daemons[draw_daemon(random_)];
    const std::size_t index = requests_.size() - 1;
    Take(index);
    WatchCaller(index);
  }

  /// Callers leave when nothing has come for four times the target.
  void WatchCaller(std::size_t index) {
    const Request& request = requests_[index];
    const auto patience = 4 * KindOf(request).target_latency;
    queue_.After(request.last_event + patience - queue_.Now(),
                 [this, index, patience] {
                   Request& it = requests_[index];
                   if (it.is_over) {
                     return;
                   }
                   if (queue_.Now() - it.last_event >= patience) {
                     it.record.is_broken = it.has_begun;
                     GiveUp(it);
                   } else {
                     WatchCaller(index);
                   }
                 });
  }

  // Requests.

  void Take(std::size_t index) {
    daemons_[requests_[index].daemon]->budget.OnRequest(queue_.Now());
    TrySend(index);
  }

  void TrySend(std::size_t index) {
    Request& request = requests_[index];
    const TimePoint now = queue_.Now();
    Daemon& daemon = *daemons_[request.daemon];
    const auto daemons = static_cast<std::uint32_t>(daemons_.size());
    const bool may_send =
        request.sends == 0 || (request.sends < relay::kMaxSends &&
                               daemon.budget.TryAcquire(now, daemons));
    const ServingChain* chain =
        may_send
            ? daemon.selector.Pick(
                  request.tokens, daemons, request.tried,
                  request.tried.size() >= KindOf(request).max_attempts, now)
            : nullptr;
    if (chain == nullptr) {
      Refuse(index);
      return;
    }
    ++request.sends;
    resumes_ += request.has_begun ? 1 : 0;
    request.chain = chain->stages;
    daemon.selector.OnSent(request.chain, request.tokens);
    request.stream = fleet_.Send(
        {.request = index,
         .chain = request.chain,
         .urgency = request.has_begun ? relay::kResumeUrgencyOffset : 0,
         .prompt_tokens = request.record.prompt_tokens,
         .answer_tokens = request.record.answer_tokens,
         .written = request.written});
  }

  /// Ends the present send.
  void EndSend(Request& request) {
    if (!request.stream) {
      return;
    }
    fleet_.Abort(request.stream);
    request.stream = nullptr;
    daemons_[request.daemon]->selector.OnEnded(request.chain, request.tokens);
  }

  void GiveUp(Request& request) {
    request.is_over = true;
    EndSend(request);
  }

  void Refuse(std::size_t index) {
    Request& request = requests_[index];
    if (request.has_begun) {
      request.record.is_broken = true;
      GiveUp(request);
      return;
    }
    request.record.was_refused = true;
    if (request.returns >= KindOf(request).returns) {
      GiveUp(request);
      return;
    }
    ++request.returns;
    queue_.After(relay::DrawRetryAfter(random_), [this, index] {
      Request& it = requests_[index];
      if (!it.is_over) {
        it.sends = 0;
        it.tried.clear();
        it.last_event = queue_.Now();
        Take(index);
      }
    });
  }

  void OnEvent(const StreamPtr& stream) {
    Request& request = requests_[stream->request];
    const TimePoint now = queue_.Now();
    if (!request.has_begun) {
      request.has_begun = true;
      request.record.first_event = now + delays_.way - request.arrived;
    } else {
      request.record.longest_pause =
          std::max(request.record.longest_pause, now - request.last_event);
    }
    if (stream->written <= 1 + request.written) {
      const std::string& first = request.chain.front().endpoint.value();
      daemons_[request.daemon]->selector.OnReportedLoad(
          first, fleet_.LoadOf(first), now);
    }
    request.written = stream->written;
    request.last_event = now;
  }

  void OnDone(const StreamPtr& stream) {
    Request& request = requests_[stream->request];
    request.record.is_served = true;
    GiveUp(request);
  }

  void OnRefused(const StreamPtr& stream, const std::string& fault) {
    Request& request = requests_[stream->request];
    if (request.stream != stream) {
      return;
    }
    request.tried.insert(request.chain.front().endpoint.value());
    EndSend(request);
    if (!fault.empty()) {
      Suspect(fault);
    }
    TrySend(stream->request);
  }

  void OnBroken(const StreamPtr& stream) {
    Request& request = requests_[stream->request];
    if (request.stream != stream) {
      return;
    }
    const std::string first = request.chain.front().endpoint.value();
    request.tried.insert(first);
    EndSend(request);
    if (!fleet_.endpoints().at(first)->is_alive()) {
      Suspect(first);
    }
    TrySend(stream->request);
  }

  // Endpoints as the daemons know them.

  void Suspect(const std::string& id) {
    if (!views_[id].is_usable) {
      return;
    }
    views_[id].is_usable = false;
    Rebuild();
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      Request& request = requests_[i];
      const bool passes =
          request.stream &&
          std::any_of(
              request.chain.begin(), request.chain.end(),
              [&](const ChainStage& it) { return it.endpoint.value() == id; });
      if (passes) {
        request.tried.insert(request.chain.front().endpoint.value());
        EndSend(request);
        queue_.After(Duration::zero(), [this, i] {
          if (!requests_[i].is_over && !requests_[i].stream) {
            TrySend(i);
          }
        });
      }
    }
  }

  void Rebuild() {
    std::vector<Accelerator> usable;
    for (const auto& [id, view] : views_) {
      if (view.is_usable) {
        usable.push_back(view.card);
      }
    }
    std::vector<ServingChain> chains;
    std::set<std::string> with_chain;
    for (const auto& [data_centre, cards] :
         GroupByDataCentre(std::move(usable))) {
      for (ServingChain& chain : BuildChains(scenario_.engine, cards)) {
        with_chain.insert(data_centre);
        chains.push_back(std::move(chain));
      }
    }
    CountWithoutChain();
    without_chain_ = scenario_.data_centres.size() - with_chain.size();
    for (const auto& daemon : daemons_) {
      daemon->selector.SetChains(chains);
    }
    chains_ = std::move(chains);
  }

  void CountWithoutChain() {
    const TimePoint now = queue_.Now();
    if (start_ != TimePoint{} && !is_closing_) {
      without_chain_for_ +=
          (now - std::max(start_, counted_at_)) * without_chain_;
    }
    counted_at_ = now;
  }

  void PlaceRound() {
    std::vector<Accelerator> cards;
    for (const auto& [id, view] : views_) {
      if (view.is_usable) {
        cards.push_back(view.card);
      }
    }
    for (const PlacementChange& change :
         placement_.NextOrders(scenario_.engine, std::move(cards),
                               AcceleratorsInUse(chains_), queue_.Now())) {
      Order(change);
    }
    double taken = 0;
    double all = 0;
    for (const auto& [id, endpoint] : fleet_.endpoints()) {
      if (endpoint->is_alive() && !endpoint->layers().is_empty()) {
        taken += endpoint->taken_mb();
        all += endpoint->request_memory_mb();
      }
    }
    peak_memory_ = std::max(peak_memory_, all > 0 ? taken / all : 0);
    queue_.After(delays_.placing, [this] { PlaceRound(); });
  }

  void Order(const PlacementChange& change) {
    const bool is_taken = fleet_.Place(
        change.accelerator_id, change.layers,
        [this, id = change.accelerator_id] {
          queue_.After(delays_.list, [this, id] { ShowLayers(id); });
        });
    if (!is_taken) {
      placement_.OnRefused(change.accelerator_id, queue_.Now());
      return;
    }
    ShowLayers(change.accelerator_id);
  }

  void ShowLayers(const std::string& id) {
    const LayerRange layers = fleet_.endpoints().at(id)->layers();
    if (views_[id].card.layers != layers) {
      views_[id].card.layers = layers;
      Rebuild();
    }
  }

  void TellRetries() {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      const RetryUsage usage = daemons_[i]->budget.ReportUsage(queue_.Now());
      for (std::size_t other = 0; other < daemons_.size(); ++other) {
        if (other != i) {
          daemons_[other]->budget.OnUsageReport(std::to_string(i), usage,
                                                queue_.Now());
        }
      }
    }
    queue_.After(delays_.telling, [this] { TellRetries(); });
  }

  // Faults.

  void Inflict(const Fault& fault) {
    if (fault.kind == Fault::Kind::kBurst) {
      burst_ = fault.factor;
      queue_.After(fault.length, [this] { burst_ = 1; });
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
      Inflict(fault, id);
    }
  }

  void Inflict(const Fault& fault, const std::string& id) {
    switch (fault.kind) {
      case Fault::Kind::kBurst:
        break;
      case Fault::Kind::kCrash:
      case Fault::Kind::kLost:
        fleet_.Crash(id);
        queue_.After(delays_.notice, [this, id] { Suspect(id); });
        if (fault.kind == Fault::Kind::kCrash) {
          queue_.After(fault.length, [this, id] {
            fleet_.Restart(id);
            Announce(id, delays_.announce);
          });
        }
        break;
      case Fault::Kind::kDark:
        fleet_.SetDark(id, true);
        queue_.After(delays_.notice, [this, id] { Suspect(id); });
        queue_.After(fault.length, [this, id] {
          fleet_.SetDark(id, false);
          Announce(id, delays_.notice);
        });
        break;
      case Fault::Kind::kSlow:
        SetSlowness(id, fault.factor);
        queue_.After(fault.length, [this, id] { SetSlowness(id, 1); });
        break;
    }
  }

  void Announce(const std::string& id, Duration delay) {
    queue_.After(delay, [this, id] {
      views_[id].is_usable = fleet_.endpoints().at(id)->is_alive();
      views_[id].card.layers = fleet_.endpoints().at(id)->layers();
      Rebuild();
    });
  }

  /// Endpoints state their pace; the daemons weigh chains by it.
  void SetSlowness(const std::string& id, double factor) {
    fleet_.SetSlowness(id, factor);
    queue_.After(delays_.notice, [this, id, factor] {
      AcceleratorKind& kind = views_[id].card.kind;
      kind = fleet_.endpoints().at(id)->card().kind;
      kind.decode_factor *= factor;
      kind.prefill_factor *= factor;
      views_[id].card.slowness = factor;
      Rebuild();
    });
  }

  DayResult SumUp() {
    CountWithoutChain();
    constexpr std::chrono::seconds kWindow{5};
    std::vector<RequestRecord> records;
    records.reserve(requests_.size());
    for (const Request& request : requests_) {
      records.push_back(request.record);
    }
    DayResult result = DayResult::Of(scenario_, records, kWindow);
    result.without_chain =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            without_chain_for_);
    result.resumes = resumes_;
    result.loads = fleet_.loads();
    result.preemptions = fleet_.preemptions();
    result.overfilled = fleet_.overfilled();
    result.peak_memory = peak_memory_;
    return result;
  }

  const Scenario& scenario_;
  RouterDelays delays_;
  EventQueue queue_;
  FleetModel fleet_;
  Placement placement_;
  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> draw_kind_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::map<std::string, std::vector<std::size_t>> daemons_of_;
  std::map<std::string, View> views_;
  std::vector<ServingChain> chains_;
  std::deque<Request> requests_;
  TimePoint start_{};
  TimePoint counted_at_{};
  std::size_t without_chain_ = 0;
  Duration without_chain_for_{0};
  double burst_ = 1;
  bool is_closing_ = false;
  std::uint32_t resumes_ = 0;
  double peak_memory_ = 0;
};

}  // namespace sycamoreford::model
