#pragma once

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <xxhash.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/this_coro.hpp>

#include "sycamoreford/adapters/attempt_reserve.h"
#include "sycamoreford/adapters/attempt_step.h"
#include "sycamoreford/adapters/background_task.h"
#include "sycamoreford/adapters/chain_attempt.h"
#include "sycamoreford/adapters/endpoint_attempt.h"
#include "sycamoreford/adapters/http_client.h"
#include "sycamoreford/adapters/http_server.h"
#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/adapters/wake_signal.h"
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
/// A chain from which something has arrived within this time is not silent; of
/// the order of the longest pause between the events of a chain at work.
inline constexpr std::chrono::milliseconds kMinSilence{100};
/// A sound endpoint is silent for about a second. The endpoints themselves end
/// work that depends on a dead one after this time.
inline constexpr std::chrono::milliseconds kMaxSoundSilence{2'000};
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
  /// Why the request was not sent again, for the log.
  std::string_view last_denial;
  /// What was last logged of an attempt that was silent.
  std::string_view silence_outcome;
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
/// Silence alone ends no attempt: a request that may run again is sent
/// elsewhere as well, and the attempt that goes on first is kept.
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
  using ToChain = ChainAttempt<Codec, TheClock>;
  using ToEndpoint = EndpointAttempt<Codec, TheClock>;
  using Reserve = AttemptReserve<ToChain>;

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

  /// Whether the request may be sent once more, apart from the retry budget.
  bool MayBeSent(RequestContext& context) const {
    context.last_denial = "";
    if (context.connect_failures >= relay::kMaxConnectFailures) {
      context.last_denial = "no_connection";
    } else if (context.sends >= relay::kMaxSends) {
      context.last_denial = "max_sends";
    } else if (context.TimeLeft(clock_.Now()) < relay::kMinTimeLeft) {
      context.last_denial = "no_time_left";
    } else if (context.may_have_run && !context.MayRunAgain()) {
      context.last_denial = "runs_at_most_once";
    }
    return context.last_denial.empty();
  }

  /// Counts a send. If the request was sent before, acquires a retry from the
  /// retry budget.
  ///
  /// \returns whether the request may be sent.
  bool TryAcquireSend(RequestContext& context) {
    if (context.sends > 0 &&
        !state_.RetryBudgetFor(context.service->name)
             .TryAcquire(clock_.Now(), state_.daemon_count())) {
      context.last_denial = "retry_budget";
      return false;
    }
    ++context.sends;
    return true;
  }

  /// Records a send after which the caller has no complete response.
  void RecordFailedSend(RequestContext& context,
                        AttemptStep step,
                        const std::string& endpoint) {
    if (step == AttemptStep::kNotSent) {
      --context.sends;
      ++context.connect_failures;
      return;
    }
    context.tried_endpoints.insert(endpoint);
    context.may_have_run = context.may_have_run || step != AttemptStep::kNotRun;
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

  /// An attempt that runs in the background.
  struct PendingAttempt {
    std::shared_ptr<ToEndpoint> attempt;
    std::unique_ptr<BackgroundTask<AttemptStep>> task;
  };

  /// Attempts of one request that run at the same time; those that are left are
  /// abandoned on destruction.
  struct PendingAttempts {
    explicit PendingAttempts(const boost::asio::any_io_executor& executor)
        : ended(executor) {}
    PendingAttempts(const PendingAttempts&) = delete;
    PendingAttempts& operator=(const PendingAttempts&) = delete;
    ~PendingAttempts() {
      for (const PendingAttempt& pending : attempts) {
        pending.attempt->Abandon();
      }
    }
    /// Notified when an attempt has ended.
    WakeSignal ended;
    std::vector<PendingAttempt> attempts;
  };

  /// A request that may run again is sent to a further endpoint when the first
  /// one does not respond in time, but that one may still respond first.
  boost::asio::awaitable<void> ServeByEndpoint(HttpExchange& exchange,
                                               RequestContext& context) {
    const auto executor = co_await boost::asio::this_coro::executor;
    PendingAttempts pending(executor);
    std::optional<HttpResponse> error_response;
    for (;;) {
      if (AreAllOverdue(pending)) {
        OpenEndpointAttempt(executor, exchange.request(), context, pending);
      }
      if (pending.attempts.empty()) {
        break;
      }
      co_await pending.ended.Wait(TimeUntilOverdue(context, pending));
      co_await ThrowIfCallerGone();
      auto response = TakeResponse(context, pending, error_response);
      if (response) {
        co_await exchange.Respond(std::move(*response));
        co_return;
      }
      ReportOverdue(context, pending);
    }
    if (error_response) {
      RecordOutcome(context, "endpoint_failed");
      co_await exchange.Respond(std::move(*error_response));
      co_return;
    }
    co_await Refuse(exchange, context, FinalRefusal(context));
  }

  /// Whether the request may be sent to a further endpoint while others run it.
  [[nodiscard]] static bool MayTryFurtherEndpoint(
      const RequestContext& context) {
    return context.MayRunAgain() &&
           context.tried_endpoints.size() < context.route->max_attempts;
  }

  /// Whether no attempt is expected to respond in time.
  [[nodiscard]] static bool AreAllOverdue(const PendingAttempts& pending) {
    return std::all_of(
        pending.attempts.begin(), pending.attempts.end(),
        [](const PendingAttempt& it) { return it.attempt->is_overdue(); });
  }

  /// Time until the newest attempt is overdue; the time left if the request
  /// must not run again, or if the attempt is overdue already.
  [[nodiscard]] std::chrono::milliseconds TimeUntilOverdue(
      const RequestContext& context,
      const PendingAttempts& pending) const {
    const TimePoint now = clock_.Now();
    const ToEndpoint& newest = *pending.attempts.back().attempt;
    if (!MayTryFurtherEndpoint(context) || newest.is_overdue()) {
      return std::max(context.TimeLeft(now), relay::kMinTimeLeft);
    }
    return std::max(
        std::chrono::ceil<std::chrono::milliseconds>(
            newest.started_at() + context.route->target_latency - now),
        std::chrono::milliseconds(0));
  }

  /// Reports endpoints that have not responded within the target latency.
  void ReportOverdue(const RequestContext& context,
                     const PendingAttempts& pending) const {
    const TimePoint now = clock_.Now();
    for (const PendingAttempt& it : pending.attempts) {
      if (MayTryFurtherEndpoint(context) &&
          now - it.attempt->started_at() >= context.route->target_latency) {
        it.attempt->OnOverdue();
      }
    }
  }

  /// Sends the request to a further endpoint if that is possible.
  void OpenEndpointAttempt(const boost::asio::any_io_executor& executor,
                           const HttpRequest& request,
                           RequestContext& context,
                           PendingAttempts& pending) {
    if (!MayBeSent(context) ||
        context.tried_endpoints.size() >= context.route->max_attempts) {
      return;
    }
    const KnownEndpoint* endpoint = state_.service_selector().Pick(
        state_.directory(), context.service->name, clock_.Now(),
        context.tried_endpoints, !context.MayRunAgain());
    if (endpoint == nullptr || !TryAcquireSend(context)) {
      return;
    }
    const EndpointRecord& record = endpoint->record;
    ForwardOptions forward;
    forward.endpoint_id = record.id;
    forward.time_left = context.TimeLeft(clock_.Now());
    forward.customer = context.customer;
    auto attempt = std::make_shared<ToEndpoint>(
        state_.service_selector(), clock_, executor,
        EndpointAttemptOptions{.request_id = context.request.id,
                               .endpoint = record.id,
                               .address = record.address,
                               .request = Codec::Encode(request, forward),
                               .deadline = context.deadline,
                               .connect_timeout = relay::kConnectTimeout,
                               .max_response_bytes = relay::kMaxResponseBytes});
    context.tried_endpoints.insert(record.id);
    auto task = std::make_unique<BackgroundTask<AttemptStep>>(
        executor, RunAttempt(attempt), AttemptStep::kLost,
        [&pending] { pending.ended.Notify(); });
    pending.attempts.push_back({std::move(attempt), std::move(task)});
  }

  static boost::asio::awaitable<AttemptStep> RunAttempt(
      std::shared_ptr<ToEndpoint> attempt) {
    co_return co_await attempt->Run();
  }

  /// Removes the attempts that have ended.
  ///
  /// \param error_response set to a response that is returned only if no other
  ///     endpoint responds.
  /// \returns a response for the caller, if there is one.
  std::optional<HttpResponse> TakeResponse(
      RequestContext& context,
      PendingAttempts& pending,
      std::optional<HttpResponse>& error_response) {
    auto& attempts = pending.attempts;
    for (auto it = attempts.begin(); it != attempts.end();) {
      const std::optional<AttemptStep> step = it->task->result();
      if (!step) {
        ++it;
        continue;
      }
      const auto attempt = std::move(it->attempt);
      it = attempts.erase(it);
      if (*step != AttemptStep::kResponse) {
        OnAttemptFailed(context, *attempt, *step);
        continue;
      }
      state_.directory().OnSuccess(attempt->endpoint());
      if (!attempt->head().IsServerError() || !context.MayRunAgain()) {
        RecordOutcome(context, attempt->head().IsServerError()
                                   ? "endpoint_failed"
                                   : "answered");
        return attempt->TakeResponse();
      }
      error_response = attempt->TakeResponse();
      RecordFailedSend(context, AttemptStep::kLost, attempt->endpoint());
    }
    return std::nullopt;
  }

  void OnAttemptFailed(RequestContext& context,
                       const ToEndpoint& attempt,
                       AttemptStep step) {
    RecordFailedSend(context, step, attempt.endpoint());
    if (step == AttemptStep::kNotSent) {
      context.tried_endpoints.erase(attempt.endpoint());
      state_.OnEndpointSuspected(attempt.endpoint(), "no_connection",
                                 clock_.Now());
    } else if (step == AttemptStep::kNotRun) {
      LogNotRun(context, attempt.endpoint(), attempt.head());
    } else {
      LogResponseLost(context, attempt.endpoint(), attempt.failure());
    }
  }

  // Model services, whose engines run on chains of endpoints.

  /// Progress of the response to a request that is served by chains.
  struct StreamProgress {
    /// Position after the last event that was delivered.
    EventSplitter position;
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
    const auto executor = co_await boost::asio::this_coro::executor;
    StreamProgress progress;
    Reserve reserve(executor);
    auto attempt = OpenChainAttempt(executor, exchange.request(), context,
                                    progress.position);
    while (attempt) {
      AttemptStep step = co_await attempt->Next();
      co_await ThrowIfCallerGone();
      if (step == AttemptStep::kInterrupted) {
        step = co_await TryOthers(exchange, context, attempt, reserve);
      }
      switch (step) {
        case AttemptStep::kInterrupted:
          continue;
        case AttemptStep::kStreamBegun:
          co_await BeginStream(exchange, *attempt, progress);
          continue;
        case AttemptStep::kEvents:
          co_await DeliverEvents(exchange, context, *attempt, progress);
          continue;
        case AttemptStep::kStreamEnded:
          co_await FinishStream(exchange, context, *attempt, progress);
          co_return;
        case AttemptStep::kResponse: {
          const bool is_delivered =
              co_await ForwardResponse(exchange, context, *attempt, progress);
          if (is_delivered) {
            co_return;
          }
          break;
        }
        case AttemptStep::kNotRun:
        case AttemptStep::kNotSent:
        case AttemptStep::kLost:
          break;
      }
      OnAttemptFailed(context, *attempt, step);
      progress.position = attempt->position();
      // The failed attempt must not count as load when the next chain is
      // selected.
      attempt.reset();
      attempt = OpenChainAttempt(executor, exchange.request(), context,
                                 progress.position);
      if (!attempt) {
        attempt = co_await TakeReserve(reserve, progress.position);
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
        .With("events", progress.position.event_count())
        .With("sends", context.sends)
        .With("not_resent", context.last_denial)
        .With("after_ms", Elapsed(context));
  }

  [[nodiscard]] static double ExpectedTokens(const RequestContext& context) {
    const EngineProfile& engine = *context.service->engine;
    const double prompt = context.request.prompt_tokens > 0
                              ? context.request.prompt_tokens
                              : engine.mean_prompt_tokens;
    return prompt + engine.mean_output_tokens;
  }

  [[nodiscard]] ForwardOptions OptionsFor(const RequestContext& context,
                                          const Chain& stages,
                                          const EventSplitter& position) const {
    ForwardOptions options;
    options.endpoint_id = stages.front().endpoint.value();
    options.time_left = context.TimeLeft(clock_.Now());
    options.customer = context.customer;
    options.stages = stages;
    const bool resumes = position.event_count() > 0;
    options.urgency =
        std::min(context.priority + (resumes ? relay::kResumeUrgencyOffset : 0),
                 relay::kLowestUrgency);
    options.last_event_id =
        resumes ? position.last_id() : context.request.last_event_id;
    return options;
  }

  /// Starts to send the request to a chain.
  ///
  /// \param position position in the stream after which the chain goes on.
  /// \returns null if the request may not be sent or no chain can take it.
  std::shared_ptr<ToChain> OpenChainAttempt(
      const boost::asio::any_io_executor& executor,
      const HttpRequest& request,
      RequestContext& context,
      EventSplitter position) {
    if (!MayBeSent(context)) {
      return nullptr;
    }
    const double tokens = ExpectedTokens(context);
    const bool only_tried =
        context.tried_endpoints.size() >= context.route->max_attempts;
    const ServingChain* chain =
        state_.ChainSelectorFor(*context.service, clock_.Now())
            .Pick(tokens, state_.daemon_count(), context.tried_endpoints,
                  only_tried, clock_.Now());
    if (chain == nullptr) {
      context.last_denial = "no_chain";
      return nullptr;
    }
    if (!TryAcquireSend(context)) {
      return nullptr;
    }
    position.Restart();
    const Chain stages = chain->stages;
    return std::make_shared<ToChain>(
        state_, clock_, executor, *context.service,
        ChainAttemptOptions{.request_id = context.request.id,
                            .request = Codec::Encode(
                                request, OptionsFor(context, stages, position)),
                            .stages = stages,
                            .tokens = tokens,
                            .deadline = context.deadline,
                            .connect_timeout = relay::kConnectTimeout,
                            .max_silence = relay::kMaxSoundSilence,
                            .streams = context.route->streams,
                            .position = std::move(position)});
  }

  /// Tries other attempts for a request whose attempt is suspected to be
  /// silent: other chains, and else the attempt in reserve. A silent endpoint
  /// may go on, so the attempt stays open; whichever goes on first is kept, and
  /// a silent one that was replaced is held in reserve.
  ///
  /// \param attempt replaced by the attempt to go on with.
  /// \returns the next step of `attempt`; `kInterrupted` if it is not silent or
  ///     if nothing else can be tried at present.
  boost::asio::awaitable<AttemptStep> TryOthers(
      HttpExchange& exchange,
      RequestContext& context,
      std::shared_ptr<ToChain>& attempt,
      Reserve& reserve) {
    const auto executor = co_await boost::asio::this_coro::executor;
    for (;;) {
      if (!MayTryOthers(context, *attempt)) {
        co_return AttemptStep::kInterrupted;
      }
      auto other =
          OpenSuccessor(executor, exchange.request(), context, *attempt);
      if (!other) {
        other = co_await TakeReserve(reserve, attempt->position());
        co_await ThrowIfCallerGone();
      }
      if (!other) {
        LogSilence(context, *attempt, context.last_denial);
        co_return AttemptStep::kInterrupted;
      }
      AbandonGuard guard(*other);
      WakeSignal ended(executor);
      const BackgroundTask<AttemptStep> task(executor, FirstProgress(other),
                                             AttemptStep::kLost,
                                             [&ended, &current = *attempt] {
                                               ended.Notify();
                                               current.Interrupt();
                                             });
      AttemptStep step = AttemptStep::kInterrupted;
      while (step == AttemptStep::kInterrupted && !task.result()) {
        step = co_await attempt->Next();
        co_await ThrowIfCallerGone();
      }
      attempt->ClearInterrupt();
      if (IsGoingOn(*attempt, step)) {
        attempt->ResumeLoad();
        if (other->was_sent()) {
          context.tried_endpoints.insert(other->first_endpoint());
        } else {
          --context.sends;
        }
        LogSilence(context, *attempt, "went_on");
        co_return step;
      }
      if (step != AttemptStep::kInterrupted) {
        OnAttemptFailed(context, *attempt, step);
        while (!task.result()) {
          co_await ended.Wait(context.TimeLeft(clock_.Now()) +
                              relay::kMinTimeLeft);
          co_await ThrowIfCallerGone();
        }
      } else if (IsGoingOn(*other, *task.result())) {
        LogSilence(context, *attempt, "replaced");
        RecordFailedSend(context, AttemptStep::kLost,
                         attempt->first_endpoint());
        attempt->SuspendLoad();
        reserve.Keep(attempt);
      } else {
        OnAttemptFailed(context, *other, *task.result());
        continue;
      }
      guard.Keep();
      attempt = other;
      co_return *task.result();
    }
  }

  /// Whether an attempt is silent and its request may be sent elsewhere.
  bool MayTryOthers(RequestContext& context, const ToChain& attempt) const {
    if (attempt.HasReceivedSince(clock_.Now() - relay::kMinSilence)) {
      return false;
    }
    if (!context.MayRunAgain()) {
      LogSilence(context, attempt, "runs_at_most_once");
    }
    return context.MayRunAgain();
  }

  /// Takes the attempt in reserve, to go on after `position`.
  boost::asio::awaitable<std::shared_ptr<ToChain>> TakeReserve(
      Reserve& reserve,
      const EventSplitter& position) {
    auto attempt = co_await reserve.Take();
    if (attempt) {
      attempt->ResumeLoad();
      attempt->SkipTo(position);
    }
    co_return attempt;
  }

  /// Abandons an attempt on destruction, unless it is kept.
  class AbandonGuard {
   public:
    explicit AbandonGuard(ToChain& attempt) : attempt_(&attempt) {}
    AbandonGuard(const AbandonGuard&) = delete;
    AbandonGuard& operator=(const AbandonGuard&) = delete;
    ~AbandonGuard() {
      if (attempt_ != nullptr) {
        attempt_->Abandon();
      }
    }
    void Keep() noexcept { attempt_ = nullptr; }

   private:
    ToChain* attempt_;
  };

  /// The first step of an attempt that decides whether it goes on.
  static boost::asio::awaitable<AttemptStep> FirstProgress(
      std::shared_ptr<ToChain> attempt) {
    AttemptStep step = AttemptStep::kInterrupted;
    while (step == AttemptStep::kInterrupted ||
           step == AttemptStep::kStreamBegun) {
      step = co_await attempt->Next();
    }
    co_return step;
  }

  /// Whether a step brings the caller's response forward.
  [[nodiscard]] static bool IsGoingOn(const ToChain& attempt,
                                      AttemptStep step) {
    switch (step) {
      case AttemptStep::kStreamBegun:
      case AttemptStep::kEvents:
      case AttemptStep::kStreamEnded:
        return true;
      case AttemptStep::kResponse:
        return attempt.head().IsTrusted() && !attempt.head().IsServerError();
      case AttemptStep::kNotRun:
      case AttemptStep::kNotSent:
      case AttemptStep::kLost:
      case AttemptStep::kInterrupted:
        return false;
    }
    return false;
  }

  /// Starts to send a request whose attempt is silent to another chain.
  ///
  /// \returns null if no chain can be tried.
  std::shared_ptr<ToChain> OpenSuccessor(
      const boost::asio::any_io_executor& executor,
      const HttpRequest& request,
      RequestContext& context,
      ToChain& attempt) {
    context.tried_endpoints.insert(attempt.first_endpoint());
    // One of the two ends soon; only the successor counts as load until then.
    attempt.SuspendLoad();
    auto successor =
        OpenChainAttempt(executor, request, context, attempt.position());
    if (!successor) {
      attempt.ResumeLoad();
    }
    return successor;
  }

  /// Forwards the events of the last step.
  boost::asio::awaitable<void> DeliverEvents(HttpExchange& exchange,
                                             const RequestContext& context,
                                             ToChain& attempt,
                                             StreamProgress& progress) {
    const TimePoint now = clock_.Now();
    if (progress.last_event != TimePoint{}) {
      attempt.OnPause(now - progress.last_event);
    } else {
      state_.metrics().OnFirstEvent(context.service->name,
                                    now - context.arrived_at);
    }
    progress.OnDelivered(now);
    co_await BeginStream(exchange, attempt, progress);
    co_await exchange.SendChunk(attempt.events());
  }

  /// Sends the head of the response unless one was sent before.
  boost::asio::awaitable<void> BeginStream(HttpExchange& exchange,
                                           ToChain& attempt,
                                           StreamProgress& progress) {
    if (!progress.has_begun) {
      progress.has_begun = true;
      co_await exchange.BeginStream(Codec::EncodeResponse(
          attempt.call().status(), attempt.call().fields()));
    }
  }

  boost::asio::awaitable<void> FinishStream(HttpExchange& exchange,
                                            const RequestContext& context,
                                            ToChain& attempt,
                                            StreamProgress& progress) {
    state_.directory().OnSuccess(attempt.first_endpoint());
    co_await BeginStream(exchange, attempt, progress);
    co_await exchange.EndStream();
    RecordOutcome(context, "answered");
    state_.metrics().OnLongestPause(context.service->name,
                                    progress.longest_pause);
    progress.position = attempt.position();
    LogAnswered(context, attempt.first_endpoint(), progress);
  }

  /// Forwards a response that is not a stream of events.
  ///
  /// \returns whether the caller has received it.
  boost::asio::awaitable<bool> ForwardResponse(HttpExchange& exchange,
                                               const RequestContext& context,
                                               ToChain& attempt,
                                               const StreamProgress& progress) {
    const bool is_failure = attempt.head().IsServerError();
    auto body = co_await attempt.call().ReadAll(relay::kMaxResponseBytes,
                                                context.TimeLeft(clock_.Now()));
    co_await ThrowIfCallerGone();
    if (!body.has_value() || !attempt.head().IsTrusted() ||
        progress.has_begun ||
        (is_failure && context.MayRunAgain() && context.sends <= 1)) {
      co_return false;
    }
    HttpResponse response =
        Codec::EncodeResponse(attempt.call().status(), attempt.call().fields());
    response.body = std::move(*body);
    RecordOutcome(context, is_failure ? "endpoint_failed" : "answered");
    co_await exchange.Respond(std::move(response));
    co_return true;
  }

  /// Called when an attempt has ended without a usable response.
  void OnAttemptFailed(RequestContext& context,
                       const ToChain& attempt,
                       AttemptStep step) {
    RecordFailedSend(context, step, attempt.first_endpoint());
    if (step == AttemptStep::kNotRun) {
      OnChainRefusal(context, attempt.stages(), attempt.head());
    } else if (step == AttemptStep::kNotSent) {
      state_.OnEndpointSuspected(attempt.first_endpoint(), "no_connection",
                                 clock_.Now());
    } else if (step == AttemptStep::kResponse) {
      LogResponseLost(
          context, attempt.first_endpoint(),
          {.code = Errc::kEndpointFailed,
           .where = "status " + std::to_string(attempt.head().status)});
    } else {
      LogResponseLost(context, attempt.first_endpoint(), attempt.failure());
    }
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

  /// Logs what became of a request whose chain is suspected to be silent. A
  /// repeated reason not to try another chain is not logged again.
  void LogSilence(RequestContext& context,
                  const ToChain& attempt,
                  std::string_view outcome) const {
    if (context.silence_outcome == outcome) {
      return;
    }
    context.silence_outcome = outcome;
    LogEvent(Severity::kInfo, "attempt_silent")
        .With("request", context.request.id)
        .With("endpoint", attempt.first_endpoint())
        .With("outcome", outcome)
        .With("events", attempt.position().event_count())
        .With("sends", context.sends)
        .With("after_ms", Elapsed(context));
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
        .With("events", progress.position.event_count())
        .With("sends", context.sends)
        .With("revision", context.manifest->revision())
        .With("first_event_ms", progress.first_event - context.arrived_at)
        .With("longest_pause_ms", progress.longest_pause)
        .With("after_ms", Elapsed(context));
  }

  void LogResponseLost(const RequestContext& context,
                       const std::string& endpoint,
                       const Failure& failure) const {
    LogEvent(Severity::kInfo, "answer_lost")
        .With("request", context.request.id)
        .With("endpoint", endpoint)
        .With("reason", ToString(failure.code))
        .With("where", failure.where)
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
