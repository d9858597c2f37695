#include "sycamoreford/adapters/service_handler.h"

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <string_view>

#include <boost/algorithm/string/predicate.hpp>

#include "sycamoreford/claim/claim.h"

namespace sycamoreford {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kPrefix = "/v1/services/";
constexpr std::chrono::milliseconds kDefaultTimeout{10'000};
constexpr std::chrono::milliseconds kMinReadTimeout{1};
/// Time to store the final state of a claim after the deadline of the call.
constexpr std::chrono::milliseconds kClaimStoreMargin{5'000};
constexpr std::chrono::milliseconds kRetryAfter{1'000};
constexpr std::size_t kMaxResponseBytes = 4UL * 1024 * 1024;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::array kIdempotentMethods = {"GET",    "HEAD",    "PUT",
                                           "DELETE", "OPTIONS", "TRACE"};
constexpr std::array kForwardedFields = {"content-type", "accept", "x-call"};

/// A parsed call to a plain service.
struct ServiceCall {
  std::string service;
  v1::ServiceRoute route;
  v1::Pool pool;
  HttpRequest request;
  TimePoint deadline{};
  bool may_run_again = false;
};

/// Whether a method is non-idempotent: listed by the route or, if the route
/// lists none, not defined as idempotent by HTTP. The comparison ignores case,
/// so that a different spelling cannot bypass the list.
bool IsNonIdempotent(const v1::ServiceRoute& route, const std::string& method) {
  const auto is_method = [&method](const std::string& name) {
    return boost::iequals(name, method);
  };
  const auto& listed = route.non_idempotent_methods();
  if (std::any_of(listed.begin(), listed.end(), is_method)) {
    return true;
  }
  return listed.empty() && std::none_of(kIdempotentMethods.begin(),
                                        kIdempotentMethods.end(), is_method);
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
  call.service = service;
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
  const auto timeout = call.route.timeout_ms() > 0
                           ? std::chrono::milliseconds(call.route.timeout_ms())
                           : kDefaultTimeout;
  call.deadline = std::min(caller.received_at + timeout, caller.deadline);
  call.may_run_again = request.fields.Get("idempotency-key").empty() &&
                       !IsNonIdempotent(call.route, request.method);
  return call;
}

/// The usable endpoint with the fewest requests of this daemon in flight; null
/// if there is none.
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

std::chrono::milliseconds Remaining(const EntryState& state,
                                    const ServiceCall& call) {
  return std::chrono::ceil<std::chrono::milliseconds>(call.deadline -
                                                      state.clock.Now());
}

/// Sends the call to one endpoint and reads the response, within the deadline
/// of the call.
asio::awaitable<Result<HttpResponse>> SendTo(const EntryState& state,
                                             const std::string& address,
                                             const ServiceCall& call) {
  const auto remaining = Remaining(state, call);
  auto opened = co_await HttpCall::Open(
      address, call.request,
      std::min(remaining, state.settings.limits.connect_timeout), remaining);
  if (!opened) {
    co_return opened.error();
  }
  HttpResponse response;
  response.status = opened->status();
  response.content_type = std::string(opened->fields().Get("content-type"));
  for (;;) {
    const auto left = Remaining(state, call);
    auto bytes = co_await opened->ReadSome(std::max(left, kMinReadTimeout));
    if (!bytes) {
      co_return bytes.error();
    }
    if (!bytes->has_value()) {
      co_return response;
    }
    response.body += **bytes;
    if (response.body.size() > kMaxResponseBytes || left.count() <= 0 ||
        !opened->Retain(response.body.capacity())) {
      co_return Failure{.code = left.count() <= 0 ? Errc::kDeadlineExceeded
                                                  : Errc::kBadEndpointAnswer,
                        .outcome = Outcome::kUnknown,
                        .where = address};
    }
  }
}

/// Sends the call to one endpoint after another until one responds, no endpoint
/// or attempt is left, the deadline has passed, or a retry is not allowed.
asio::awaitable<Result<HttpResponse>> Dispatch(EntryState& state,
                                               const CallerRequest& caller,
                                               const ServiceCall& call) {
  std::set<EndpointId> failed;
  bool may_have_run = false;
  Failure last_failure{.code = Errc::kNoEndpoint, .where = "service"};
  while (failed.size() < state.settings.limits.attempts) {
    if (Remaining(state, call).count() <= 0) {
      last_failure = {.code = Errc::kDeadlineExceeded, .where = "service"};
      break;
    }
    const v1::Endpoint* endpoint = ChooseEndpoint(
        call, state.endpoints.Snapshot(state.clock.Now()), failed);
    if (endpoint == nullptr) {
      break;
    }
    const EndpointId id(endpoint->name());
    if (!failed.empty() && !state.policy.MayRetry(caller, id)) {
      break;
    }
    Chain chain;
    chain.push_back({id, endpoint->address(), LayerRange()});
    const ChainInFlightGuard guard(state.endpoints, chain);
    caller.timer->OnDispatched(state.clock.Now());
    caller.timer->SetAttempts(caller.timer->attempts() + 1);
    auto response = co_await SendTo(state, endpoint->address(), call);
    if (response) {
      state.endpoints.Report(id, AttemptResult::kSuccess, state.clock.Now());
      co_return std::move(*response);
    }
    last_failure = response.error();
    state.endpoints.Report(id, AttemptResult::kFailure, state.clock.Now());
    failed.insert(id);
    may_have_run = may_have_run || last_failure.outcome != Outcome::kNotRun;
    if (may_have_run && !call.may_run_again) {
      break;
    }
  }
  last_failure.outcome = may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  if (!may_have_run) {
    last_failure.retry_after = kRetryAfter;
  }
  co_return last_failure;
}

asio::awaitable<Result<HttpResponse>> DispatchOnce(EntryState& state,
                                                   const CallerRequest& caller,
                                                   const ServiceCall& call,
                                                   const std::string& key) {
  if (key.size() > kMaxKeyBytes) {
    co_return Failure{.code = Errc::kTooLarge, .where = "idempotency-key"};
  }
  const auto now = std::chrono::system_clock::now();
  Claim claim;
  claim.write_id = NewUniqueId();
  claim.digest = ClaimDigest(call.service, call.request.method,
                             call.request.target, call.request.body);
  claim.deadline = now + Remaining(state, call) + kClaimStoreMargin;
  ClaimKey claim_key;
  claim_key.customer = caller.customer;
  claim_key.key = key;
  // The work outlives a caller that disconnects, so it captures copies
  // of `caller` and `call`.
  auto work = [&state, caller, call] { return Dispatch(state, caller, call); };
  co_return co_await state.claims.RunOnce(claim_key, claim, work);
}

}  // namespace

asio::awaitable<Result<void>> HandleService(EntryState& state,
                                            const CallerRequest& caller,
                                            HttpExchange& exchange) {
  auto call = ParseCall(caller, exchange.request());
  if (!call) {
    co_return call.error();
  }
  auto ticket =
      co_await state.policy.AdmitServiceCall(caller, call->route.pool());
  if (!ticket) {
    co_return ticket.error();
  }
  if (exchange.client()->HasLeft()) {
    co_return Failure{.code = Errc::kCallerGone, .where = "caller"};
  }
  const std::string key(exchange.request().fields.Get("idempotency-key"));
  Result<HttpResponse> result = HttpResponse();
  if (key.empty()) {
    result = co_await Dispatch(state, caller, *call);
  } else {
    result = co_await DispatchOnce(state, caller, *call, key);
  }
  if (!result) {
    co_return result.error();
  }
  HttpResponse response;
  response.status = result->status;
  response.content_type = result->content_type;
  response.fields.Add("x-request-id", caller.id.value());
  if (!result->fields.Get("idempotent-replayed").empty()) {
    response.fields.Add("idempotent-replayed", "true");
  }
  response.body = std::move(result->body);
  co_await exchange.Respond(std::move(response));
  co_return Result<void>();
}

}  // namespace sycamoreford
