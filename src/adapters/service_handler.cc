#include "sycamoreford/adapters/service_handler.h"

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <string_view>

#include "sycamoreford/claim/claim_store.h"
#include "sycamoreford/core/log.h"

namespace sycamoreford {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kPrefix = "/v1/services/";
constexpr std::chrono::milliseconds kDefaultTimeout{10'000};
constexpr std::chrono::milliseconds kClaimMargin{5'000};
constexpr std::chrono::milliseconds kRetryAfter{1'000};
constexpr std::size_t kAnswerLimit = 4UL * 1024 * 1024;
constexpr std::size_t kMostKeyLength = 256;
constexpr std::array kForwardedFields = {"content-type", "accept", "x-call"};

/// A call to a plain service after it was recognized.
struct ServiceCall {
  v1::ServiceRoute route;
  v1::Pool pool;
  HttpRequest request;
  std::chrono::milliseconds timeout{};
  bool repeatable = false;
};

bool IsNonIdempotent(const v1::ServiceRoute& route, const std::string& method) {
  const auto& methods = route.non_idempotent_methods();
  if (methods.empty()) {
    return method == "POST" || method == "PATCH";
  }
  return std::find(methods.begin(), methods.end(), method) != methods.end();
}

Result<ServiceCall> ParseCall(const CallerRequest& caller,
                              const HttpRequest& request) {
  const std::string rest = request.target.substr(kPrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string service = rest.substr(0, slash);
  const v1::Resource* found =
      caller.config->Find(v1::KIND_SERVICE_ROUTE, service);
  if (found == nullptr) {
    return Failure{.code = Errc::kNotFound, .where = "service"};
  }
  ServiceCall call;
  call.route = found->service_route();
  call.pool = caller.config->Find(v1::KIND_POOL, call.route.pool())->pool();
  call.request.method = request.method;
  call.request.target = slash == std::string::npos ? "/" : rest.substr(slash);
  for (const char* name : kForwardedFields) {
    if (const std::string_view value = request.fields.Get(name);
        !value.empty()) {
      call.request.fields.Add(name, std::string(value));
    }
  }
  call.request.body = request.body;
  call.timeout = call.route.timeout_ms() > 0
                     ? std::chrono::milliseconds(call.route.timeout_ms())
                     : kDefaultTimeout;
  call.timeout = std::min(call.timeout,
                          std::chrono::duration_cast<std::chrono::milliseconds>(
                              caller.deadline - caller.received));
  call.repeatable = request.fields.Get("idempotency-key").empty() &&
                    !IsNonIdempotent(call.route, request.method);
  return call;
}

/// The endpoint with the fewest requests of this daemon; null when none.
const v1::Endpoint* ChooseEndpoint(const ServiceCall& call,
                                   const EndpointTable::View& loads,
                                   const std::set<EndpointId>& avoid) {
  const v1::Endpoint* best = nullptr;
  std::uint32_t fewest = std::numeric_limits<std::uint32_t>::max();
  for (const v1::Endpoint& endpoint : call.pool.endpoints()) {
    const EndpointId id(endpoint.name());
    const EndpointLoad load = loads.LoadOf(id);
    const bool usable = !endpoint.leaving() && !load.is_leaving &&
                        !load.is_suspected && !avoid.contains(id);
    if (usable && load.in_flight < fewest) {
      best = &endpoint;
      fewest = load.in_flight;
    }
  }
  return best;
}

/// Sends the call until it was answered, or may not be sent again.
asio::awaitable<Result<HttpResponse>> Dispatch(EntryState& state,
                                               const CallerRequest& caller,
                                               const ServiceCall& call) {
  std::set<EndpointId> avoid;
  bool may_have_run = false;
  Failure last{.code = Errc::kNoEndpoint, .where = "service"};
  while (avoid.size() < state.settings.limits.attempts) {
    const v1::Endpoint* endpoint = ChooseEndpoint(
        call, state.endpoints.Snapshot(state.clock.Now()), avoid);
    if (endpoint == nullptr) {
      break;
    }
    const EndpointId id(endpoint->name());
    if (!avoid.empty() && !state.policy.MayRetry(caller, id)) {
      break;
    }
    Chain chain;
    chain.push_back({id, endpoint->address(), LayerRange()});
    const ChainHold hold(state.endpoints, chain);
    caller.timer->OnDispatched(state.clock.Now());
    caller.timer->SetAttempts(caller.timer->attempts() + 1);
    auto answer = co_await FetchHttp(endpoint->address(), call.request,
                                     call.timeout, kAnswerLimit);
    if (answer) {
      state.endpoints.Report(id, EndpointVerdict::kGood, state.clock.Now());
      co_return std::move(*answer);
    }
    last = answer.error();
    state.endpoints.Report(id, EndpointVerdict::kBad, state.clock.Now());
    avoid.insert(id);
    may_have_run = may_have_run || last.outcome != Outcome::kNotRun;
    if (may_have_run && !call.repeatable) {
      break;
    }
  }
  last.outcome = may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  if (!may_have_run) {
    last.retry_after = kRetryAfter;
  }
  co_return last;
}

asio::awaitable<Result<HttpResponse>> DispatchOnce(EntryState& state,
                                                   const CallerRequest& caller,
                                                   const ServiceCall& call,
                                                   const std::string& key) {
  if (key.size() > kMostKeyLength) {
    co_return Failure{.code = Errc::kTooLarge, .where = "idempotency-key"};
  }
  ClaimStore store(state.table);
  const auto now = std::chrono::system_clock::now();
  const Claim claim{.write_id = NewUniqueId(),
                    .digest = HashSecret(
                        call.request.method + " " + call.request.target + "\n",
                        call.request.body),
                    .deadline = now + call.timeout + kClaimMargin};
  const ClaimKey claim_key{caller.customer, key};
  auto grant = co_await store.Take(claim_key, claim, now);
  if (!grant) {
    co_return grant.error();
  }
  if (grant->replay) {
    HttpResponse response;
    response.status = grant->replay->status;
    response.content_type = grant->replay->content_type;
    response.fields.Add("idempotent-replayed", "true");
    response.body = grant->replay->body;
    co_return response;
  }
  auto answer = co_await Dispatch(state, caller, call);
  if (answer) {
    ClaimAnswer answered;
    answered.status = answer->status;
    answered.content_type = answer->content_type;
    answered.body = answer->body;
    const bool kept = co_await store.Finish(*grant, std::move(answered));
    if (!kept) {
      LogEvent(Severity::kWarning, "claim_answer_not_kept")
          .With("request", caller.id.value())
          .With("customer", caller.customer.value());
    }
  } else if (answer.error().outcome == Outcome::kNotRun) {
    (void)co_await store.Release(*grant);
  }
  co_return answer;
}

}  // namespace

asio::awaitable<Result<void>> HandleService(EntryState& state,
                                            const CallerRequest& caller,
                                            HttpExchange& exchange) {
  auto call = ParseCall(caller, exchange.request());
  if (!call) {
    co_return call.error();
  }
  auto ticket = co_await state.policy.AdmitCall(caller, call->route.pool());
  if (!ticket) {
    co_return ticket.error();
  }
  const std::string key(exchange.request().fields.Get("idempotency-key"));
  Result<HttpResponse> answer = HttpResponse();
  if (key.empty()) {
    answer = co_await Dispatch(state, caller, *call);
  } else {
    answer = co_await DispatchOnce(state, caller, *call, key);
  }
  if (!answer) {
    co_return answer.error();
  }
  HttpResponse response;
  response.status = answer->status;
  response.content_type = answer->content_type;
  response.fields.Add("x-request-id", caller.id.value());
  if (!answer->fields.Get("idempotent-replayed").empty()) {
    response.fields.Add("idempotent-replayed", "true");
  }
  response.body = std::move(answer->body);
  co_await exchange.Respond(std::move(response));
  co_return Result<void>();
}

}  // namespace sycamoreford
