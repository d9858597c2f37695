#include "fakes/fake_stage.h"

#include <algorithm>
#include <stdexcept>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "fakes/fake_model.h"
#include "impl/parse_address.h"

namespace sycamoreford::fakes {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::use_awaitable;

namespace {

constexpr std::size_t kMaxExecutedSteps = 200'000;
constexpr std::size_t kMaxConnections = 256;
constexpr std::chrono::milliseconds kFreezePollInterval{5};
/// Prefill runs this many times faster than decoding.
constexpr double kPrefillSpeedup = 20;

std::string StringField(const json::value& value, const char* key) {
  return json::value_to<std::string>(value.at(key));
}
std::uint32_t UintField(const json::value& value, const char* key) {
  return value.at(key).to_number<std::uint32_t>();
}

HttpResponse Refusal(const std::string& type, const std::string& address) {
  HttpResponse response;
  response.status = 409;
  response.body = json::serialize(json::object{
      {"error", {{"type", type}, {"ran", false}, {"address", address}}}});
  return response;
}

/// Body of the prepare request to the next stage.
json::object NextPrepareRequest(const json::value& request) {
  const json::array& chain = request.at("chain").as_array();
  return {{"model", request.at("model")},
          {"version", request.at("version")},
          {"chain", json::array(chain.begin() + 1, chain.end())}};
}

std::string FailureLine(const std::string& address) {
  return json::serialize(json::object{{"error",
                                       {{"type", "stage_failed"},
                                        {"ran", true},
                                        {"address", address}}}}) +
         "\n";
}

asio::awaitable<void> Sleep(std::chrono::steady_clock::duration time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(use_awaitable);
}

/// This stage or a later one failed; `what()` is the failed stage's address.
struct StageFailed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace

/// A persistent connection to the next stage, used by one attempt.
class FakeStage::Connection {
 public:
  Connection(const asio::any_io_executor& executor, std::string address)
      : stream_(executor), address_(std::move(address)) {}

  asio::awaitable<json::value> Call(const std::string& target,
                                    const json::value& body) {
    try {
      if (!connected_) {
        co_await stream_.async_connect(impl::ParseAddress(address_),
                                       use_awaitable);
        stream_.socket().set_option(asio::ip::tcp::no_delay(true));
        connected_ = true;
      }
      http::request<http::string_body> request(http::verb::post, target, 11);
      request.set(http::field::host, address_);
      request.body() = json::serialize(body);
      request.prepare_payload();
      co_await http::async_write(stream_, request, use_awaitable);
      http::response<http::string_body> response;
      co_await http::async_read(stream_, buffer_, response, use_awaitable);
      co_return json::parse(response.body());
    } catch (const std::exception&) {
      throw StageFailed(address_);
    }
  }

  [[nodiscard]] const std::string& address() const { return address_; }

 private:
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::string address_;
  bool connected_ = false;
};

FakeStage::FakeStage(asio::io_context& context, StageOptions options)
    : context_(context), options_(std::move(options)) {
  HttpLimits limits;
  limits.idle_timeout = std::chrono::minutes(5);
  server_ = std::make_unique<HttpServer>(
      context, options_.listen, limits,
      [this](HttpExchange& exchange) { return Handle(exchange); });
}

FakeStage::~FakeStage() = default;

asio::awaitable<void> FakeStage::WaitWhileFrozen() {
  while (fault_ == StageFault::kFreeze) {
    co_await Sleep(kFreezePollInterval);
  }
}

asio::awaitable<void> FakeStage::WaitForCapacity(double tokens) {
  const auto now = std::chrono::steady_clock::now();
  const auto start = std::max(now, busy_until_);
  busy_until_ =
      start +
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          std::chrono::duration<double>(tokens / options_.tokens_per_second));
  co_await Sleep(busy_until_ - now + options_.latency);
  co_await WaitWhileFrozen();
}

bool FakeStage::HasLayers(const json::value& stage) const {
  return UintField(stage, "first") == options_.first_layer &&
         UintField(stage, "end") == options_.end_layer;
}

bool FakeStage::ServesVersion(const json::value& request) const {
  return StringField(request, "model") == options_.model &&
         StringField(request, "version") == options_.version;
}

asio::awaitable<void> FakeStage::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.target == "/fake/fault") {
    SetFault(json::parse(request.body));
    const HttpResponse accepted;
    co_await exchange.Respond(accepted);
    co_return;
  }
  if (request.target == "/fake/ran") {
    co_await exchange.Respond(ExecutedStepsResponse());
    co_return;
  }
  co_await WaitWhileFrozen();
  if (request.target == "/v1/state") {
    co_await exchange.Respond(StateResponse());
    co_return;
  }
  const json::value body = json::parse(request.body);
  if (request.target == "/v1/orders") {
    co_await exchange.Respond(ApplyOrder(body));
  } else if (request.target == "/v1/generate") {
    ++active_;
    const std::shared_ptr<void> guard(nullptr, [this](void*) { --active_; });
    co_await Generate(exchange, body);
  } else if (request.target == "/v1/prepare") {
    const json::array& chain = body.at("chain").as_array();
    HttpResponse response;
    if (!HasLayers(chain.front())) {
      response = Refusal("layer_range_changed", address());
    } else if (!ServesVersion(body)) {
      response = Refusal("wrong_version", address());
    } else if (chain.size() > 1) {
      Connection connection(co_await asio::this_coro::executor,
                            StringField(chain[1], "address"));
      try {
        const json::value prepared =
            co_await connection.Call("/v1/prepare", NextPrepareRequest(body));
        response.body = json::serialize(prepared);
      } catch (const StageFailed& failed) {
        response = Refusal("stage_unreachable", failed.what());
      }
    } else {
      response.body = "{}";
    }
    co_await exchange.Respond(response);
  } else if (request.target == "/v1/step") {
    HttpResponse response;
    const std::shared_ptr<Connection> connection =
        ConnectionFor(body, co_await asio::this_coro::executor);
    try {
      json::object result;
      result["token"] = co_await RunStep(body, connection.get());
      response.body = json::serialize(result);
    } catch (const StageFailed& failed) {
      connections_.erase(StringField(body, "request"));
      response = Refusal("stage_failed", failed.what());
    }
    co_await exchange.Respond(response);
  } else {
    HttpResponse response;
    response.status = 404;
    co_await exchange.Respond(response);
  }
}

std::shared_ptr<FakeStage::Connection> FakeStage::ConnectionFor(
    const json::value& step,
    const asio::any_io_executor& executor) {
  const json::array& chain = step.at("chain").as_array();
  if (chain.size() < 2) {
    return nullptr;
  }
  if (connections_.size() > kMaxConnections) {
    connections_.erase(connections_.begin());
  }
  auto& [attempt, connection] = connections_[StringField(step, "request")];
  if (connection == nullptr || attempt != UintField(step, "attempt")) {
    attempt = UintField(step, "attempt");
    connection = std::make_shared<Connection>(executor,
                                              StringField(chain[1], "address"));
  }
  return connection;
}

asio::awaitable<std::string> FakeStage::RunStep(const json::value& step,
                                                Connection* connection) {
  const json::array& chain = step.at("chain").as_array();
  const std::string request = StringField(step, "request");
  const std::uint32_t attempt = UintField(step, "attempt");
  const std::uint32_t position = UintField(step, "position");
  auto& [newest_attempt, next_position] = progress_[request];
  const bool is_new_attempt = attempt > newest_attempt;
  if (!HasLayers(chain.front()) || attempt < newest_attempt ||
      (!is_new_attempt && position != next_position)) {
    throw StageFailed(address());
  }
  // A copy of the range checked above, since SetFault may change it during the
  // wait below.
  const std::uint32_t first = options_.first_layer;
  const std::uint32_t end = options_.end_layer;
  newest_attempt = attempt;
  next_position = position + 1;
  co_await WaitForCapacity(is_new_attempt ? 1 + position / kPrefillSpeedup : 1);
  executed_steps_.push_back({request, attempt, position});
  if (executed_steps_.size() > kMaxExecutedSteps) {
    executed_steps_.pop_front();
  }
  const std::uint64_t activation = FakeModel::RunLayers(
      step.at("activation").to_number<std::uint64_t>(), first, end);
  if (chain.size() == 1) {
    co_return FakeModel::Sample(activation);
  }
  json::object next_step = step.as_object();
  next_step["activation"] = activation;
  next_step["chain"] = json::array(chain.begin() + 1, chain.end());
  co_await Sleep(options_.link_delay);
  const json::value response = co_await connection->Call("/v1/step", next_step);
  if (const json::value* error = response.as_object().if_contains("error")) {
    throw StageFailed(StringField(*error, "address"));
  }
  co_return StringField(response, "token");
}

asio::awaitable<void> FakeStage::Generate(HttpExchange& exchange,
                                          const json::value& request) {
  const json::array& chain = request.at("chain").as_array();
  if (fault_ == StageFault::kRefuse) {
    const HttpResponse refusal = Refusal("overloaded", address());
    co_await exchange.Respond(refusal);
    co_return;
  }
  if (leaving_) {
    const HttpResponse refusal = Refusal("leaving", address());
    co_await exchange.Respond(refusal);
    co_return;
  }
  if (!ServesVersion(request)) {
    const HttpResponse refusal = Refusal("wrong_version", address());
    co_await exchange.Respond(refusal);
    co_return;
  }
  if (!HasLayers(chain.front())) {
    const HttpResponse refusal = Refusal("layer_range_changed", address());
    co_await exchange.Respond(refusal);
    co_return;
  }
  std::unique_ptr<Connection> connection;
  if (chain.size() > 1) {
    connection = std::make_unique<Connection>(
        co_await asio::this_coro::executor, StringField(chain[1], "address"));
    try {
      const json::value prepared =
          co_await connection->Call("/v1/prepare", NextPrepareRequest(request));
      if (const json::value* error =
              prepared.as_object().if_contains("error")) {
        const HttpResponse refusal = Refusal(StringField(*error, "type"),
                                             StringField(*error, "address"));
        co_await exchange.Respond(refusal);
        co_return;
      }
    } catch (const StageFailed& failed) {
      // co_await is not allowed in a catch block; the refusal is sent below.
      connection = nullptr;
    }
    if (connection == nullptr) {
      const HttpResponse refusal =
          Refusal("stage_unreachable", StringField(chain[1], "address"));
      co_await exchange.Respond(refusal);
      co_return;
    }
  }
  co_await SendTokens(exchange, request, connection.get());
}

asio::awaitable<void> FakeStage::SendTokens(HttpExchange& exchange,
                                            const json::value& request,
                                            Connection* connection) {
  const std::string messages = StringField(request, "messages");
  auto tokens =
      json::value_to<std::vector<std::string>>(request.at("delivered"));
  const std::uint32_t count = UintField(request, "max_tokens");
  HttpResponse header;
  header.content_type = "application/x-ndjson";
  co_await exchange.BeginStream(header);
  json::object line;
  line["request"] = request.at("request");
  line["attempt"] = request.at("attempt");
  json::object step = line;
  step["chain"] = request.at("chain");
  std::string failed_stage;
  while (tokens.size() < count && failed_stage.empty()) {
    step["position"] = tokens.size();
    step["activation"] = FakeModel::Embed(messages, tokens);
    try {
      line["token"] = co_await RunStep(step, connection);
    } catch (const StageFailed& failed) {
      failed_stage = failed.what();
      break;
    }
    line["position"] = tokens.size();
    tokens.push_back(StringField(line, "token"));
    if (fault_ == StageFault::kDropConnection) {
      throw std::runtime_error("connection dropped on purpose");
    }
    std::string bytes = json::serialize(line) + "\n";
    if (fault_ == StageFault::kMalformed) {
      bytes = "\x01\x02{]\n";
    } else if (fault_ == StageFault::kDuplicateToken) {
      bytes += bytes;
    } else if (fault_ == StageFault::kWrongRequest) {
      json::object wrong_request = line;
      wrong_request["request"] = "another";
      bytes = json::serialize(wrong_request) + "\n";
    }
    co_await exchange.SendChunk(bytes);
  }
  if (!failed_stage.empty()) {
    co_await exchange.SendChunk(FailureLine(failed_stage));
  } else if (fault_ != StageFault::kMissingEnd) {
    line.erase("token");
    line.erase("position");
    line["end"] = "length";
    line["count"] = tokens.size();
    co_await exchange.SendChunk(json::serialize(line) + "\n");
  }
  co_await exchange.EndStream();
}

HttpResponse FakeStage::ApplyOrder(const json::value& order) {
  const auto fencing = order.at("fencing").to_number<std::uint64_t>();
  if (options_.checks_fencing && fencing < fencing_) {
    return Refusal("stale_fencing", address());
  }
  fencing_ = std::max(fencing_, fencing);
  last_order_ = json::serialize(order);
  const json::object& desired = order.at("desired").as_object();
  if (const json::value* version = desired.if_contains("version")) {
    options_.version = json::value_to<std::string>(*version);
  }
  if (const json::value* adapters = desired.if_contains("adapters")) {
    adapters_ = json::value_to<std::vector<std::string>>(*adapters);
  }
  return {};
}

HttpResponse FakeStage::StateResponse() const {
  HttpResponse response;
  response.body = json::serialize(
      json::object{{"model", options_.model},
                   {"version", options_.version},
                   {"adapters", json::value_from(adapters_)},
                   {"first", options_.first_layer},
                   {"end", options_.end_layer},
                   {"queue", active_},
                   {"leaving", leaving_},
                   {"tokens_per_second", options_.tokens_per_second},
                   {"fencing", fencing_},
                   {"order", last_order_}});
  return response;
}

HttpResponse FakeStage::ExecutedStepsResponse() const {
  json::array steps;
  for (const ExecutedStep& step : executed_steps_) {
    steps.push_back({{"request", step.request},
                     {"attempt", step.attempt},
                     {"position", step.position}});
  }
  HttpResponse response;
  response.body = json::serialize(json::object{{"ran", steps}});
  return response;
}

void FakeStage::SetFault(const json::value& fault) {
  static const std::map<std::string, StageFault> kinds = {
      {"none", StageFault::kNone},
      {"freeze", StageFault::kFreeze},
      {"refuse", StageFault::kRefuse},
      {"drop_connection", StageFault::kDropConnection},
      {"malformed", StageFault::kMalformed},
      {"duplicate_token", StageFault::kDuplicateToken},
      {"wrong_request", StageFault::kWrongRequest},
      {"missing_end", StageFault::kMissingEnd}};
  const json::object& object = fault.as_object();
  if (const json::value* kind = object.if_contains("kind")) {
    fault_ = kinds.at(json::value_to<std::string>(*kind));
  }
  if (const json::value* rate = object.if_contains("tokens_per_second")) {
    options_.tokens_per_second = rate->to_number<double>();
  }
  if (const json::value* leaving = object.if_contains("leaving")) {
    leaving_ = leaving->as_bool();
  }
  if (const json::value* first = object.if_contains("first")) {
    options_.first_layer = first->to_number<std::uint32_t>();
    options_.end_layer = fault.at("end").to_number<std::uint32_t>();
  }
}

}  // namespace sycamoreford::fakes
