#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "sycamoreford/adapters/attempt_step.h"
#include "sycamoreford/adapters/http_client.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/relay/relay_codec.h"
#include "sycamoreford/relay/relay_request.h"
#include "sycamoreford/relay/service_selector.h"
#include "sycamoreford/relay/tried_endpoints.h"

namespace sycamoreford {

/// Parameters of an `EndpointAttempt`.
struct EndpointAttemptOptions {
  std::string request_id{};
  /// Id of the endpoint, or the address of another daemon.
  std::string endpoint;
  /// The run of the endpoint; empty for another daemon.
  std::optional<EndpointRunId> run{};
  /// Whether the request is sent through another daemon.
  bool is_forwarded = false;
  /// Place of the endpoint that the other daemon chooses.
  TriedEndpoints::Place place{};
  std::string address;
  /// The request, encoded for this endpoint.
  HttpRequest request;
  /// Called when the connection is established: whether the request may still
  /// be sent.
  std::function<bool()> may_send{};
  /// Called when the connection was established and the request sent.
  std::function<void()> on_sent{};
  /// Called when the head of the response has arrived, which may be long before
  /// the attempt ends.
  std::function<void(const ResponseHead&)> on_head{};
  TimePoint deadline{};
  std::chrono::milliseconds connect_timeout{0};
  std::size_t max_response_bytes = 0;
};

/// One send of a request to an endpoint of a plain service, or through another
/// daemon, with the whole response. Counts as in flight at the endpoint until
/// its result is reported to the selector, or until it is destroyed or
/// abandoned.
///
/// Thread safety: none; runs on the thread of the selector.
template <RelayCodec Codec, Clock TheClock>
class EndpointAttempt {
 public:
  /// Precondition: `selector` and `clock` outlive this object, or it is
  /// abandoned before they are destroyed.
  EndpointAttempt(ServiceSelector& selector,
                  const TheClock& clock,
                  const boost::asio::any_io_executor& executor,
                  EndpointAttemptOptions options)
      : selector_(selector),
        clock_(clock),
        options_(std::move(options)),
        started_at_(clock.Now()),
        call_(executor) {
    selector_.OnSent(options_.endpoint);
  }
  EndpointAttempt(const EndpointAttempt&) = delete;
  EndpointAttempt& operator=(const EndpointAttempt&) = delete;
  ~EndpointAttempt() { Leave(); }

  /// Sends the request and receives the response.
  ///
  /// \returns `kResponse` for a complete and trusted response, or `kNotRun`,
  ///     `kNotSent`, `kWithheld` or `kLost`.
  /// Precondition: called once.
  boost::asio::awaitable<AttemptStep> Run() {
    auto failure = co_await call_.Send(options_.address, options_.request,
                                       options_.connect_timeout, TimeLeft(),
                                       options_.may_send);
    if (call_.was_sent() && options_.on_sent) {
      options_.on_sent();
    }
    if (!failure) {
      failure = co_await call_.ReadHead(TimeLeft());
    }
    if (failure) {
      co_return Fail(std::move(*failure));
    }
    has_begun_ = true;
    head_ = Codec::DecodeResponseHead(options_.request_id, call_.status(),
                                      call_.fields());
    if (options_.is_forwarded) {
      head_.SetForwarded(call_.sent_at());
    } else {
      head_.SetSender(options_.run, call_.sent_at());
    }
    if (options_.on_head) {
      options_.on_head(head_);
    }
    auto body = co_await call_.ReadAll(options_.max_response_bytes, TimeLeft());
    if (head_.is_not_run) {
      Report(false);
      co_return AttemptStep::kNotRun;
    }
    if (!body) {
      co_return Fail(body.error());
    }
    if (!head_.IsTrusted()) {
      co_return Fail({.code = Errc::kBadEndpointAnswer});
    }
    body_ = std::move(*body);
    Report(!head_.IsServerError());
    co_return AttemptStep::kResponse;
  }

  /// Reports the endpoint to the selector as too slow, while the attempt goes
  /// on.
  void OnOverdue() {
    if (!is_overdue_ && !is_reported_) {
      is_overdue_ = true;
      const TimePoint now = clock_.Now();
      selector_.OnOverdue(options_.endpoint, now, now - started_at_);
    }
  }

  /// Closes the connection. A running call of `Run` ends.
  void Abandon() noexcept {
    call_.Abort();
    Leave();
  }

  /// The whole response, without its hop-by-hop headers.
  ///
  /// Precondition: `Run` has returned `kResponse`; called once.
  [[nodiscard]] HttpResponse TakeResponse() {
    HttpResponse response =
        Codec::EncodeResponse(call_.status(), call_.fields());
    response.body = std::move(body_);
    return response;
  }

  /// Id of the endpoint, or the address of another daemon.
  [[nodiscard]] const std::string& destination() const noexcept {
    return options_.endpoint;
  }
  /// The run that the request was sent to; empty if it was sent to another
  /// daemon.
  [[nodiscard]] const std::optional<EndpointRunId>& run() const noexcept {
    return options_.run;
  }
  [[nodiscard]] bool is_forwarded() const noexcept {
    return options_.is_forwarded;
  }
  [[nodiscard]] const TriedEndpoints::Place& place() const noexcept {
    return options_.place;
  }
  [[nodiscard]] TimePoint started_at() const noexcept { return started_at_; }
  [[nodiscard]] bool is_overdue() const noexcept { return is_overdue_; }
  /// Whether the connection was established.
  [[nodiscard]] bool was_sent() const noexcept { return call_.was_sent(); }
  /// Whether the head of the response has arrived.
  [[nodiscard]] bool has_begun() const noexcept { return has_begun_; }
  /// Precondition: `has_begun()`.
  [[nodiscard]] const ResponseHead& head() const noexcept { return head_; }
  /// The reason of `kNotSent`, `kWithheld` or `kLost`.
  [[nodiscard]] const Failure& failure() const noexcept { return failure_; }

 private:
  [[nodiscard]] std::chrono::milliseconds TimeLeft() const {
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(
                        options_.deadline - clock_.Now()),
                    std::chrono::milliseconds(0));
  }

  AttemptStep Fail(Failure failure) {
    failure_ = std::move(failure);
    if (call_.was_withheld()) {
      Leave();
      return AttemptStep::kWithheld;
    }
    Report(false);
    return call_.was_sent() ? AttemptStep::kLost : AttemptStep::kNotSent;
  }

  void Report(bool ok) {
    if (is_overdue_) {
      Leave();
    } else if (!is_reported_) {
      is_reported_ = true;
      const TimePoint now = clock_.Now();
      selector_.OnResponse(options_.endpoint, now, now - started_at_, ok);
    }
  }

  void Leave() noexcept {
    if (!is_reported_) {
      is_reported_ = true;
      selector_.OnEnded(options_.endpoint);
    }
  }

  ServiceSelector& selector_;
  const TheClock& clock_;
  EndpointAttemptOptions options_;
  TimePoint started_at_;
  HttpCall call_;
  /// Whether the attempt no longer counts as in flight.
  bool is_reported_ = false;
  bool has_begun_ = false;
  bool is_overdue_ = false;
  ResponseHead head_;
  std::string body_;
  Failure failure_;
};

}  // namespace sycamoreford
