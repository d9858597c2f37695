#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/attempt_step.h"
#include "sycamoreford/adapters/http_client.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/relay/event_splitter.h"
#include "sycamoreford/relay/relay_codec.h"
#include "sycamoreford/relay/relay_request.h"
#include "sycamoreford/relay/tried_endpoints.h"

namespace sycamoreford {

/// Parameters of a `StreamAttempt`.
struct StreamAttemptOptions {
  std::string request_id;
  /// IP address and port of the destination.
  std::string address;
  /// The request, encoded for the destination.
  HttpRequest request;
  /// Called when the connection is established: whether the request may still
  /// be sent.
  std::function<bool()> may_send{};
  /// Called when the connection was established and the request sent.
  std::function<void()> on_sent{};
  TimePoint deadline{};
  std::chrono::milliseconds connect_timeout{0};
  /// Whether the response is expected to be a stream of events.
  bool streams = false;
  /// Position in the stream after which this attempt goes on.
  EventSplitter position;
  /// Place of the endpoint that another daemon chooses; empty if the request is
  /// not forwarded.
  TriedEndpoints::Place place{};
};

/// One send of a request whose response may be a stream of events, and what
/// arrives of the response. Counts as in flight at its destination until it is
/// destroyed or abandoned.
///
/// Thread safety: none.
template <RelayCodec Codec, Clock TheClock>
class StreamAttempt {
 public:
  StreamAttempt(const StreamAttempt&) = delete;
  StreamAttempt& operator=(const StreamAttempt&) = delete;
  virtual ~StreamAttempt() = default;

  /// Sends the request if that was not done yet, and waits for what comes next.
  ///
  /// Precondition: no step but `kStreamBegun`, `kEvents` and `kInterrupted` was
  /// returned before.
  boost::asio::awaitable<AttemptStep> Next() {
    if (!is_started_) {
      is_started_ = true;
      const auto failure = co_await call_.Send(
          options_.address, options_.request, options_.connect_timeout,
          TimeLeft(), options_.may_send);
      if (call_.was_sent() && options_.on_sent) {
        options_.on_sent();
      }
      if (failure) {
        co_return OnFailure(*failure);
      }
      OnSent();
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
      NoteProgress();
      if (!bytes->has_value()) {
        co_return OnStreamEnd();
      }
      events_ = options_.position.Feed(**bytes);
      if (!events_.empty()) {
        OnEvents();
        co_return AttemptStep::kEvents;
      }
      if (options_.position.is_too_long() ||
          !call_.Retain(options_.position.capacity())) {
        call_.Abort();
        failure_ = {.code = Errc::kBadEndpointAnswer,
                    .outcome = Outcome::kUnknown,
                    .where = "event too long"};
        co_return AttemptStep::kLost;
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

  /// Stops counting as load at the destination while a successor is tried; one
  /// of the two ends soon.
  virtual void SuspendLoad() = 0;
  /// Counts as load at the destination again.
  virtual void ResumeLoad() = 0;

  /// Called with the pause between two events.
  virtual void OnPause(Duration /*pause*/) {}

  /// Called when the attempt has failed with this step.
  virtual void OnFailed(AttemptStep step) = 0;

  /// Id of the first endpoint, or the address of another daemon.
  [[nodiscard]] virtual const std::string& destination() const noexcept = 0;
  /// Whether the request goes through another daemon.
  [[nodiscard]] virtual bool is_forwarded() const noexcept = 0;

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
  [[nodiscard]] bool was_sent() const noexcept { return call_.was_sent(); }
  [[nodiscard]] const TriedEndpoints::Place& place() const noexcept {
    return options_.place;
  }
  /// The reason of the last step `kNotSent`, `kWithheld` or `kLost`.
  [[nodiscard]] const Failure& failure() const noexcept { return failure_; }
  [[nodiscard]] HttpCall& call() noexcept { return call_; }

 protected:
  /// Precondition: `clock` outlives this object, or it is abandoned before.
  StreamAttempt(const TheClock& clock,
                const boost::asio::any_io_executor& executor,
                StreamAttemptOptions options)
      : clock_(clock),
        options_(std::move(options)),
        call_(executor),
        sent_at_(clock.Now()) {}

  /// Called when the request was sent on a new connection.
  virtual void OnSent() {}
  /// Called when the head of the response has arrived.
  virtual void OnHeadDecoded() {}
  /// The run of the endpoint that the request was sent to; empty if it is not
  /// known.
  [[nodiscard]] virtual std::optional<EndpointRunId> sender() const {
    return std::nullopt;
  }
  /// Called when any part of the response has arrived.
  virtual void OnProgress(TimePoint /*now*/) {}
  /// Called when complete events have arrived.
  virtual void OnEvents() {}
  /// Called when the stream is known to be complete.
  virtual void OnComplete() {}
  /// Whether the destination has been silent for longer than a sound one and
  /// does not respond otherwise either.
  [[nodiscard]] virtual bool HasDied(TimePoint now) const = 0;
  /// Stops counting as in flight; may be called repeatedly.
  virtual void Leave() noexcept = 0;
  [[nodiscard]] virtual bool is_in_flight() const noexcept = 0;

  /// Time since the last part of the response arrived.
  [[nodiscard]] Duration Silence(TimePoint now) const noexcept {
    return now - last_received_at_.value_or(sent_at_);
  }
  [[nodiscard]] const TheClock& clock() const noexcept { return clock_; }
  [[nodiscard]] const std::string& request_id() const noexcept {
    return options_.request_id;
  }
  [[nodiscard]] TimePoint sent_at() const noexcept { return sent_at_; }

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

  /// Whether the response is a stream that may be forwarded.
  [[nodiscard]] bool IsStream() const {
    constexpr unsigned kOk = 200;
    return options_.streams && head_.status == kOk && head_.IsTrusted();
  }

  void NoteProgress() {
    if (is_in_flight()) {
      last_received_at_ = clock_.Now();
      OnProgress(*last_received_at_);
    }
  }

  AttemptStep OnHead() {
    has_head_ = true;
    NoteProgress();
    head_ = Codec::DecodeResponseHead(options_.request_id, call_.status(),
                                      call_.fields());
    if (is_forwarded()) {
      head_.SetForwarded(call_.sent_at());
    } else {
      head_.SetSender(sender(), call_.sent_at());
    }
    if (is_in_flight()) {
      OnHeadDecoded();
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
        OnComplete();
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
    if (call_.was_withheld()) {
      return AttemptStep::kWithheld;
    }
    return call_.was_sent() ? AttemptStep::kLost : AttemptStep::kNotSent;
  }

  const TheClock& clock_;
  StreamAttemptOptions options_;
  HttpCall call_;
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
