#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/system/system_error.hpp>

#include "sycamoreford/adapters/attempt_step.h"
#include "sycamoreford/adapters/http_server.h"
#include "sycamoreford/adapters/relay_state.h"
#include "sycamoreford/adapters/request_context.h"
#include "sycamoreford/core/log.h"
#include "sycamoreford/relay/relay_codec.h"
#include "sycamoreford/relay/send_limits.h"

namespace sycamoreford {

/// What the processing of all requests has in common: whether a request may be
/// sent, its refusal, and the record of how it ended.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
template <RelayCodec Codec, Clock TheClock>
class RequestProcessor {
 protected:
  using RequestContext = relay::RequestContext;

  /// Precondition: `state` and `clock` outlive this object.
  RequestProcessor(RelayState& state, const TheClock& clock)
      : state_(state), clock_(clock), random_(std::random_device{}()) {}

  /// Whether the request must not be sent, or not again, because endpoints
  /// crash under it.
  [[nodiscard]] bool IsQuarantined(const RequestContext& context) const {
    const bool is_allowed_trial = context.is_trial && context.sends == 0;
    return !is_allowed_trial &&
           state_.quarantine().IsQuarantined(context.traits);
  }

  /// The reason to refuse a quarantined request. Sets when the caller may come
  /// back.
  [[nodiscard]] Refusal QuarantineRefusal(RequestContext& context) const {
    const auto& quarantine = state_.quarantine();
    context.allowed_after = std::chrono::ceil<std::chrono::milliseconds>(
        quarantine.TimeUntilTrial(context.traits, clock_.Now())
            .value_or(relay::kQuarantineRetryAfter));
    return quarantine.IsQuarantinedAsWhole(context.traits)
               ? Refusal::kRequestQuarantined
               : Refusal::kPromptQuarantined;
  }

  /// Time since the request arrived.
  [[nodiscard]] Duration Elapsed(const RequestContext& context) const {
    return clock_.Now() - context.arrived_at;
  }

  boost::asio::awaitable<void> Refuse(HttpExchange& exchange,
                                      const RequestContext& context,
                                      Refusal refusal) {
    LogRefusal(context, refusal);
    RecordOutcome(context, ToString(refusal));
    HttpResponse response = Codec::EncodeRefusal(
        refusal, relay::DrawRetryAfter(random_, context.allowed_after));
    if (context.is_from_peer && IsNotRun(refusal)) {
      Codec::MarkNotRun(response, refusal);
    }
    co_await Respond(exchange, context, std::move(response));
  }

  void LogRefusal(const RequestContext& context, Refusal refusal) const {
    LogEvent entry(Severity::kInfo, "refused");
    entry.With("request", context.request.id)
        .With("reason", ToString(refusal))
        .With("route", context.route == nullptr ? "" : context.route->name)
        .With("revision", context.manifest ? context.manifest->revision() : 0)
        .With("sends", context.sends)
        .With("after_ms", Elapsed(context));
    if (context.rank) {
      entry.With("rank", *context.rank)
          .With("customer", context.customer)
          .With("return_after_ms", context.allowed_after);
    }
    if (refusal == Refusal::kRequestQuarantined) {
      entry.With("fingerprint", ToString(context.fingerprint));
    }
  }

  /// Counts how a request has ended. Those of other daemons are counted there.
  void RecordOutcome(const RequestContext& context, std::string_view outcome) {
    if (context.is_from_peer) {
      return;
    }
    state_.metrics().OnEnded(
        context.service == nullptr ? "" : context.service->name,
        context.customer, outcome, Elapsed(context), context.sends);
  }

  /// The reason to return to the caller of a request without a response. Sets
  /// when the caller may come back.
  [[nodiscard]] Refusal FinalRefusal(RequestContext& context) const {
    const bool is_late = context.TimeLeft(clock_.Now()) < relay::kMinTimeLeft;
    if (context.may_have_run) {
      return is_late ? Refusal::kTimedOut : Refusal::kAnswerLost;
    }
    if (is_late) {
      return Refusal::kTooLate;
    }
    if (context.last_denial == kStopping) {
      return Refusal::kStopping;
    }
    if (IsQuarantined(context)) {
      return QuarantineRefusal(context);
    }
    if (context.last_denial == kNoRoom) {
      return Refusal::kNoRoom;
    }
    if (context.last_denial != kEndpointLimit &&
        context.last_denial != kEndpointBackoff &&
        NextOpening(context).are_all_closed) {
      OnClosed(context);
    }
    if (context.last_denial == kEndpointBackoff) {
      return Refusal::kEndpointBackoff;
    }
    if (context.last_denial == kEndpointLimit) {
      return Refusal::kEndpointLimit;
    }
    // Of requests that went through another daemon.
    context.allowed_after = std::chrono::ceil<std::chrono::milliseconds>(
        state_.peers().BackoffLeft(context.service->name, clock_.Now()));
    return Refusal::kNoEndpoint;
  }

  /// Whether the request may be sent once more, apart from the retry budget.
  /// Asked before every send: the first, retries, hedges, resumed streams, and
  /// those through another daemon.
  ///
  /// \throws boost::system::system_error if the caller has left.
  bool MayBeSent(RequestContext& context) const {
    if (context.HasCallerLeft()) {
      throw boost::system::system_error(boost::asio::error::operation_aborted);
    }
    context.last_denial = "";
    context.allowed_after = std::chrono::milliseconds(0);
    if (context.sends >= relay::kMaxSends) {
      context.last_denial = "max_sends";
    } else if (context.TimeLeft(clock_.Now()) < relay::kMinTimeLeft) {
      context.last_denial = "no_time_left";
    } else if (context.may_have_run && !context.MayRunAgain()) {
      context.last_denial = "runs_at_most_once";
    } else if (IsQuarantined(context)) {
      context.last_denial = "quarantined";
    } else if (context.has_named_endpoints) {
      context.last_denial = "resumed_by_peer";
    } else if (!MayBeSentWhileStopping(context)) {
      context.last_denial = kStopping;
    }
    return context.last_denial.empty();
  }

  [[nodiscard]] bool MayBeSentWhileStopping(
      const RequestContext& context) const {
    return state_.stop_plan().MaySend(
        {.deadline = context.deadline,
         .target_latency = context.route->target_latency,
         .may_run_again = context.MayRunAgain()},
        clock_.Now());
  }

  /// When the first closed endpoint of the request's service opens.
  [[nodiscard]] GateOpening NextOpening(const RequestContext& context) const {
    const TimePoint now = clock_.Now();
    return state_.gate().NextOpening(
        state_.DestinationsOf(*context.service, now), now);
  }

  /// Records that only limits or pauses of endpoints do not allow the request.
  void OnClosed(RequestContext& context) const {
    const GateOpening next = NextOpening(context);
    context.last_denial = next.is_backoff ? kEndpointBackoff : kEndpointLimit;
    context.allowed_after =
        std::chrono::ceil<std::chrono::milliseconds>(next.time_left);
  }

  /// Whether a request that was chosen for an endpoint may be sent when its
  /// connection is established.
  [[nodiscard]] std::function<bool()> MaySendTo(const RequestContext& context,
                                                std::string endpoint) const {
    return [this, caller = context.caller, endpoint = std::move(endpoint)] {
      return !caller->HasLeft() &&
             state_.gate().MaySend(endpoint, SendKind::kChosenRequest,
                                   clock_.Now());
    };
  }

  /// Whether a request may be sent through another daemon when the connection
  /// to it is established.
  [[nodiscard]] static std::function<bool()> MayForward(
      const RequestContext& context) {
    return [caller = context.caller] { return !caller->HasLeft(); };
  }

  /// Whether this daemon's own endpoints may be tried.
  bool MayConnect(RequestContext& context) const {
    if (context.connect_failures >= relay::kMaxConnectFailures) {
      context.last_denial = "no_connection";
      return false;
    }
    return true;
  }

  /// Chooses an endpoint, or what begins with one. The best choices are left to
  /// daemons that may have made them already and have not named them yet.
  ///
  /// \param pick returns the best choice that is not among the excluded
  ///     endpoints, or null.
  /// \param id_of returns the id of the endpoint of a choice.
  template <class Pick, class IdOf>
  [[nodiscard]] static auto PickUnlikeOthers(const RequestContext& context,
                                             std::set<std::string> excluded,
                                             const Pick& pick,
                                             const IdOf& id_of) {
    const std::set<std::string>& tried = context.tried_endpoints.all();
    auto choice = pick(excluded);
    std::size_t taken = context.tried_endpoints.CountUnnamed();
    for (; taken > 0 && choice != nullptr; --taken) {
      excluded.insert(id_of(*choice));
      const auto next = pick(excluded);
      if (next == nullptr || tried.contains(id_of(*next))) {
        break;
      }
      choice = next;
    }
    return choice;
  }

  /// Tells the daemon that forwarded a request, if one did, which endpoints it
  /// was sent to. No further ones may be tried after that.
  static void MarkTried(const RequestContext& context, HttpResponse& response) {
    if (context.is_from_peer && !context.tried_endpoints.own().empty()) {
      Codec::MarkTried(response, context.tried_endpoints.own());
    }
  }

  /// Tells the daemon that forwarded a request, if one did, that the endpoint
  /// with this response is leaving.
  static void MarkLeaving(const RequestContext& context,
                          const ResponseHead& head,
                          HttpResponse& response) {
    if (context.is_from_peer && head.leaving_run) {
      Codec::MarkLeaving(response, {.run = *head.leaving_run,
                                    .until_ms = head.leaving_until_ms});
    }
  }

  /// Sends a whole response to the caller or to the daemon that forwarded the
  /// request.
  static boost::asio::awaitable<void> Respond(HttpExchange& exchange,
                                              const RequestContext& context,
                                              HttpResponse response) {
    MarkTried(context, response);
    co_await exchange.Respond(std::move(response));
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
    if (context.is_trial) {
      state_.quarantine().ReserveTrial(context.traits, clock_.Now());
    }
    ++context.sends;
    return true;
  }

  /// What to call when the request was sent to an endpoint. A trial that no
  /// endpoint gets is not spent.
  [[nodiscard]] std::function<void()> OnSentFor(const RequestContext& context) {
    if (!context.is_trial) {
      return {};
    }
    return [this, traits = context.traits] {
      state_.quarantine().OnTrial(traits, clock_.Now());
    };
  }

  /// Records a send after which the caller has no complete response.
  void RecordFailedSend(RequestContext& context,
                        AttemptStep step,
                        const std::string& endpoint) {
    if (step == AttemptStep::kWithheld) {
      --context.sends;
      if (!context.HasCallerLeft()) {
        LogWithheld(context, endpoint);
      }
      return;
    }
    if (step == AttemptStep::kNotSent) {
      --context.sends;
      ++context.connect_failures;
      return;
    }
    context.tried_endpoints.Add(endpoint);
    context.may_have_run = context.may_have_run || step != AttemptStep::kNotRun;
  }

  /// Throws if the handler was cancelled, since the caller has disconnected or
  /// the daemon stops: the cancelled call would otherwise be regarded as a
  /// failure of the endpoint.
  static boost::asio::awaitable<void> ThrowIfCancelled() {
    const auto state = co_await boost::asio::this_coro::cancellation_state;
    if (state.cancelled() != boost::asio::cancellation_type::none) {
      throw boost::system::system_error(boost::asio::error::operation_aborted);
    }
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
        .With("fingerprint", ToString(context.fingerprint))
        .With("sends", context.sends)
        .With("after_ms", Elapsed(context));
  }

  void LogWithheld(const RequestContext& context, const std::string& endpoint) {
    state_.metrics().OnWithheld("request");
    LogEvent(Severity::kInfo, "send_withheld")
        .With("request", context.request.id)
        .With("endpoint", endpoint)
        .With("sends", context.sends);
  }

  void LogNotRun(const RequestContext& context,
                 const std::string& endpoint,
                 const ResponseHead& head) const {
    LogEvent(Severity::kInfo, "endpoint_refused")
        .With("request", context.request.id)
        .With("endpoint", endpoint)
        .With("status", head.status)
        .With("retry_after_ms",
              head.retry_after.value_or(std::chrono::milliseconds(0)))
        .With("sends", context.sends);
  }

  RelayState& state_;
  const TheClock& clock_;

  /// The denial of a request that no chain can take.
  static constexpr std::string_view kNoChain = "no_chain";
  /// The denial of a request that has waited for room, or may not wait.
  static constexpr std::string_view kNoRoom = "no_room";

 private:
  /// The denial of a request that this daemon would have to cut off.
  static constexpr std::string_view kStopping = "stopping";
  static constexpr std::string_view kEndpointLimit = "endpoint_limit";
  static constexpr std::string_view kEndpointBackoff = "endpoint_backoff";

  std::minstd_rand random_;
};

}  // namespace sycamoreford
