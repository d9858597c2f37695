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

constexpr std::size_t kMostRecords = 200'000;
constexpr std::size_t kMostLinks = 256;
constexpr std::chrono::milliseconds kFreezePoll{5};
/// Prefill runs this many times faster than generation.
constexpr double kPrefillSpeed = 20;

std::string Text(const json::value& value, const char* key) {
  return json::value_to<std::string>(value.at(key));
}
std::uint32_t Number(const json::value& value, const char* key) {
  return value.at(key).to_number<std::uint32_t>();
}

HttpResponse Refusal(const std::string& type, const std::string& address) {
  HttpResponse response;
  response.status = 409;
  response.body = json::serialize(json::object{
      {"error", {{"type", type}, {"ran", false}, {"address", address}}}});
  return response;
}

/// What the next stage is asked to prepare for.
json::object RestOfOrder(const json::value& order) {
  const json::array& chain = order.at("chain").as_array();
  return {{"model", order.at("model")},
          {"version", order.at("version")},
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

/// A step or a stage further down failed; `what()` is that stage's address.
struct StageFailed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace

/// A kept-alive connection to the next stage, for one attempt.
class FakeStage::Link {
 public:
  Link(const asio::any_io_executor& executor, std::string address)
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
    co_await Sleep(kFreezePoll);
  }
}

asio::awaitable<void> FakeStage::Occupy(double tokens) {
  const auto now = std::chrono::steady_clock::now();
  const auto start = std::max(now, free_at_);
  free_at_ =
      start +
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          std::chrono::duration<double>(tokens / options_.tokens_per_second));
  co_await Sleep(free_at_ - now + options_.latency);
  co_await WaitWhileFrozen();
}

bool FakeStage::FitsRange(const json::value& stage) const {
  return Number(stage, "first") == options_.first_layer &&
         Number(stage, "end") == options_.end_layer;
}

bool FakeStage::FitsVersion(const json::value& order) const {
  return Text(order, "model") == options_.model &&
         Text(order, "version") == options_.version;
}

asio::awaitable<void> FakeStage::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.target == "/fake/fault") {
    SetFault(json::parse(request.body));
    const HttpResponse done;
    co_await exchange.Respond(done);
    co_return;
  }
  if (request.target == "/fake/ran") {
    co_await exchange.Respond(Ran());
    co_return;
  }
  co_await WaitWhileFrozen();
  if (request.target == "/v1/state") {
    co_await exchange.Respond(State());
    co_return;
  }
  const json::value body = json::parse(request.body);
  if (request.target == "/v1/orders") {
    co_await exchange.Respond(Order(body));
  } else if (request.target == "/v1/generate") {
    ++active_;
    const std::shared_ptr<void> guard(nullptr, [this](void*) { --active_; });
    co_await Generate(exchange, body);
  } else if (request.target == "/v1/prepare") {
    const json::array& chain = body.at("chain").as_array();
    HttpResponse response;
    if (!FitsRange(chain.front())) {
      response = Refusal("layer_range_changed", address());
    } else if (!FitsVersion(body)) {
      response = Refusal("wrong_version", address());
    } else if (chain.size() > 1) {
      Link link(co_await asio::this_coro::executor, Text(chain[1], "address"));
      try {
        const json::value ready =
            co_await link.Call("/v1/prepare", RestOfOrder(body));
        response.body = json::serialize(ready);
      } catch (const StageFailed& failed) {
        response = Refusal("stage_unreachable", failed.what());
      }
    } else {
      response.body = "{}";
    }
    co_await exchange.Respond(response);
  } else if (request.target == "/v1/step") {
    HttpResponse response;
    const std::shared_ptr<Link> link =
        LinkFor(body, co_await asio::this_coro::executor);
    try {
      json::object answer;
      answer["token"] = co_await Step(body, link.get());
      response.body = json::serialize(answer);
    } catch (const StageFailed& failed) {
      links_.erase(Text(body, "request"));
      response = Refusal("stage_failed", failed.what());
    }
    co_await exchange.Respond(response);
  } else {
    HttpResponse response;
    response.status = 404;
    co_await exchange.Respond(response);
  }
}

std::shared_ptr<FakeStage::Link> FakeStage::LinkFor(
    const json::value& step,
    const asio::any_io_executor& executor) {
  const json::array& chain = step.at("chain").as_array();
  if (chain.size() < 2) {
    return nullptr;
  }
  if (links_.size() > kMostLinks) {
    links_.erase(links_.begin());
  }
  auto& [attempt, link] = links_[Text(step, "request")];
  if (link == nullptr || attempt != Number(step, "attempt")) {
    attempt = Number(step, "attempt");
    link = std::make_shared<Link>(executor, Text(chain[1], "address"));
  }
  return link;
}

asio::awaitable<std::string> FakeStage::Step(const json::value& step,
                                             Link* link) {
  const json::array& chain = step.at("chain").as_array();
  const std::string request = Text(step, "request");
  const std::uint32_t attempt = Number(step, "attempt");
  const std::uint32_t position = Number(step, "position");
  auto& [newest, next] = positions_[request];
  const bool begins = attempt > newest;
  if (!FitsRange(chain.front()) || attempt < newest ||
      (!begins && position != next)) {
    throw StageFailed(address());
  }
  // The range checked above is the one that runs, should it change meanwhile.
  const std::uint32_t first = options_.first_layer;
  const std::uint32_t end = options_.end_layer;
  newest = attempt;
  next = position + 1;
  co_await Occupy(begins ? 1 + position / kPrefillSpeed : 1);
  records_.push_back({request, attempt, position});
  if (records_.size() > kMostRecords) {
    records_.pop_front();
  }
  const std::uint64_t activation = FakeModel::RunLayers(
      step.at("activation").to_number<std::uint64_t>(), first, end);
  if (chain.size() == 1) {
    co_return FakeModel::Sample(activation);
  }
  json::object onward = step.as_object();
  onward["activation"] = activation;
  onward["chain"] = json::array(chain.begin() + 1, chain.end());
  co_await Sleep(options_.link_delay);
  const json::value answer = co_await link->Call("/v1/step", onward);
  if (const json::value* error = answer.as_object().if_contains("error")) {
    throw StageFailed(Text(*error, "address"));
  }
  co_return Text(answer, "token");
}

asio::awaitable<void> FakeStage::Generate(HttpExchange& exchange,
                                          const json::value& order) {
  const json::array& chain = order.at("chain").as_array();
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
  if (!FitsVersion(order)) {
    const HttpResponse refusal = Refusal("wrong_version", address());
    co_await exchange.Respond(refusal);
    co_return;
  }
  if (!FitsRange(chain.front())) {
    const HttpResponse refusal = Refusal("layer_range_changed", address());
    co_await exchange.Respond(refusal);
    co_return;
  }
  std::unique_ptr<Link> link;
  if (chain.size() > 1) {
    link = std::make_unique<Link>(co_await asio::this_coro::executor,
                                  Text(chain[1], "address"));
    try {
      const json::value ready =
          co_await link->Call("/v1/prepare", RestOfOrder(order));
      if (const json::value* error = ready.as_object().if_contains("error")) {
        const HttpResponse refusal =
            Refusal(Text(*error, "type"), Text(*error, "address"));
        co_await exchange.Respond(refusal);
        co_return;
      }
    } catch (const StageFailed& failed) {
      // co_await is not allowed in a handler; the refusal follows below.
      link = nullptr;
    }
    if (link == nullptr) {
      const HttpResponse refusal =
          Refusal("stage_unreachable", Text(chain[1], "address"));
      co_await exchange.Respond(refusal);
      co_return;
    }
  }
  co_await SendTokens(exchange, order, link.get());
}

asio::awaitable<void> FakeStage::SendTokens(HttpExchange& exchange,
                                            const json::value& order,
                                            Link* link) {
  const std::string messages = Text(order, "messages");
  auto tokens = json::value_to<std::vector<std::string>>(order.at("delivered"));
  const std::uint32_t count = Number(order, "max_tokens");
  HttpResponse header;
  header.content_type = "application/x-ndjson";
  co_await exchange.BeginStream(header);
  json::object line;
  line["request"] = order.at("request");
  line["attempt"] = order.at("attempt");
  json::object step = line;
  step["chain"] = order.at("chain");
  std::string failed_at;
  while (tokens.size() < count && failed_at.empty()) {
    step["position"] = tokens.size();
    step["activation"] = FakeModel::Embed(messages, tokens);
    try {
      line["token"] = co_await Step(step, link);
    } catch (const StageFailed& failed) {
      failed_at = failed.what();
      break;
    }
    line["position"] = tokens.size();
    tokens.push_back(Text(line, "token"));
    if (fault_ == StageFault::kCut) {
      throw std::runtime_error("cut");
    }
    std::string bytes = json::serialize(line) + "\n";
    if (fault_ == StageFault::kGarbage) {
      bytes = "\x01\x02{]\n";
    } else if (fault_ == StageFault::kDouble) {
      bytes += bytes;
    } else if (fault_ == StageFault::kCross) {
      json::object crossed = line;
      crossed["request"] = "another";
      bytes = json::serialize(crossed) + "\n";
    }
    co_await exchange.SendChunk(bytes);
  }
  if (!failed_at.empty()) {
    co_await exchange.SendChunk(FailureLine(failed_at));
  } else if (fault_ != StageFault::kNoEnd) {
    line.erase("token");
    line.erase("position");
    line["end"] = "length";
    line["count"] = tokens.size();
    co_await exchange.SendChunk(json::serialize(line) + "\n");
  }
  co_await exchange.EndStream();
}

HttpResponse FakeStage::Order(const json::value& order) {
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

HttpResponse FakeStage::State() const {
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

HttpResponse FakeStage::Ran() const {
  json::array ran;
  for (const StageRecord& record : records_) {
    ran.push_back({{"request", record.request},
                   {"attempt", record.attempt},
                   {"position", record.position}});
  }
  HttpResponse response;
  response.body = json::serialize(json::object{{"ran", ran}});
  return response;
}

void FakeStage::SetFault(const json::value& fault) {
  static const std::map<std::string, StageFault> kinds = {
      {"none", StageFault::kNone},       {"freeze", StageFault::kFreeze},
      {"refuse", StageFault::kRefuse},   {"cut", StageFault::kCut},
      {"garbage", StageFault::kGarbage}, {"double", StageFault::kDouble},
      {"cross", StageFault::kCross},     {"no_end", StageFault::kNoEnd}};
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
