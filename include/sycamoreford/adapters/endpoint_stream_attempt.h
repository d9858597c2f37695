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

/// Parameters of an `EndpointStreamAttempt`.
struct EndpointStreamOptions {
  StreamAttemptOptions stream;
  EndpointRunId run;
  /// Silence after which another endpoint is tried.
  std::chrono::milliseconds silence{0};
  /// Silence after which the attempt ends if the endpoint is suspected, or is
  /// no longer listed.
  std::chrono::milliseconds max_silence{0};
  /// What the request may have in common with others that crash endpoints.
  std::vector<RequestTrait> traits;
};

/// A send of a request for a stream to an endpoint of a plain service. Is
/// interrupted when the endpoint is silent or suspected.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <RelayCodec Codec, Clock TheClock>
class EndpointStreamAttempt final : public StreamAttempt<Codec, TheClock> {
  using Base = StreamAttempt<Codec, TheClock>;

 public:
  using Base::head;

  /// Precondition: `state` and `clock` outlive this object, or it is abandoned
  /// before they are destroyed.
  EndpointStreamAttempt(RelayState& state,
                        const TheClock& clock,
                        const boost::asio::any_io_executor& executor,
                        EndpointStreamOptions options)
      : Base(clock, executor, std::move(options.stream)),
        state_(state),
        run_(std::move(options.run)),
        silence_(options.silence),
        max_silence_(options.max_silence),
        crash_watch_(state.quarantine(),
                     std::move(options.traits),
                     run_.id,
                     QuarantineGuard::RunOf(run_)) {
    ChainStage stage;
    stage.endpoint = EndpointId(run_.id);
    registration_ = state_.AddAttempt({.request_id = Base::request_id(),
                                       .stages = {std::move(stage)},
                                       .call = &Base::call()});
    state_.service_selector().OnSent(run_.id);
  }
  ~EndpointStreamAttempt() override { Leave(); }

  void SuspendLoad() override {
    if (registration_ && std::exchange(counts_as_load_, false)) {
      state_.service_selector().OnEnded(run_.id);
    }
  }
  void ResumeLoad() override {
    if (registration_ && !std::exchange(counts_as_load_, true)) {
      state_.service_selector().OnSent(run_.id);
    }
  }

  void OnFailed(AttemptStep step) override {
    if (step == AttemptStep::kNotSent) {
      state_.OnUnreachable(run_.id, clock().Now());
      state_.OnEndpointSuspected(run_.id, "no_connection", clock().Now());
    } else if (step == AttemptStep::kLost &&
               Base::failure().code == Errc::kConnectionLost &&
               !state_.directory().leaving().Contains(run_)) {
      // An endpoint that is leaving ends anyway.
      crash_watch_.OnConnectionLost(clock().Now());
    }
    if (step != AttemptStep::kWithheld) {
      responded_at_ = clock().Now();
      is_sound_ = false;
    }
  }

  [[nodiscard]] const std::string& destination() const noexcept override {
    return run_.id;
  }
  [[nodiscard]] bool is_forwarded() const noexcept override { return false; }

 private:
  using Base::clock;

  void OnSent() override {
    state_.OnConnected(Base::sent_at());
    SetNextInterrupt(clock().Now());
  }
  void OnHeadDecoded() override {
    const TimePoint now = clock().Now();
    responded_at_ = now;
    is_sound_ = head().IsTrusted() && !head().IsServerError();
    state_.leaving().OnHead(head(), run_.id, Base::request_id(),
                            LeavingSource::kResponse);
    if (head().retry_after) {
      state_.OnRetryAfter(run_, *head().retry_after, BackoffSource::kRequest,
                          now);
    }
    if (head().IsTrusted() || head().is_not_run) {
      state_.OnStatedLimit(run_.id, head().request_limit, Base::sent_at(), now);
    }
  }
  [[nodiscard]] std::optional<EndpointRunId> sender() const override {
    return run_;
  }
  void OnProgress(TimePoint now) override { SetNextInterrupt(now); }
  void OnEvents() override { crash_watch_.OnEvents(clock().Now()); }
  void OnComplete() override { crash_watch_.OnComplete(clock().Now()); }

  void SetNextInterrupt(TimePoint now) {
    if (registration_) {
      (*registration_)->next_interrupt_at = now + silence_;
    }
  }

  [[nodiscard]] bool HasDied(TimePoint now) const override {
    const KnownEndpoint* known = state_.directory().Find(run_.id);
    const bool is_present = known != nullptr &&
                            known->record.started_at_ms == run_.started_at_ms &&
                            known->suspected_until <= now;
    return Base::Silence(now) >= max_silence_ && !is_present;
  }

  void Leave() noexcept override {
    if (!registration_) {
      return;
    }
    if (counts_as_load_) {
      if (responded_at_) {
        state_.service_selector().OnResponse(run_.id, clock().Now(),
                                             *responded_at_ - Base::sent_at(),
                                             is_sound_);
      } else {
        state_.service_selector().OnEnded(run_.id);
      }
    }
    state_.RemoveAttempt(*registration_);
    registration_.reset();
  }
  [[nodiscard]] bool is_in_flight() const noexcept override {
    return registration_.has_value();
  }

  RelayState& state_;
  EndpointRunId run_;
  std::chrono::milliseconds silence_;
  std::chrono::milliseconds max_silence_;
  CrashWatch crash_watch_;
  /// Empty when the attempt no longer counts as in flight.
  std::optional<std::list<ActiveAttempt>::iterator> registration_;
  bool counts_as_load_ = true;
  /// When the head arrived or the attempt failed.
  std::optional<TimePoint> responded_at_;
  /// Whether the endpoint has responded as a sound one.
  bool is_sound_ = false;
};

}  // namespace sycamoreford
