#include "sycamoreford/adapters/caller_handler.h"

#include <charconv>

#include <boost/json.hpp>
#include <boost/system/system_error.hpp>

#include "sycamoreford/adapters/caller_error.h"
#include "sycamoreford/adapters/chat_handler.h"
#include "sycamoreford/adapters/service_handler.h"
#include "sycamoreford/core/log.h"
#include "sycamoreford/metrics/prometheus_text.h"

namespace sycamoreford {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::chrono::milliseconds kRetryAfter{1'000};
/// Customer and priority in metrics and logs for requests without a valid key.
constexpr const char* kUnauthenticated = "_unrecognized";

std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

HttpResponse TextResponse(unsigned status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain; charset=utf-8";
  response.body = std::move(body);
  return response;
}

/// Parses the request timeout in `x-deadline-ms`.
///
/// \returns the timeout, at most `max_timeout`, which is also the default.
Result<std::chrono::milliseconds> ParseTimeout(
    const HttpRequest& request,
    std::chrono::milliseconds max_timeout) {
  const std::string_view text = request.fields.Get("x-deadline-ms");
  if (text.empty()) {
    return max_timeout;
  }
  std::int64_t count = 0;
  const char* end = text.data() + text.size();
  const auto [rest, status] = std::from_chars(text.data(), end, count);
  if (status != std::errc() || rest != end) {
    return Failure{.code = Errc::kMalformed, .where = "x-deadline-ms"};
  }
  if (count <= 0) {
    return Failure{.code = Errc::kDeadlineExceeded, .where = "x-deadline-ms"};
  }
  return std::min(max_timeout, std::chrono::milliseconds(count));
}

/// Looks up the customer by API key and sets the customer, priority and
/// deadline of `caller`.
Result<void> Authenticate(EntryState& state,
                          const HttpRequest& request,
                          CallerRequest& caller) {
  const std::string_view authorization = request.fields.Get("authorization");
  if (!authorization.starts_with(kBearer)) {
    return Failure{.code = Errc::kUnauthorized, .where = "authorization"};
  }
  const v1::Resource* customer = state.policy.FindCustomer(
      caller.config, std::string(authorization.substr(kBearer.size())));
  if (customer == nullptr) {
    return Failure{.code = Errc::kUnauthorized, .where = "authorization"};
  }
  caller.customer = CustomerId(customer->name());
  caller.priority = customer->customer().priority();
  auto timeout = ParseTimeout(request, state.settings.limits.request_timeout);
  if (!timeout) {
    return timeout.error();
  }
  caller.deadline = caller.received_at + *timeout;
  return {};
}

/// Why a handler was cancelled: its caller has left, or the daemon stops.
Failure CancelledFailure(const HttpExchange& exchange) {
  if (exchange.client()->HasLeft()) {
    return {.code = Errc::kCallerGone,
            .outcome = Outcome::kUnknown,
            .where = "caller"};
  }
  return {.code = Errc::kConnectionLost,
          .outcome = Outcome::kUnknown,
          .where = "stopping"};
}

HttpResponse ModelsResponse(const CallerRequest& caller) {
  json::array models;
  for (const v1::Resource* route : caller.config->List(v1::KIND_ROUTE)) {
    models.push_back({{"id", route->name()},
                      {"object", "model"},
                      {"created", 0},
                      {"owned_by", "sycamoreford"}});
  }
  HttpResponse response;
  response.body = json::serialize(
      json::object{{"object", "list"}, {"data", std::move(models)}});
  return response;
}

}  // namespace

bool CallerHandler::IsReady() const {
  return !state_.draining && state_.permit.IsValidAt(state_.clock.Now());
}

HttpResponse CallerHandler::ReadinessResponse() const {
  return IsReady() ? TextResponse(200, "ready\n")
                   : TextResponse(503, "not ready\n");
}

HttpResponse CallerHandler::MetricsResponse() const {
  const auto revision = state_.config.current()->revision().value();
  return TextResponse(
      200,
      FormatMetric("sycamoreford_requests_total", "counter", state_.requests) +
          FormatMetric("sycamoreford_failures_total", "counter",
                       state_.failures) +
          FormatMetric("sycamoreford_config_revision", "gauge", revision) +
          FormatMetric("sycamoreford_draining", "gauge",
                       state_.draining ? 1 : 0) +
          ToPrometheus(state_.metrics.Snapshot()));
}

asio::awaitable<void> CallerHandler::Handle(HttpExchange& exchange) {
  const std::string path = PathOf(exchange.request().target);
  if (path == "/healthz") {
    co_await exchange.Respond(TextResponse(200, "ok\n"));
    co_return;
  }
  if (path == "/readyz") {
    co_await exchange.Respond(ReadinessResponse());
    co_return;
  }
  if (path == "/metrics") {
    co_await exchange.Respond(MetricsResponse());
    co_return;
  }
  co_await HandleRequest(exchange);
}

asio::awaitable<void> CallerHandler::HandleRequest(HttpExchange& exchange) {
  CallerRequest caller;
  caller.id = RequestId(NewUniqueId());
  caller.config = state_.config.current();
  caller.received_at = state_.clock.Now() - exchange.unread_time();
  caller.timer = std::make_shared<RequestTimer>(caller.received_at);
  ++state_.requests;
  Result<void> result;
  try {
    result = co_await Serve(exchange, caller);
  } catch (const boost::system::system_error&) {
    result = CancelledFailure(exchange);
  } catch (const std::exception&) {
    result = Failure{.code = Errc::kInternal,
                     .outcome = Outcome::kUnknown,
                     .where = "handler"};
  }
  RecordCompletion(exchange, caller, result);
  const bool caller_is_gone =
      !result && result.error().code == Errc::kCallerGone;
  // The handler may have been cancelled by the server, which waits for it.
  co_await asio::this_coro::reset_cancellation_state();
  if (!result && !caller_is_gone && !exchange.response_started()) {
    co_await exchange.Respond(CallerError(result.error(), caller.id.value()));
  }
}

void CallerHandler::RecordCompletion(const HttpExchange& exchange,
                                     const CallerRequest& caller,
                                     const Result<void>& result) {
  const TimePoint now = state_.clock.Now();
  const bool is_authenticated = !caller.customer.value().empty();
  const MetricsKey key{
      is_authenticated ? caller.customer.value() : kUnauthenticated,
      is_authenticated ? caller.priority : kUnauthenticated};
  state_.metrics.Record(key, result
                                 ? caller.timer->Answered(now)
                                 : caller.timer->Failed(result.error(), now));
  LogEvent event(Severity::kInfo, "request");
  event.With("request", caller.id.value())
      .With("customer", key.customer)
      .With("attempts", caller.timer->attempts())
      .With("method", exchange.request().method);
  if (!result) {
    ++state_.failures;
    event.With("error", ToString(result.error().code))
        .With("outcome", ToString(result.error().outcome))
        .With("where", result.error().where);
  }
  event.With("ms", now - caller.received_at);
}

asio::awaitable<Result<void>> CallerHandler::Serve(HttpExchange& exchange,
                                                   CallerRequest& caller) {
  if (exchange.client()->HasLeft()) {
    co_return Failure{.code = Errc::kCallerGone, .where = "caller"};
  }
  const HttpRequest& request = exchange.request();
  const std::string path = PathOf(request.target);
  if (!state_.permit.IsValidAt(state_.clock.Now())) {
    co_return Failure{.code = Errc::kConfigUnconfirmed,
                      .where = "config",
                      .retry_after = kRetryAfter};
  }
  auto authenticated = Authenticate(state_, request, caller);
  if (!authenticated) {
    co_return authenticated.error();
  }
  if (path == "/v1/chat/completions") {
    if (request.method != "POST") {
      co_return Failure{.code = Errc::kMethodNotAllowed, .where = "method"};
    }
    co_return co_await HandleChat(state_, caller, exchange);
  }
  if (path == "/v1/models") {
    if (request.method != "GET") {
      co_return Failure{.code = Errc::kMethodNotAllowed, .where = "method"};
    }
    co_await exchange.Respond(ModelsResponse(caller));
    co_return Result<void>();
  }
  if (path.starts_with("/v1/services/")) {
    co_return co_await HandleService(state_, caller, exchange);
  }
  co_return Failure{.code = Errc::kNotFound, .where = "path"};
}

}  // namespace sycamoreford
