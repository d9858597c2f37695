#pragma once

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

#include <xxhash.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/this_coro.hpp>

#include "sycamoreford/adapters/http_client.h"
#include "sycamoreford/adapters/http_server.h"
#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/core/log.h"
#include "sycamoreford/relay/event_splitter.h"
#include "sycamoreford/relay/relay_codec.h"
#include "sycamoreford/relay/send_limits.h"

namespace sycamoreford {

namespace relay {

/// Maximum time to establish a connection to an endpoint. A lost SYN packet is
/// retransmitted only after a second, and a dead VM never responds.
inline constexpr std::chrono::milliseconds kConnectTimeout{400};
/// Maximum number of failed attempts to connect, in which nothing was sent,
/// before a request is refused.
inline constexpr int kMaxConnectFailures = 3;
/// Maximum size of a response that is buffered before it is forwarded.
inline constexpr std::size_t kMaxResponseBytes = 16UL * 1024 * 1024;

/// State of one request while it is processed.
struct RequestContext {
  RelayRequest request;
  std::shared_ptr<const Manifest> manifest;
  const RelayRoute* route = nullptr;
  const RelayService* service = nullptr;
  std::string customer;
  std::uint32_t priority = 0;
  TimePoint arrived_at{};
  /// End of the time limit of the caller or the route, whichever is earlier.
  TimePoint deadline{};
  /// Number of times that it was sent to an endpoint.
  int sends = 0;
  int connect_failures = 0;
  /// Whether an endpoint may have run the request.
  bool may_have_run = false;
  std::set<std::string> tried_endpoints;

  [[nodiscard]] std::chrono::milliseconds TimeLeft(TimePoint now) const {
    return std::max(
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now),
        std::chrono::milliseconds(0));
  }
  /// Whether the request may be sent again after an endpoint may have run it.
  [[nodiscard]] bool MayRunAgain() const noexcept {
    return route->retry_policy != RetryPolicy::kAtMostOnce;
  }
};

}  // namespace relay

/// Forwards requests of callers to endpoints and their responses to the
/// callers.
///
/// A request that may run at most once is sent again only if the endpoint
/// reported that it did not run it, or if nothing was sent. A resumable stream
/// that breaks is resumed at another chain after its last complete event.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <RelayCodec Codec, Clock TheClock>
class RelayHandler {
 public:
  /// Precondition: `state` and `clock` outlive this object.
  RelayHandler(RelayState& state, const TheClock& clock)
      : state_(state), clock_(clock), random_(std::random_device{}()) {}

  /// Processes one request of a caller and responds to it.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange) {
    relay::RequestContext context;
    context.arrived_at = clock_.Now();
    const auto refusal = Admit(exchange.request(), context);
    if (refusal) {
      co_await Refuse(exchange, context, *refusal);
      co_return;
    }
    state_.RetryBudgetFor(context.service->name).OnRequest(context.arrived_at);
    if (context.service->engine) {
      co_await ServeByChain(exchange, context);
    } else {
      co_await ServeByEndpoint(exchange, context);
    }
  }

 private:
  using RequestContext = relay::RequestContext;

  /// Outcome of sending a request to an endpoint once.
  enum class SendOutcome {
    /// The caller has received the complete response.
    kDelivered,
    /// The endpoint reported that it did not run the request.
    kNotRun,
    /// No connection was established, so nothing was sent.
    kNotSent,
    /// The request may have run, but there is no usable response.
    kResponseLost,
  };

  /// Decodes the request and finds its route, customer and service.
  ///
  /// \returns the reason if the request is refused.
  std::optional<Refusal> Admit(const HttpRequest& request,
                               RequestContext& context) {
    auto decoded = Codec::Decode(request);
    if (!decoded) {
      return Refusal::kMalformed;
    }
    context.request = std::move(*decoded);
    context.manifest = state_.manifest();
    if (!context.manifest) {
      return Refusal::kNoConfiguration;
    }
    context.route =
        context.manifest->FindRoute(context.request.host, context.request.path);
    if (context.route == nullptr) {
      return Refusal::kNoRoute;
    }
    context.priority = context.route->priority;
    if (context.manifest->has_customers() && !context.route->allows_anonymous) {
      const RelayCustomer* customer =
          context.manifest->FindCustomer(context.request.api_key);
      if (customer == nullptr) {
        return Refusal::kUnknownKey;
      }
      context.customer = customer->name;
      context.priority = customer->priority.value_or(context.priority);
    }
    const auto caller_timeout =
        context.request.caller_timeout.value_or(context.route->time_limit);
    context.deadline = context.arrived_at +
                       std::min(caller_timeout, context.route->time_limit);
    context.service = ChooseService(context);
    return context.service == nullptr ? std::optional(Refusal::kNoEndpoint)
                                      : std::nullopt;
  }

  /// Selects a service of the route by weight. Depends only on the request id,
  /// so that the caller's retries of a request get the same service.
  const RelayService* ChooseService(const RequestContext& context) const {
    double total = 0;
    for (const WeightedService& share : context.route->services) {
      total += share.weight;
    }
    constexpr double kHashRange = 18446744073709551616.0;
    const std::string& id = context.request.id;
    double remaining = static_cast<double>(XXH64(id.data(), id.size(), 0)) /
                       kHashRange * total;
    for (const WeightedService& share : context.route->services) {
      remaining -= share.weight;
      if (remaining < 0) {
        return context.manifest->FindService(share.service);
      }
    }
    return nullptr;
  }

  [[nodiscard]] static bool IsServerError(unsigned status) noexcept {
    constexpr unsigned kFirstServerError = 500;
    return status >= kFirstServerError;
  }

  /// Time since the request arrived.
  [[nodiscard]] Duration Elapsed(const RequestContext& context) const {
    return clock_.Now() - context.arrived_at;
  }

  boost::asio::awaitable<void> Refuse(HttpExchange& exchange,
                                      const RequestContext& context,
                                      Refusal refusal) {
    LogEvent(Severity::kInfo, "refused")
        .With("request", context.request.id)
        .With("reason", ToString(refusal))
        .With("route", context.route == nullptr ? "" : context.route->name)
        .With("revision", context.manifest ? context.manifest->revision() : 0)
        .With("sends", context.sends)
        .With("after_ms", Elapsed(context));
    RecordOutcome(context, ToString(refusal));
    co_await exchange.Respond(
        Codec::EncodeRefusal(refusal, relay::DrawRetryAfter(random_)));
  }

  void RecordOutcome(const RequestContext& context, std::string_view outcome) {
    state_.metrics().OnEnded(
        context.service == nullptr ? "" : context.service->name,
        context.customer, outcome, Elapsed(context), context.sends);
  }

  /// The reason to return to the caller of a request without a response.
  [[nodiscard]] Refusal FinalRefusal(const RequestContext& context) const {
    const bool is_late = context.TimeLeft(clock_.Now()) < relay::kMinTimeLeft;
    if (context.may_have_run) {
      return is_late ? Refusal::kTimedOut : Refusal::kAnswerLost;
    }
    return is_late ? Refusal::kTooLate : Refusal::kNoEndpoint;
  }

  /// Whether the request may be sent once more; if it was sent before, acquires
  /// a retry from the retry budget.
  bool TryAcquireSend(RequestContext& context) {
    const TimePoint now = clock_.Now();
    if (context.connect_failures >= relay::kMaxConnectFailures ||
        context.sends >= relay::kMaxSends ||
        context.TimeLeft(now) < relay::kMinTimeLeft) {
      return false;
    }
    if (context.sends == 0) {
      return true;
    }
    return (!context.may_have_run || context.MayRunAgain()) &&
           state_.RetryBudgetFor(context.service->name)
               .TryAcquire(now, state_.daemon_count());
  }

  /// Records a send after which the caller has no complete response.
  static void RecordFailedSend(RequestContext& context,
                               SendOutcome outcome,
                               const std::string& endpoint) {
    if (outcome == SendOutcome::kNotSent) {
      ++context.connect_failures;
      return;
    }
    context.tried_endpoints.insert(endpoint);
    context.may_have_run =
        context.may_have_run || outcome == SendOutcome::kResponseLost;
  }

  /// Throws if the caller has disconnected, since the cancelled call would
  /// otherwise be regarded as a failure of the endpoint.
  static boost::asio::awaitable<void> ThrowIfCallerGone() {
    const auto state = co_await boost::asio::this_coro::cancellation_state;
    if (state.cancelled() != boost::asio::cancellation_type::none) {
      throw boost::system::system_error(boost::asio::error::operation_aborted);
    }
  }

  // Plain services, which have no engine.

  boost::asio::awaitable<void> ServeByEndpoint(HttpExchange& exchange,
                                               RequestContext& context) {
    std::optional<HttpResponse> error_response;
    while (TryAcquireSend(context)) {
      if (context.tried_endpoints.size() >= context.route->max_attempts) {
        break;
      }
      const KnownEndpoint* endpoint = state_.service_selector().Pick(
          state_.directory(), context.service->name, clock_.Now(),
          context.tried_endpoints, !context.MayRunAgain());
      if (endpoint == nullptr) {
        break;
      }
      const EndpointRecord record = endpoint->record;
      const SendOutcome outcome =
          co_await SendToEndpoint(exchange, context, record, error_response);
      if (outcome == SendOutcome::kDelivered) {
        co_return;
      }
      RecordFailedSend(context, outcome, record.id);
    }
    if (error_response) {
      RecordOutcome(context, "endpoint_failed");
      co_await exchange.Respond(std::move(*error_response));
      co_return;
    }
    co_await Refuse(exchange, context, FinalRefusal(context));
  }

  /// Counts a request as in flight at its endpoint until the response or,
  /// without one, until destruction.
  class EndpointUseGuard {
   public:
    EndpointUseGuard(ServiceSelector& selector, std::string id)
        : selector_(selector), id_(std::move(id)) {
      selector_.OnSent(id_);
    }
    EndpointUseGuard(const EndpointUseGuard&) = delete;
    EndpointUseGuard& operator=(const EndpointUseGuard&) = delete;
    ~EndpointUseGuard() {
      if (!has_response_) {
        selector_.OnEnded(id_);
      }
    }
    void OnResponse(TimePoint now, Duration time, bool ok) {
      has_response_ = true;
      selector_.OnResponse(id_, now, time, ok);
    }

   private:
    ServiceSelector& selector_;
    std::string id_;
    bool has_response_ = false;
  };

  boost::asio::awaitable<SendOutcome> SendToEndpoint(
      HttpExchange& exchange,
      RequestContext& context,
      const EndpointRecord& record,
      std::optional<HttpResponse>& error_response) {
    const TimePoint started_at = clock_.Now();
    const auto time_left = context.TimeLeft(started_at);
    // A request that may be sent elsewhere does not wait for an unresponsive
    // endpoint until its deadline.
    const bool may_try_another =
        context.MayRunAgain() &&
        context.tried_endpoints.size() + 1 < context.route->max_attempts;
    const auto response_timeout =
        may_try_another ? std::min(time_left, context.route->target_latency)
                        : time_left;
    ForwardOptions options;
    options.endpoint_id = record.id;
    options.time_left = time_left;
    options.customer = context.customer;
    EndpointUseGuard guard(state_.service_selector(), record.id);
    HttpCall call(co_await boost::asio::this_coro::executor);
    const HttpRequest encoded = Codec::Encode(exchange.request(), options);
    const auto failure = co_await call.Start(
        record.address, encoded, relay::kConnectTimeout, response_timeout);
    co_await ThrowIfCallerGone();
    context.sends += call.was_sent() ? 1 : 0;
    if (failure) {
      const TimePoint now = clock_.Now();
      guard.OnResponse(now, now - started_at, false);
      if (!call.was_sent()) {
        state_.OnEndpointLost(record.id, "no_connection", now);
        co_return SendOutcome::kNotSent;
      }
      LogResponseLost(context, record.id, *failure, false);
      co_return SendOutcome::kResponseLost;
    }
    co_return co_await ReadResponse(exchange, context, record.id, call, guard,
                                    started_at, error_response);
  }

  boost::asio::awaitable<SendOutcome> ReadResponse(
      HttpExchange& exchange,
      RequestContext& context,
      const std::string& endpoint,
      HttpCall& call,
      EndpointUseGuard& guard,
      TimePoint started_at,
      std::optional<HttpResponse>& error_response) {
    const ResponseHead head = Codec::DecodeResponseHead(
        context.request.id, call.status(), call.fields());
    auto body = co_await call.ReadAll(relay::kMaxResponseBytes,
                                      context.TimeLeft(clock_.Now()));
    co_await ThrowIfCallerGone();
    const TimePoint now = clock_.Now();
    const bool is_success =
        body.has_value() && head.IsTrusted() && !IsServerError(head.status);
    guard.OnResponse(now, now - started_at, is_success);
    if (head.is_not_run) {
      LogNotRun(context, endpoint, head);
      co_return SendOutcome::kNotRun;
    }
    if (!body.has_value() || !head.IsTrusted()) {
      LogResponseLost(context, endpoint,
                      body.has_value()
                          ? Failure{.code = Errc::kBadEndpointAnswer}
                          : body.error(),
                      true);
      co_return SendOutcome::kResponseLost;
    }
    state_.directory().OnSuccess(endpoint);
    HttpResponse response = Codec::EncodeResponse(call.status(), call.fields());
    response.body = std::move(*body);
    if (!is_success && context.MayRunAgain()) {
      error_response = std::move(response);
      co_return SendOutcome::kResponseLost;
    }
    RecordOutcome(context, is_success ? "answered" : "endpoint_failed");
    co_await exchange.Respond(std::move(response));
    co_return SendOutcome::kDelivered;
  }

  // Model services, whose engines run on chains of endpoints.

  /// Progress of the response to a request that is served by chains.
  struct StreamProgress {
    EventSplitter splitter;
    bool has_begun = false;
    TimePoint first_event{};
    TimePoint last_event{};
    Duration longest_pause{0};

    void OnDelivered(TimePoint now) {
      if (first_event == TimePoint{}) {
        first_event = now;
      } else {
        longest_pause = std::max(longest_pause, now - last_event);
      }
      last_event = now;
    }
  };

  boost::asio::awaitable<void> ServeByChain(HttpExchange& exchange,
                                            RequestContext& context) {
    StreamProgress progress;
    const double tokens = ExpectedTokens(context);
    while (TryAcquireSend(context)) {
      const bool only_tried =
          context.tried_endpoints.size() >= context.route->max_attempts;
      const ServingChain* chain =
          state_.ChainSelectorFor(*context.service, clock_.Now())
              .Pick(tokens, state_.daemon_count(), context.tried_endpoints,
                    only_tried, clock_.Now());
      if (chain == nullptr) {
        break;
      }
      const Chain stages = chain->stages;
      const SendOutcome outcome =
          co_await SendToChain(exchange, context, stages, tokens, progress);
      if (outcome == SendOutcome::kDelivered) {
        co_return;
      }
      RecordFailedSend(context, outcome, stages.front().endpoint.value());
      if (outcome == SendOutcome::kResponseLost) {
        progress.splitter.Restart();
      }
    }
    if (!progress.has_begun) {
      co_await Refuse(exchange, context, FinalRefusal(context));
      co_return;
    }
    // Returning without the final chunk truncates the response, which the
    // caller can detect.
    RecordOutcome(context, "broken");
    LogEvent(Severity::kWarning, "stream_broken")
        .With("request", context.request.id)
        .With("events", progress.splitter.event_count())
        .With("sends", context.sends)
        .With("after_ms", Elapsed(context));
  }

  [[nodiscard]] static double ExpectedTokens(const RequestContext& context) {
    const EngineProfile& engine = *context.service->engine;
    const double prompt = context.request.prompt_tokens > 0
                              ? context.request.prompt_tokens
                              : engine.mean_prompt_tokens;
    return prompt + engine.mean_output_tokens;
  }

  /// Counts a request as in flight on its chain during the object's lifetime,
  /// and registers it so that it is aborted if a stage is lost.
  class ChainUseGuard {
   public:
    ChainUseGuard(RelayState& state,
                  const RelayService& service,
                  ActiveAttempt attempt,
                  double tokens,
                  TimePoint now)
        : state_(state),
          selector_(state.ChainSelectorFor(service, now)),
          tokens_(tokens),
          attempt_(state.AddAttempt(std::move(attempt))) {
      selector_.OnSent(attempt_->stages, tokens_);
      state_.stall_detector().OnSent(first_endpoint(), now);
    }
    ChainUseGuard(const ChainUseGuard&) = delete;
    ChainUseGuard& operator=(const ChainUseGuard&) = delete;
    ~ChainUseGuard() {
      selector_.OnEnded(attempt_->stages, tokens_);
      state_.stall_detector().OnEnded(first_endpoint());
      state_.RemoveAttempt(attempt_);
    }
    void OnProgress(TimePoint now) {
      state_.stall_detector().OnProgress(first_endpoint(), now);
    }
    void OnPause(Duration pause) {
      state_.stall_detector().OnPause(first_endpoint(), pause);
    }
    void OnReportedLoad(ReportedLoad load, TimePoint now) {
      selector_.OnReportedLoad(first_endpoint(), load, now);
    }
    [[nodiscard]] const std::string& first_endpoint() const {
      return attempt_->stages.front().endpoint.value();
    }
    [[nodiscard]] bool is_aborted() const { return attempt_->is_aborted; }

   private:
    RelayState& state_;
    ChainSelector& selector_;
    double tokens_;
    std::list<ActiveAttempt>::iterator attempt_;
  };

  [[nodiscard]] ForwardOptions OptionsFor(
      const RequestContext& context,
      const Chain& stages,
      const StreamProgress& progress) const {
    ForwardOptions options;
    options.endpoint_id = stages.front().endpoint.value();
    options.time_left = context.TimeLeft(clock_.Now());
    options.customer = context.customer;
    options.stages = stages;
    const bool resumes = progress.splitter.event_count() > 0;
    options.urgency =
        std::min(context.priority + (resumes ? relay::kResumeUrgencyOffset : 0),
                 relay::kLowestUrgency);
    options.last_event_id =
        resumes ? progress.splitter.last_id() : context.request.last_event_id;
    return options;
  }

  boost::asio::awaitable<SendOutcome> SendToChain(HttpExchange& exchange,
                                                  RequestContext& context,
                                                  const Chain& stages,
                                                  double tokens,
                                                  StreamProgress& progress) {
    const TimePoint started_at = clock_.Now();
    const std::string first_endpoint = stages.front().endpoint.value();
    HttpCall call(co_await boost::asio::this_coro::executor);
    ChainUseGuard guard(
        state_, *context.service,
        {.request_id = context.request.id, .stages = stages, .call = &call},
        tokens, started_at);
    const ForwardOptions options = OptionsFor(context, stages, progress);
    const HttpRequest encoded = Codec::Encode(exchange.request(), options);
    const auto failure =
        co_await call.Start(stages.front().address, encoded,
                            relay::kConnectTimeout, options.time_left);
    co_await ThrowIfCallerGone();
    context.sends += call.was_sent() ? 1 : 0;
    if (failure) {
      if (guard.is_aborted()) {
        co_return call.was_sent() ? SendOutcome::kResponseLost
                                  : SendOutcome::kNotSent;
      }
      if (!call.was_sent()) {
        state_.OnEndpointLost(first_endpoint, "no_connection", clock_.Now());
        co_return SendOutcome::kNotSent;
      }
      LogResponseLost(context, first_endpoint, *failure, false,
                      progress.splitter.event_count());
      co_return SendOutcome::kResponseLost;
    }
    guard.OnProgress(clock_.Now());
    const ResponseHead head = Codec::DecodeResponseHead(
        context.request.id, call.status(), call.fields());
    if (head.load) {
      guard.OnReportedLoad(*head.load, clock_.Now());
    }
    if (head.is_not_run) {
      OnChainRefusal(context, stages, head);
      co_return SendOutcome::kNotRun;
    }
    constexpr unsigned kOk = 200;
    if (head.status != kOk || !head.IsTrusted() || !context.route->streams) {
      co_return co_await ForwardResponse(exchange, context, first_endpoint,
                                         call, head, progress);
    }
    if (!progress.has_begun) {
      progress.has_begun = true;
      co_await exchange.BeginStream(
          Codec::EncodeResponse(call.status(), call.fields()));
    }
    co_return co_await ForwardEvents(exchange, context, first_endpoint, call,
                                     guard, progress);
  }

  /// Forwards a response that is not a stream of events.
  boost::asio::awaitable<SendOutcome> ForwardResponse(
      HttpExchange& exchange,
      RequestContext& context,
      const std::string& first_endpoint,
      HttpCall& call,
      const ResponseHead& head,
      const StreamProgress& progress) {
    auto body = co_await call.ReadAll(relay::kMaxResponseBytes,
                                      context.TimeLeft(clock_.Now()));
    co_await ThrowIfCallerGone();
    const bool is_failure = IsServerError(head.status);
    if (!body.has_value() || !head.IsTrusted() || progress.has_begun ||
        (is_failure && context.MayRunAgain() && context.sends <= 1)) {
      LogResponseLost(
          context, first_endpoint,
          body.has_value()
              ? Failure{.code = Errc::kEndpointFailed,
                        .where = "status " + std::to_string(head.status)}
              : body.error(),
          true, progress.splitter.event_count());
      co_return SendOutcome::kResponseLost;
    }
    HttpResponse response = Codec::EncodeResponse(call.status(), call.fields());
    response.body = std::move(*body);
    RecordOutcome(context, is_failure ? "endpoint_failed" : "answered");
    co_await exchange.Respond(std::move(response));
    co_return SendOutcome::kDelivered;
  }

  boost::asio::awaitable<SendOutcome> ForwardEvents(
      HttpExchange& exchange,
      RequestContext& context,
      const std::string& first_endpoint,
      HttpCall& call,
      ChainUseGuard& guard,
      StreamProgress& progress) {
    for (;;) {
      auto bytes = co_await call.ReadSome(context.TimeLeft(clock_.Now()));
      if (!bytes) {
        co_await ThrowIfCallerGone();
        if (!guard.is_aborted()) {
          LogResponseLost(context, first_endpoint, bytes.error(), true,
                          progress.splitter.event_count());
        }
        co_return SendOutcome::kResponseLost;
      }
      guard.OnProgress(clock_.Now());
      if (!bytes->has_value()) {
        break;
      }
      const std::string_view complete_events = progress.splitter.Feed(**bytes);
      if (!complete_events.empty()) {
        const TimePoint now = clock_.Now();
        if (progress.last_event != TimePoint{}) {
          guard.OnPause(now - progress.last_event);
        } else {
          state_.metrics().OnFirstEvent(context.service->name,
                                        now - context.arrived_at);
        }
        progress.OnDelivered(now);
        co_await exchange.SendChunk(complete_events);
      }
    }
    if (!progress.splitter.incomplete_event().empty()) {
      LogResponseLost(context, first_endpoint,
                      Failure{.code = Errc::kBadEndpointAnswer,
                              .where = "ends within an event"},
                      true, progress.splitter.event_count());
      co_return SendOutcome::kResponseLost;
    }
    state_.directory().OnSuccess(first_endpoint);
    co_await exchange.EndStream();
    RecordOutcome(context, "answered");
    state_.metrics().OnLongestPause(context.service->name,
                                    progress.longest_pause);
    LogAnswered(context, first_endpoint, progress);
    co_return SendOutcome::kDelivered;
  }

  /// Called when a chain refused a request. If the response names the faulty
  /// stage, that endpoint is not used for a while.
  void OnChainRefusal(const RequestContext& context,
                      const Chain& stages,
                      const ResponseHead& head) {
    const KnownEndpoint* faulty_stage =
        head.faulty_stage_address.empty()
            ? nullptr
            : state_.directory().FindByAddress(head.faulty_stage_address);
    const std::string id = faulty_stage == nullptr
                               ? stages.front().endpoint.value()
                               : faulty_stage->record.id;
    LogNotRun(context, id, head);
    if (faulty_stage != nullptr) {
      state_.OnEndpointFault(id, clock_.Now());
    }
  }

  /// Logs a completed stream. Only a sample of those that were sent once is
  /// logged, but all that were sent several times.
  void LogAnswered(const RequestContext& context,
                   const std::string& endpoint,
                   const StreamProgress& progress) {
    constexpr std::uint64_t kSampleInterval = 16;
    if (context.sends <= 1 && ++answered_streams_ % kSampleInterval != 0) {
      return;
    }
    LogEvent(Severity::kInfo, "answered")
        .With("request", context.request.id)
        .With("endpoint", endpoint)
        .With("events", progress.splitter.event_count())
        .With("shared_parts", ToString(context.request.shared_parts))
        .With("sends", context.sends)
        .With("revision", context.manifest->revision())
        .With("first_event_ms", progress.first_event - context.arrived_at)
        .With("longest_pause_ms", progress.longest_pause)
        .With("after_ms", Elapsed(context));
  }

  /// Logs and counts a response that was lost after the request was sent.
  ///
  /// \param has_begun whether the endpoint had begun to respond.
  /// \param events number of events of the stream that were received so far.
  void LogResponseLost(const RequestContext& context,
                       const std::string& endpoint,
                       const Failure& failure,
                       bool has_begun,
                       std::uint64_t events = 0) {
    state_.metrics().OnResponseLost(context.service->name, has_begun);
    LogEvent(Severity::kInfo, "answer_lost")
        .With("request", context.request.id)
        .With("endpoint", endpoint)
        .With("reason", ToString(failure.code))
        .With("where", failure.where)
        .With("begun", has_begun ? "yes" : "no")
        .With("events", events)
        .With("shared_parts", ToString(context.request.shared_parts))
        .With("sends", context.sends)
        .With("after_ms", Elapsed(context));
  }

  void LogNotRun(const RequestContext& context,
                 const std::string& endpoint,
                 const ResponseHead& head) const {
    LogEvent(Severity::kInfo, "endpoint_refused")
        .With("request", context.request.id)
        .With("endpoint", endpoint)
        .With("status", head.status)
        .With("sends", context.sends);
  }

  RelayState& state_;
  const TheClock& clock_;
  std::minstd_rand random_;
  std::uint64_t answered_streams_ = 0;
};

}  // namespace sycamoreford
