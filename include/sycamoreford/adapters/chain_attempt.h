#pragma once

#include <algorithm>
#include <chrono>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/attempt_step.h"
#include "sycamoreford/adapters/http_client.h"
#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/relay/event_splitter.h"
#include "sycamoreford/relay/relay_codec.h"
#include "sycamoreford/relay/relay_request.h"

namespace sycamoreford {

/// Parameters of a `ChainAttempt`.
struct ChainAttemptOptions {
  std::string request_id;
  /// The request, encoded for the first endpoint of the chain.
  HttpRequest request;
  Chain stages;
  /// Expected size of the request and its response.
  double tokens = 0;
  TimePoint deadline{};
  std::chrono::milliseconds connect_timeout{0};
  /// Silence after which the attempt ends if a stage does not respond either.
  std::chrono::milliseconds max_silence{0};
  /// Whether the response is expected to be a stream of events.
  bool streams = false;
  /// Position in the stream after which this attempt goes on.
  EventSplitter position;
  /// Parts of the prompt that other requests may share.
  std::vector<PromptPartId> shared_parts;
};

/// One send of a request to a chain and what arrives of its response. Counts as
/// in flight on the chain, and is interrupted if a stage is suspected, until it
/// is destroyed or abandoned.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <RelayCodec Codec, Clock TheClock>
class ChainAttempt {
 public:
  /// Precondition: `state` and `clock` outlive this object, or it is abandoned
  /// before they are destroyed.
  ChainAttempt(RelayState& state,
               const TheClock& clock,
               const boost::asio::any_io_executor& executor,
               const RelayService& service,
               ChainAttemptOptions options)
      : state_(state),
        clock_(clock),
        selector_(state.ChainSelectorFor(service, clock.Now())),
        options_(std::move(options)),
        prompt_watch_(state.prompt_guard(),
                      std::move(options_.shared_parts),
                      first_endpoint(),
                      PromptGuard::RunOf(state.directory(), first_endpoint())),
        call_(executor),
        sent_at_(clock.Now()) {
    for (const ChainStage& stage : options_.stages) {
      stage_runs_.push_back(RunOf(stage));
    }
    registration_ = state_.AddAttempt({.request_id = options_.request_id,
                                       .stages = options_.stages,
                                       .call = &call_});
    selector_.OnSent(options_.stages, options_.tokens);
    state_.stall_detector().OnSent(first_endpoint(), clock_.Now());
  }
  ChainAttempt(const ChainAttempt&) = delete;
  ChainAttempt& operator=(const ChainAttempt&) = delete;
  ~ChainAttempt() { Leave(); }

  /// Sends the request if that was not done yet, and waits for what comes next.
  /// Silence ends the attempt only if it lasts and a stage does not respond.
  ///
  /// Precondition: no step but `kStreamBegun`, `kEvents` and `kInterrupted` was
  /// returned before.
  boost::asio::awaitable<AttemptStep> Next() {
    if (!is_started_) {
      is_started_ = true;
      const auto failure =
          co_await call_.Send(options_.stages.front().address, options_.request,
                              options_.connect_timeout, TimeLeft());
      if (failure) {
        co_return OnFailure(*failure);
      }
    }
    if (!has_head_) {
      const auto failure = co_await call_.ReadHead(TimeLeft());
      if (failure) {
        co_return OnFailure(*failure);
      }
      co_return OnHead();
    }
    for (;;) {
      auto bytes = co_await call_.ReadSome(TimeLeft());
      if (!bytes) {
        co_return OnFailure(bytes.error());
      }
      OnProgress();
      if (!bytes->has_value()) {
        co_return OnStreamEnd();
      }
      events_ = options_.position.Feed(**bytes);
      if (!events_.empty()) {
        prompt_watch_.OnEvents(clock_.Now());
        co_return AttemptStep::kEvents;
      }
    }
  }

  /// Ends the running or the next wait of `Next` with `kInterrupted`.
  void Interrupt() noexcept { call_.Interrupt(); }

  /// Discards an interruption that has not ended a wait yet.
  void ClearInterrupt() noexcept { call_.ClearInterrupt(); }

  /// Closes the connection and stops counting as in flight. A running call of
  /// `Next` ends.
  void Abandon() noexcept {
    call_.Abort();
    Leave();
  }

  /// Stops counting as load on the chain while a successor is tried; one of the
  /// two ends soon.
  void SuspendLoad() {
    if (registration_ && counts_as_load_) {
      counts_as_load_ = false;
      selector_.OnEnded(options_.stages, options_.tokens);
    }
  }
  /// Counts as load on the chain again.
  void ResumeLoad() {
    if (registration_ && !counts_as_load_) {
      counts_as_load_ = true;
      selector_.OnSent(options_.stages, options_.tokens);
    }
  }

  /// Records the pause between two events.
  void OnPause(Duration pause) {
    state_.stall_detector().OnPause(first_endpoint(), pause);
  }

  /// Whether any part of the response has arrived since `time`.
  [[nodiscard]] bool HasReceivedSince(TimePoint time) const noexcept {
    return last_received_at_ && *last_received_at_ >= time;
  }
  /// The complete events of the last step `kEvents`.
  [[nodiscard]] std::string_view events() const noexcept { return events_; }
  /// Position after the last complete event.
  [[nodiscard]] const EventSplitter& position() const noexcept {
    return options_.position;
  }
  /// Whether the head of the response has arrived.
  [[nodiscard]] bool has_begun() const noexcept { return has_head_; }
  /// Precondition: `has_begun()`.
  [[nodiscard]] const ResponseHead& head() const noexcept { return head_; }
  [[nodiscard]] const Chain& stages() const noexcept { return options_.stages; }
  [[nodiscard]] const std::string& first_endpoint() const {
    return options_.stages.front().endpoint.value();
  }
  [[nodiscard]] bool was_sent() const noexcept { return call_.was_sent(); }
  /// The reason of the last step `kNotSent` or `kLost`.
  [[nodiscard]] const Failure& failure() const noexcept { return failure_; }
  [[nodiscard]] HttpCall& call() noexcept { return call_; }
  [[nodiscard]] const PromptWatch& prompt_watch() const noexcept {
    return prompt_watch_;
  }

 private:
  [[nodiscard]] std::chrono::milliseconds TimeLeft() const {
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(
                        options_.deadline - clock_.Now()),
                    std::chrono::milliseconds(0));
  }

  AttemptStep OnInterrupted() {
    if (!HasDied(clock_.Now())) {
      return AttemptStep::kInterrupted;
    }
    Abandon();
    failure_ = {.code = Errc::kStalled,
                .outcome = Outcome::kUnknown,
                .where = "a stage does not respond"};
    return AttemptStep::kLost;
  }

  /// Whether the chain has been silent for longer than a sound one, and a stage
  /// of it does not respond, is no longer listed or was started anew.
  [[nodiscard]] bool HasDied(TimePoint now) const {
    const Duration silence = now - last_received_at_.value_or(sent_at_);
    const auto is_present = [&](const auto& run, const ChainStage& stage) {
      const KnownEndpoint* known =
          state_.directory().Find(stage.endpoint.value());
      return known != nullptr && run == RunOf(stage) &&
             known->suspected_until <= now;
    };
    return silence >= options_.max_silence &&
           !std::equal(stage_runs_.begin(), stage_runs_.end(),
                       options_.stages.begin(), options_.stages.end(),
                       is_present);
  }

  /// Start of the listed run of a stage; nothing if it is not listed.
  [[nodiscard]] std::optional<std::uint64_t> RunOf(
      const ChainStage& stage) const {
    const KnownEndpoint* known =
        state_.directory().Find(stage.endpoint.value());
    return known == nullptr ? std::nullopt
                            : std::optional(known->record.started_at_ms);
  }

  /// Whether the response is a stream that may be forwarded.
  [[nodiscard]] bool IsStream() const {
    constexpr unsigned kOk = 200;
    return options_.streams && head_.status == kOk && head_.IsTrusted();
  }

  void OnProgress() {
    if (registration_) {
      last_received_at_ = clock_.Now();
      (*registration_)->next_interrupt_at.reset();
      state_.stall_detector().OnProgress(first_endpoint(), *last_received_at_);
    }
  }

  AttemptStep OnHead() {
    has_head_ = true;
    OnProgress();
    head_ = Codec::DecodeResponseHead(options_.request_id, call_.status(),
                                      call_.fields());
    if (head_.load && registration_) {
      selector_.OnReportedLoad(first_endpoint(), *head_.load, clock_.Now());
    }
    if (registration_ && head_.IsTrusted()) {
      state_.OnStatedLimit(first_endpoint(), head_.request_limit, sent_at_,
                           clock_.Now());
    }
    if (head_.is_not_run) {
      return AttemptStep::kNotRun;
    }
    return IsStream() ? AttemptStep::kStreamBegun : AttemptStep::kResponse;
  }

  AttemptStep OnStreamEnd() {
    const bool is_framed = !call_.fields().Get("Content-Length").empty() ||
                           !call_.fields().Get("Transfer-Encoding").empty();
    if (options_.position.incomplete_event().empty()) {
      // Without framing, the end of a crashed endpoint's response looks the
      // same.
      if (is_framed) {
        prompt_watch_.OnComplete(clock_.Now());
      }
      return AttemptStep::kStreamEnded;
    }
    failure_ = {
        .code = is_framed ? Errc::kBadEndpointAnswer : Errc::kConnectionLost,
        .outcome = Outcome::kUnknown,
        .where = "ends within an event"};
    return AttemptStep::kLost;
  }

  AttemptStep OnFailure(const Failure& failure) {
    if (call_.was_interrupted()) {
      return OnInterrupted();
    }
    failure_ = failure;
    return call_.was_sent() ? AttemptStep::kLost : AttemptStep::kNotSent;
  }

  void Leave() noexcept {
    if (!registration_) {
      return;
    }
    SuspendLoad();
    state_.stall_detector().OnEnded(first_endpoint());
    state_.RemoveAttempt(*registration_);
    registration_.reset();
  }

  RelayState& state_;
  const TheClock& clock_;
  ChainSelector& selector_;
  ChainAttemptOptions options_;
  PromptWatch prompt_watch_;
  HttpCall call_;
  /// Empty when the attempt no longer counts as in flight.
  std::optional<std::list<ActiveAttempt>::iterator> registration_;
  /// Start of the run of each stage when the request was sent.
  std::vector<std::optional<std::uint64_t>> stage_runs_;
  bool counts_as_load_ = true;
  TimePoint sent_at_;
  /// When the last part of the response arrived.
  std::optional<TimePoint> last_received_at_;
  bool is_started_ = false;
  bool has_head_ = false;
  ResponseHead head_;
  std::string_view events_;
  Failure failure_;
};

}  // namespace sycamoreford
