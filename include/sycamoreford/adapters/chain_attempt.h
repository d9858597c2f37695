#pragma once

#include <algorithm>
#include <chrono>
#include <list>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "sycamoreford/adapters/crash_watch.h"
#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/adapters/stream_attempt.h"

namespace sycamoreford {

/// Parameters of a `ChainAttempt`.
struct ChainAttemptOptions {
  StreamAttemptOptions stream;
  Chain stages;
  /// Expected size of the request and its response.
  double tokens = 0;
  /// Silence after which the attempt ends if a stage does not respond either.
  std::chrono::milliseconds max_silence{0};
  /// Longest pause with which the stream is on time.
  std::chrono::milliseconds target_pause{0};
  /// What the request may have in common with others that crash endpoints.
  std::vector<RequestTrait> traits;
};

/// A send of a request to a chain. Is interrupted if a stage is suspected.
/// Silence ends the attempt only if it lasts and a stage does not respond.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <RelayCodec Codec, Clock TheClock>
class ChainAttempt final : public StreamAttempt<Codec, TheClock> {
  using Base = StreamAttempt<Codec, TheClock>;

 public:
  using Base::call;
  using Base::head;

  /// Precondition: `state` and `clock` outlive this object, or it is abandoned
  /// before they are destroyed.
  ChainAttempt(RelayState& state,
               const TheClock& clock,
               const boost::asio::any_io_executor& executor,
               const RelayService& service,
               ChainAttemptOptions options)
      : Base(clock, executor, std::move(options.stream)),
        state_(state),
        selector_(state.ChainSelectorFor(service, clock.Now())),
        service_(service.name),
        stages_(std::move(options.stages)),
        tokens_(options.tokens),
        max_silence_(options.max_silence),
        crash_watch_(state.quarantine(),
                     std::move(options.traits),
                     destination(),
                     QuarantineGuard::RunOf(state.directory(), destination())) {
    for (const ChainStage& stage : stages_) {
      stage_runs_.push_back(RunOf(stage));
    }
    registration_ = state_.AddAttempt(
        {.request_id = request_id(), .stages = stages_, .call = &call()});
    selector_.OnSent(stages_, tokens_, clock.Now());
    state_.stall_detector().OnSent(destination(), options.target_pause,
                                   clock.Now());
  }
  ~ChainAttempt() override { Leave(); }

  void SuspendLoad() override {
    if (registration_ && counts_as_load_) {
      counts_as_load_ = false;
      selector_.OnEnded(stages_, tokens_, clock().Now());
    }
  }
  void ResumeLoad() override {
    if (registration_ && !counts_as_load_) {
      counts_as_load_ = true;
      selector_.OnSent(stages_, tokens_, clock().Now());
    }
  }

  void OnPause(Duration pause) override {
    state_.stall_detector().OnPause(destination(), pause);
  }

  void OnFailed(AttemptStep step) override {
    if (step == AttemptStep::kNotSent) {
      state_.OnUnreachable(destination(), clock().Now());
      state_.OnEndpointSuspected(destination(), "no_connection", clock().Now());
    } else if (step == AttemptStep::kNotRun) {
      OnRefusal();
    } else if (step == AttemptStep::kLost &&
               Base::failure().code == Errc::kConnectionLost && !IsLeaving()) {
      crash_watch_.OnConnectionLost(clock().Now());
    }
  }

  [[nodiscard]] const std::string& destination() const noexcept override {
    return stages_.front().endpoint.value();
  }
  [[nodiscard]] bool is_forwarded() const noexcept override { return false; }

 private:
  using Base::clock;
  using Base::request_id;
  using Base::sent_at;
  using Base::Silence;

  void OnSent() override { state_.OnConnected(sent_at()); }
  void OnHeadDecoded() override {
    if (head().load) {
      state_.OnReportedLoad(service_, destination(), *head().load,
                            clock().Now());
    }
    state_.leaving().OnHead(head(), destination(), request_id(),
                            LeavingSource::kResponse);
    // Whatever else is wrong with the response, its sender asks for a pause.
    if (head().retry_after && sender()) {
      state_.OnRetryAfter(*sender(), *head().retry_after,
                          BackoffSource::kRequest, clock().Now());
    }
    if (head().IsTrusted()) {
      state_.OnStatedLimit(destination(), head().request_limit, sent_at(),
                           clock().Now());
    }
  }
  [[nodiscard]] std::optional<EndpointRunId> sender() const override {
    const auto& started_at_ms = stage_runs_.front();
    return started_at_ms
               ? std::optional(EndpointRunId{destination(), *started_at_ms})
               : std::nullopt;
  }
  void OnProgress(TimePoint now) override {
    (*registration_)->next_interrupt_at.reset();
    state_.stall_detector().OnProgress(destination(), now);
  }
  void OnEvents() override {
    crash_watch_.OnEvents(clock().Now());
    if (!std::exchange(has_passed_, true)) {
      for (const ChainStage& stage : stages_) {
        state_.directory().OnPassed(stage.endpoint.value());
      }
    }
  }
  void OnComplete() override { crash_watch_.OnComplete(clock().Now()); }

  /// Whether the first endpoint was about to end anyway.
  [[nodiscard]] bool IsLeaving() const {
    const auto run = sender();
    return run && state_.directory().leaving().Contains(*run);
  }

  /// The chain has refused the request. If the response names the faulty stage,
  /// that endpoint is not used for a while.
  void OnRefusal() {
    const KnownEndpoint* faulty_stage =
        head().faulty_stage_address.empty()
            ? nullptr
            : state_.directory().FindByAddress(head().faulty_stage_address);
    if (faulty_stage != nullptr) {
      state_.directory().OnRefused(faulty_stage->record.id);
      state_.OnEndpointFault(faulty_stage->record.id, clock().Now());
    }
  }

  /// Whether a stage of a chain that has been silent for too long does not
  /// respond, is no longer listed or was started anew.
  [[nodiscard]] bool HasDied(TimePoint now) const override {
    const auto is_present = [&](const auto& run, const ChainStage& stage) {
      const KnownEndpoint* known =
          state_.directory().Find(stage.endpoint.value());
      return known != nullptr && run == RunOf(stage) &&
             known->suspected_until <= now;
    };
    return Silence(now) >= max_silence_ &&
           !std::equal(stage_runs_.begin(), stage_runs_.end(), stages_.begin(),
                       stages_.end(), is_present);
  }

  /// Start of the listed run of a stage; nothing if it is not listed.
  [[nodiscard]] std::optional<std::uint64_t> RunOf(
      const ChainStage& stage) const {
    const KnownEndpoint* known =
        state_.directory().Find(stage.endpoint.value());
    return known == nullptr ? std::nullopt
                            : std::optional(known->record.started_at_ms);
  }

  void Leave() noexcept override {
    if (!registration_) {
      return;
    }
    SuspendLoad();
    state_.stall_detector().OnEnded(destination());
    state_.RemoveAttempt(*registration_);
    registration_.reset();
  }
  [[nodiscard]] bool is_in_flight() const noexcept override {
    return registration_.has_value();
  }

  RelayState& state_;
  ChainSelector& selector_;
  std::string service_;
  Chain stages_;
  double tokens_;
  std::chrono::milliseconds max_silence_;
  CrashWatch crash_watch_;
  /// Empty when the attempt no longer counts as in flight.
  std::optional<std::list<ActiveAttempt>::iterator> registration_;
  /// Start of the run of each stage when the request was sent.
  std::vector<std::optional<std::uint64_t>> stage_runs_;
  bool counts_as_load_ = true;
  /// Whether an event has passed through all stages.
  bool has_passed_ = false;
};

}  // namespace sycamoreford
