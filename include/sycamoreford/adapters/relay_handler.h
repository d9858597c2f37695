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

/// Bound for making a connection to an endpoint: a lost opening packet is sent
/// again after a second, and a dead VM answers nothing.
inline constexpr std::chrono::milliseconds kConnectTimeout{400};
/// Connections that may fail before a request is given up; nothing was sent.
inline constexpr int kMostConnectFailures = 3;
/// Largest answer of a plain service that is kept whole before it is passed on.
inline constexpr std::size_t kAnswerLimit = 16UL * 1024 * 1024;

/// One request on its way.
struct Passage {
  RelayRequest request;
  std::shared_ptr<const Manifest> manifest;
  const RelayRoute* route = nullptr;
  const RelayService* service = nullptr;
  std::string customer;
  std::uint32_t priority = 0;
  TimePoint arrived{};
  /// When the caller or the route gives up.
  TimePoint limit{};
  int sends = 0;
  int connect_failures = 0;
  /// Whether an endpoint may have run it.
  bool may_have_run = false;
  std::set<std::string> tried;

  [[nodiscard]] std::chrono::milliseconds TimeLeft(TimePoint now) const {
    return std::max(
        std::chrono::duration_cast<std::chrono::milliseconds>(limit - now),
        std::chrono::milliseconds(0));
  }
  /// Whether an endpoint may get it though another may have run it.
  [[nodiscard]] bool MayRepeat() const noexcept {
    return route->retry_policy != RetryPolicy::kAtMostOnce;
  }
};

}  // namespace relay

/// Takes callers' requests, sends them to endpoints and passes the answers on.
///
/// A request that may run once only is sent again only after the endpoint said
/// that it did not run it, or when nothing was sent. A stream that may go on
/// elsewhere does so after its last whole event.
///
/// Thread safety: none; runs on the thread of its state.
template <RelayCodec Dialect, Clock TheClock>
class RelayHandler {
 public:
  /// Precondition: `state` and `clock` outlive this object.
  RelayHandler(RelayState& state, const TheClock& clock)
      : state_(state), clock_(clock), random_(std::random_device{}()) {}

  /// Answers one request of a caller.
  boost::asio::awaitable<void> Handle(HttpExchange& exchange) {
    relay::Passage passage;
    passage.arrived = clock_.Now();
    const auto refusal = Admit(exchange.request(), passage);
    if (refusal) {
      co_await Refuse(exchange, passage, *refusal);
      co_return;
    }
    state_.RetryBudgetFor(passage.service->name).OnRequest(passage.arrived);
    if (passage.service->engine) {
      co_await ServeByChain(exchange, passage);
    } else {
      co_await ServeByEndpoint(exchange, passage);
    }
  }

 private:
  using Passage = relay::Passage;

  /// How one send to an endpoint ended.
  enum class Sent {
    /// The caller has the whole answer.
    kDone,
    /// The endpoint did not run it.
    kNotRun,
    /// No connection was made.
    kNotSent,
    /// It may have run; the answer is lost or useless.
    kLost,
  };

  /// Reads the request and finds its route, customer and service.
  std::optional<Refusal> Admit(const HttpRequest& request, Passage& passage) {
    auto decoded = Dialect::Decode(request);
    if (!decoded) {
      return Refusal::kMalformed;
    }
    passage.request = std::move(*decoded);
    passage.manifest = state_.manifest();
    if (!passage.manifest) {
      return Refusal::kNoConfiguration;
    }
    passage.route =
        passage.manifest->FindRoute(passage.request.host, passage.request.path);
    if (passage.route == nullptr) {
      return Refusal::kNoRoute;
    }
    passage.priority = passage.route->priority;
    if (passage.manifest->has_customers() && !passage.route->allows_anonymous) {
      const RelayCustomer* customer =
          passage.manifest->FindCustomer(passage.request.api_key);
      if (customer == nullptr) {
        return Refusal::kUnknownKey;
      }
      passage.customer = customer->name;
      passage.priority = customer->priority.value_or(passage.priority);
    }
    const auto patience =
        passage.request.caller_timeout.value_or(passage.route->time_limit);
    passage.limit =
        passage.arrived + std::min(patience, passage.route->time_limit);
    passage.service = ChooseService(passage);
    return passage.service == nullptr ? std::optional(Refusal::kNoEndpoint)
                                      : std::nullopt;
  }

  /// One of the route's services by their weights; a request keeps its own.
  const RelayService* ChooseService(const Passage& passage) const {
    double total = 0;
    for (const WeightedService& share : passage.route->services) {
      total += share.weight;
    }
    constexpr double kHashRange = 18446744073709551616.0;
    const std::string& id = passage.request.id;
    double at = static_cast<double>(XXH64(id.data(), id.size(), 0)) /
                kHashRange * total;
    for (const WeightedService& share : passage.route->services) {
      at -= share.weight;
      if (at < 0) {
        return passage.manifest->FindService(share.service);
      }
    }
    return nullptr;
  }

  [[nodiscard]] static bool IsServerError(unsigned status) noexcept {
    constexpr unsigned kFirstServerError = 500;
    return status >= kFirstServerError;
  }

  /// Time since the request arrived.
  [[nodiscard]] Duration Elapsed(const Passage& passage) const {
    return clock_.Now() - passage.arrived;
  }

  boost::asio::awaitable<void> Refuse(HttpExchange& exchange,
                                      const Passage& passage,
                                      Refusal refusal) {
    LogEvent(Severity::kInfo, "refused")
        .With("request", passage.request.id)
        .With("reason", ToString(refusal))
        .With("route", passage.route == nullptr ? "" : passage.route->name)
        .With("revision", passage.manifest ? passage.manifest->revision() : 0)
        .With("sends", passage.sends)
        .With("after_ms", Elapsed(passage));
    Ended(passage, ToString(refusal));
    co_await exchange.Respond(
        Dialect::EncodeRefusal(refusal, relay::DrawRetryAfter(random_)));
  }

  void Ended(const Passage& passage, std::string_view outcome) {
    state_.metrics().OnEnded(
        passage.service == nullptr ? "" : passage.service->name,
        passage.customer, outcome, Elapsed(passage), passage.sends);
  }

  /// The final answer to a request that no endpoint answered.
  [[nodiscard]] Refusal GivenUp(const Passage& passage) const {
    const bool late = passage.TimeLeft(clock_.Now()) < relay::kMinTimeLeft;
    if (passage.may_have_run) {
      return late ? Refusal::kTimedOut : Refusal::kAnswerLost;
    }
    return late ? Refusal::kTooLate : Refusal::kNoEndpoint;
  }

  /// Whether one more send is allowed; takes it from the retry budget.
  bool MaySendAgain(Passage& passage) {
    const TimePoint now = clock_.Now();
    if (passage.connect_failures >= relay::kMostConnectFailures ||
        passage.sends >= relay::kMaxSends ||
        passage.TimeLeft(now) < relay::kMinTimeLeft) {
      return false;
    }
    if (passage.sends == 0) {
      return true;
    }
    return (!passage.may_have_run || passage.MayRepeat()) &&
           state_.RetryBudgetFor(passage.service->name)
               .TryAcquire(now, state_.daemon_count());
  }

  /// Notes a send after which the caller has no whole answer.
  static void NoteUnanswered(Passage& passage,
                             Sent sent,
                             const std::string& endpoint) {
    if (sent == Sent::kNotSent) {
      ++passage.connect_failures;
      return;
    }
    passage.tried.insert(endpoint);
    passage.may_have_run = passage.may_have_run || sent == Sent::kLost;
  }

  /// Ends the handler by an exception when the caller has gone: an exchange
  /// that was cancelled looks like a failure of the endpoint.
  static boost::asio::awaitable<void> ThrowIfGone() {
    const auto state = co_await boost::asio::this_coro::cancellation_state;
    if (state.cancelled() != boost::asio::cancellation_type::none) {
      throw boost::system::system_error(boost::asio::error::operation_aborted);
    }
  }

  // Plain services.

  boost::asio::awaitable<void> ServeByEndpoint(HttpExchange& exchange,
                                               Passage& passage) {
    std::optional<HttpResponse> failed_answer;
    while (MaySendAgain(passage)) {
      if (passage.tried.size() >= passage.route->max_attempts) {
        break;
      }
      const KnownEndpoint* endpoint = state_.service_selector().Pick(
          state_.directory(), passage.service->name, clock_.Now(),
          passage.tried, !passage.MayRepeat());
      if (endpoint == nullptr) {
        break;
      }
      const EndpointRecord record = endpoint->record;
      const Sent sent =
          co_await SendToEndpoint(exchange, passage, record, failed_answer);
      if (sent == Sent::kDone) {
        co_return;
      }
      NoteUnanswered(passage, sent, record.id);
    }
    if (failed_answer) {
      Ended(passage, "endpoint_failed");
      co_await exchange.Respond(std::move(*failed_answer));
      co_return;
    }
    co_await Refuse(exchange, passage, GivenUp(passage));
  }

  /// Counts a request at its endpoint for as long as it lives.
  class EndpointUse {
   public:
    EndpointUse(ServiceSelector& selector, std::string id)
        : selector_(selector), id_(std::move(id)) {
      selector_.OnSent(id_);
    }
    EndpointUse(const EndpointUse&) = delete;
    EndpointUse& operator=(const EndpointUse&) = delete;
    ~EndpointUse() {
      if (!is_answered_) {
        selector_.OnEnded(id_);
      }
    }
    void Answered(TimePoint now, Duration time, bool ok) {
      is_answered_ = true;
      selector_.OnResponse(id_, now, time, ok);
    }

   private:
    ServiceSelector& selector_;
    std::string id_;
    bool is_answered_ = false;
  };

  boost::asio::awaitable<Sent> SendToEndpoint(
      HttpExchange& exchange,
      Passage& passage,
      const EndpointRecord& record,
      std::optional<HttpResponse>& failed_answer) {
    const TimePoint began = clock_.Now();
    const auto left = passage.TimeLeft(began);
    // One that may be repeated does not wait for a silent endpoint.
    const bool may_move =
        passage.MayRepeat() &&
        passage.tried.size() + 1 < passage.route->max_attempts;
    const auto patience =
        may_move ? std::min(left, passage.route->target_latency) : left;
    ForwardOptions order;
    order.endpoint_id = record.id;
    order.time_left = left;
    order.customer = passage.customer;
    EndpointUse use(state_.service_selector(), record.id);
    HttpCall call(co_await boost::asio::this_coro::executor);
    const HttpRequest encoded = Dialect::Encode(exchange.request(), order);
    const auto failure = co_await call.Start(record.address, encoded,
                                             relay::kConnectTimeout, patience);
    co_await ThrowIfGone();
    passage.sends += call.was_sent() ? 1 : 0;
    if (failure) {
      const TimePoint now = clock_.Now();
      use.Answered(now, now - began, false);
      if (!call.was_sent()) {
        state_.OnEndpointLost(record.id, "no_connection", now);
        co_return Sent::kNotSent;
      }
      LogLost(passage, record.id, *failure);
      co_return Sent::kLost;
    }
    co_return co_await TakeAnswer(exchange, passage, record.id, call, use,
                                  began, failed_answer);
  }

  boost::asio::awaitable<Sent> TakeAnswer(
      HttpExchange& exchange,
      Passage& passage,
      const std::string& endpoint,
      HttpCall& call,
      EndpointUse& use,
      TimePoint began,
      std::optional<HttpResponse>& failed_answer) {
    const ResponseHead head = Dialect::DecodeResponseHead(
        passage.request.id, call.status(), call.fields());
    auto body = co_await call.ReadAll(relay::kAnswerLimit,
                                      passage.TimeLeft(clock_.Now()));
    co_await ThrowIfGone();
    const TimePoint now = clock_.Now();
    const bool is_good =
        body.has_value() && head.IsTrusted() && !IsServerError(head.status);
    use.Answered(now, now - began, is_good);
    if (head.is_not_run) {
      LogNotRun(passage, endpoint, head);
      co_return Sent::kNotRun;
    }
    if (!body.has_value() || !head.IsTrusted()) {
      LogLost(passage, endpoint,
              body.has_value() ? Failure{.code = Errc::kBadEndpointAnswer}
                               : body.error());
      co_return Sent::kLost;
    }
    state_.directory().OnSuccess(endpoint);
    HttpResponse response =
        Dialect::EncodeResponse(call.status(), call.fields());
    response.body = std::move(*body);
    if (!is_good && passage.MayRepeat()) {
      failed_answer = std::move(response);
      co_return Sent::kLost;
    }
    Ended(passage, is_good ? "answered" : "endpoint_failed");
    co_await exchange.Respond(std::move(response));
    co_return Sent::kDone;
  }

  // Models.

  /// What is known of a stream whose answer has begun.
  struct StreamProgress {
    EventSplitter events;
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
                                            Passage& passage) {
    StreamProgress progress;
    const double tokens = ExpectedTokens(passage);
    while (MaySendAgain(passage)) {
      const bool only_tried =
          passage.tried.size() >= passage.route->max_attempts;
      const ServingChain* chain =
          state_.Chains(*passage.service, clock_.Now())
              .Pick(tokens, state_.daemon_count(), passage.tried, only_tried,
                    clock_.Now());
      if (chain == nullptr) {
        break;
      }
      const Chain stages = chain->stages;
      const Sent sent =
          co_await SendAlong(exchange, passage, stages, tokens, progress);
      if (sent == Sent::kDone) {
        co_return;
      }
      NoteUnanswered(passage, sent, stages.front().endpoint.value());
      if (sent == Sent::kLost) {
        progress.events.Restart();
      }
    }
    if (!progress.has_begun) {
      co_await Refuse(exchange, passage, GivenUp(passage));
      co_return;
    }
    // Returning without an end cuts the answer, which the caller can see.
    Ended(passage, "broken");
    LogEvent(Severity::kWarning, "stream_broken")
        .With("request", passage.request.id)
        .With("events", progress.events.event_count())
        .With("sends", passage.sends)
        .With("after_ms", Elapsed(passage));
  }

  [[nodiscard]] static double ExpectedTokens(const Passage& passage) {
    const EngineProfile& engine = *passage.service->engine;
    const double prompt = passage.request.prompt_tokens > 0
                              ? passage.request.prompt_tokens
                              : engine.mean_prompt_tokens;
    return prompt + engine.mean_output_tokens;
  }

  /// Counts a request on its chain for as long as it lives.
  class ChainUse {
   public:
    ChainUse(RelayState& state,
             const RelayService& service,
             ActiveAttempt attempt,
             double tokens,
             TimePoint now)
        : state_(state),
          selector_(state.Chains(service, now)),
          tokens_(tokens),
          entry_(state.AddAttempt(std::move(attempt))) {
      selector_.OnSent(entry_->stages, tokens_);
      state_.stall_detector().OnSent(first(), now);
    }
    ChainUse(const ChainUse&) = delete;
    ChainUse& operator=(const ChainUse&) = delete;
    ~ChainUse() {
      selector_.OnEnded(entry_->stages, tokens_);
      state_.stall_detector().OnEnded(first());
      state_.RemoveAttempt(entry_);
    }
    void Progressed(TimePoint now) {
      state_.stall_detector().OnProgress(first(), now);
    }
    void Paused(Duration pause) {
      state_.stall_detector().OnPause(first(), pause);
    }
    void Stated(ReportedLoad load, TimePoint now) {
      selector_.OnReportedLoad(first(), load, now);
    }
    [[nodiscard]] const std::string& first() const {
      return entry_->stages.front().endpoint.value();
    }
    [[nodiscard]] bool is_aborted() const { return entry_->is_aborted; }

   private:
    RelayState& state_;
    ChainSelector& selector_;
    double tokens_;
    std::list<ActiveAttempt>::iterator entry_;
  };

  [[nodiscard]] ForwardOptions OrderFor(const Passage& passage,
                                        const Chain& stages,
                                        const StreamProgress& progress) const {
    ForwardOptions order;
    order.endpoint_id = stages.front().endpoint.value();
    order.time_left = passage.TimeLeft(clock_.Now());
    order.customer = passage.customer;
    order.stages = stages;
    const bool resumes = progress.events.event_count() > 0;
    order.urgency =
        std::min(passage.priority + (resumes ? relay::kResumeUrgencyOffset : 0),
                 relay::kLowestUrgency);
    order.last_event_id =
        resumes ? progress.events.last_id() : passage.request.last_event_id;
    return order;
  }

  boost::asio::awaitable<Sent> SendAlong(HttpExchange& exchange,
                                         Passage& passage,
                                         const Chain& stages,
                                         double tokens,
                                         StreamProgress& progress) {
    const TimePoint began = clock_.Now();
    const std::string first = stages.front().endpoint.value();
    HttpCall call(co_await boost::asio::this_coro::executor);
    ChainUse use(
        state_, *passage.service,
        {.request_id = passage.request.id, .stages = stages, .call = &call},
        tokens, began);
    const ForwardOptions order = OrderFor(passage, stages, progress);
    const HttpRequest encoded = Dialect::Encode(exchange.request(), order);
    const auto failure =
        co_await call.Start(stages.front().address, encoded,
                            relay::kConnectTimeout, order.time_left);
    co_await ThrowIfGone();
    passage.sends += call.was_sent() ? 1 : 0;
    if (failure) {
      if (use.is_aborted()) {
        co_return call.was_sent() ? Sent::kLost : Sent::kNotSent;
      }
      if (!call.was_sent()) {
        state_.OnEndpointLost(first, "no_connection", clock_.Now());
        co_return Sent::kNotSent;
      }
      LogLost(passage, first, *failure);
      co_return Sent::kLost;
    }
    use.Progressed(clock_.Now());
    const ResponseHead head = Dialect::DecodeResponseHead(
        passage.request.id, call.status(), call.fields());
    if (head.load) {
      use.Stated(*head.load, clock_.Now());
    }
    if (head.is_not_run) {
      OnRefusedByChain(passage, stages, head);
      co_return Sent::kNotRun;
    }
    constexpr unsigned kOk = 200;
    if (head.status != kOk || !head.IsTrusted() || !passage.route->streams) {
      co_return co_await PassWhole(exchange, passage, first, call, head,
                                   progress);
    }
    if (!progress.has_begun) {
      progress.has_begun = true;
      co_await exchange.BeginStream(
          Dialect::EncodeResponse(call.status(), call.fields()));
    }
    co_return co_await PassEvents(exchange, passage, first, call, use,
                                  progress);
  }

  /// Passes an answer on that is no stream of events.
  boost::asio::awaitable<Sent> PassWhole(HttpExchange& exchange,
                                         Passage& passage,
                                         const std::string& first,
                                         HttpCall& call,
                                         const ResponseHead& head,
                                         const StreamProgress& progress) {
    auto body = co_await call.ReadAll(relay::kAnswerLimit,
                                      passage.TimeLeft(clock_.Now()));
    co_await ThrowIfGone();
    const bool is_failure = IsServerError(head.status);
    if (!body.has_value() || !head.IsTrusted() || progress.has_begun ||
        (is_failure && passage.MayRepeat() && passage.sends <= 1)) {
      LogLost(passage, first,
              body.has_value()
                  ? Failure{.code = Errc::kEndpointFailed,
                            .where = "status " + std::to_string(head.status)}
                  : body.error());
      co_return Sent::kLost;
    }
    HttpResponse response =
        Dialect::EncodeResponse(call.status(), call.fields());
    response.body = std::move(*body);
    Ended(passage, is_failure ? "endpoint_failed" : "answered");
    co_await exchange.Respond(std::move(response));
    co_return Sent::kDone;
  }

  boost::asio::awaitable<Sent> PassEvents(HttpExchange& exchange,
                                          Passage& passage,
                                          const std::string& first,
                                          HttpCall& call,
                                          ChainUse& use,
                                          StreamProgress& progress) {
    for (;;) {
      auto bytes = co_await call.ReadSome(passage.TimeLeft(clock_.Now()));
      if (!bytes) {
        co_await ThrowIfGone();
        if (!use.is_aborted()) {
          LogLost(passage, first, bytes.error());
        }
        co_return Sent::kLost;
      }
      use.Progressed(clock_.Now());
      if (!bytes->has_value()) {
        break;
      }
      const std::string_view whole = progress.events.Feed(**bytes);
      if (!whole.empty()) {
        const TimePoint now = clock_.Now();
        if (progress.last_event != TimePoint{}) {
          use.Paused(now - progress.last_event);
        } else {
          state_.metrics().OnFirstEvent(passage.service->name,
                                        now - passage.arrived);
        }
        progress.OnDelivered(now);
        co_await exchange.SendChunk(whole);
      }
    }
    if (!progress.events.incomplete_event().empty()) {
      LogLost(passage, first,
              Failure{.code = Errc::kBadEndpointAnswer,
                      .where = "ends within an event"});
      co_return Sent::kLost;
    }
    state_.directory().OnSuccess(first);
    co_await exchange.EndStream();
    Ended(passage, "answered");
    state_.metrics().OnLongestPause(passage.service->name,
                                    progress.longest_pause);
    LogAnswered(passage, first, progress);
    co_return Sent::kDone;
  }

  /// A stage refused: the one at fault is passed over for a while.
  void OnRefusedByChain(const Passage& passage,
                        const Chain& stages,
                        const ResponseHead& head) {
    const KnownEndpoint* blamed =
        head.faulty_stage_address.empty()
            ? nullptr
            : state_.directory().FindByAddress(head.faulty_stage_address);
    const std::string id =
        blamed == nullptr ? stages.front().endpoint.value() : blamed->record.id;
    LogNotRun(passage, id, head);
    if (blamed != nullptr) {
      state_.OnEndpointFault(id, clock_.Now());
    }
  }

  /// Ordinary successes are sampled; those that took several sends are not.
  void LogAnswered(const Passage& passage,
                   const std::string& endpoint,
                   const StreamProgress& progress) {
    constexpr std::uint64_t kSample = 16;
    if (passage.sends <= 1 && ++answered_ % kSample != 0) {
      return;
    }
    LogEvent(Severity::kInfo, "answered")
        .With("request", passage.request.id)
        .With("endpoint", endpoint)
        .With("events", progress.events.event_count())
        .With("sends", passage.sends)
        .With("revision", passage.manifest->revision())
        .With("first_event_ms", progress.first_event - passage.arrived)
        .With("longest_pause_ms", progress.longest_pause)
        .With("after_ms", Elapsed(passage));
  }

  void LogLost(const Passage& passage,
               const std::string& endpoint,
               const Failure& failure) const {
    LogEvent(Severity::kInfo, "answer_lost")
        .With("request", passage.request.id)
        .With("endpoint", endpoint)
        .With("reason", ToString(failure.code))
        .With("where", failure.where)
        .With("sends", passage.sends)
        .With("after_ms", Elapsed(passage));
  }

  void LogNotRun(const Passage& passage,
                 const std::string& endpoint,
                 const ResponseHead& head) const {
    LogEvent(Severity::kInfo, "endpoint_refused")
        .With("request", passage.request.id)
        .With("endpoint", endpoint)
        .With("status", head.status)
        .With("sends", passage.sends);
  }

  RelayState& state_;
  const TheClock& clock_;
  std::minstd_rand random_;
  std::uint64_t answered_ = 0;
};

}  // namespace sycamoreford
