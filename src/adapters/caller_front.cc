#include "sycamoreford/adapters/caller_front.h"

#include <charconv>

#include <boost/json.hpp>

#include "sycamoreford/adapters/caller_error.h"
#include "sycamoreford/adapters/chat_handler.h"
#include "sycamoreford/adapters/service_handler.h"
#include "sycamoreford/core/log.h"

namespace sycamoreford {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::chrono::milliseconds kRetryAfter{1'000};

std::string PathOf(const std::string& target) {
  return target.substr(0, target.find('?'));
}

HttpResponse Text(unsigned status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain; charset=utf-8";
  response.body = std::move(body);
  return response;
}

/// Reads the time that the caller gives, from `x-deadline-ms`.
Result<std::chrono::milliseconds> TimeAllowed(const HttpRequest& request,
                                              std::chrono::milliseconds most) {
  const std::string_view text = request.fields.Get("x-deadline-ms");
  if (text.empty()) {
    return most;
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
  return std::min(most, std::chrono::milliseconds(count));
}

Result<CallerRequest> Recognize(EntryState& state,
                                const HttpRequest& request,
                                const std::string& id) {
  CallerRequest caller;
  caller.id = RequestId(id);
  caller.config = state.config.current();
  caller.received = state.clock.Now();
  const std::string_view authorization = request.fields.Get("authorization");
  if (!authorization.starts_with(kBearer)) {
    return Failure{.code = Errc::kUnauthorized, .where = "authorization"};
  }
  const v1::Resource* customer = caller.config->FindCustomerByKey(
      std::string(authorization.substr(kBearer.size())));
  if (customer == nullptr) {
    return Failure{.code = Errc::kUnauthorized, .where = "authorization"};
  }
  caller.customer = CustomerId(customer->name());
  auto allowed = TimeAllowed(request, state.settings.limits.request_timeout);
  if (!allowed) {
    return allowed.error();
  }
  caller.deadline = caller.received + *allowed;
  return caller;
}

HttpResponse Models(const CallerRequest& caller) {
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

bool CallerFront::IsReady() const {
  return !state_.draining && state_.permit.IsOpen(state_.clock.Now());
}

HttpResponse CallerFront::Readiness() const {
  return IsReady() ? Text(200, "ready\n") : Text(503, "not ready\n");
}

HttpResponse CallerFront::Metrics() const {
  const auto line = [](std::string_view name, std::uint64_t value) {
    return std::string(name) + " " + std::to_string(value) + "\n";
  };
  return Text(200, "# TYPE sycamoreford_requests_total counter\n" +
                       line("sycamoreford_requests_total", state_.requests) +
                       "# TYPE sycamoreford_failures_total counter\n" +
                       line("sycamoreford_failures_total", state_.failures) +
                       "# TYPE sycamoreford_config_revision gauge\n" +
                       line("sycamoreford_config_revision",
                            state_.config.current()->revision().value()));
}

asio::awaitable<void> CallerFront::Handle(HttpExchange& exchange) {
  const std::string path = PathOf(exchange.request().target);
  if (path == "/healthz") {
    co_await exchange.Respond(Text(200, "ok\n"));
    co_return;
  }
  if (path == "/readyz") {
    co_await exchange.Respond(Readiness());
    co_return;
  }
  if (path == "/metrics") {
    co_await exchange.Respond(Metrics());
    co_return;
  }
  const std::string id = NewUniqueId();
  const TimePoint started = state_.clock.Now();
  ++state_.requests;
  auto served = co_await Serve(exchange, id);
  LogEvent event(Severity::kInfo, "request");
  event.With("request", id).With("method", exchange.request().method);
  if (!served) {
    ++state_.failures;
    event.With("error", ToString(served.error().code))
        .With("outcome", ToString(served.error().outcome))
        .With("where", served.error().where);
  }
  event.With("ms", std::chrono::duration_cast<std::chrono::milliseconds>(
                       state_.clock.Now() - started));
  if (!served && !exchange.is_answered()) {
    co_await exchange.Respond(CallerError(served.error(), id));
  }
}

asio::awaitable<Result<void>> CallerFront::Serve(HttpExchange& exchange,
                                                 const std::string& id) {
  const HttpRequest& request = exchange.request();
  const std::string path = PathOf(request.target);
  if (!state_.permit.IsOpen(state_.clock.Now())) {
    co_return Failure{.code = Errc::kConfigUnconfirmed,
                      .where = "config",
                      .retry_after = kRetryAfter};
  }
  auto caller = Recognize(state_, request, id);
  if (!caller) {
    co_return caller.error();
  }
  if (path == "/v1/chat/completions") {
    if (request.method != "POST") {
      co_return Failure{.code = Errc::kMethodNotAllowed, .where = "method"};
    }
    co_return co_await HandleChat(state_, *caller, exchange);
  }
  if (path == "/v1/models") {
    if (request.method != "GET") {
      co_return Failure{.code = Errc::kMethodNotAllowed, .where = "method"};
    }
    co_await exchange.Respond(Models(*caller));
    co_return Result<void>();
  }
  if (path.starts_with("/v1/services/")) {
    co_return co_await HandleService(state_, *caller, exchange);
  }
  co_return Failure{.code = Errc::kNotFound, .where = "path"};
}

}  // namespace sycamoreford
