#include "sycamoreford/adapters/http_engine_client.h"

#include <utility>

#include <boost/json.hpp>

namespace sycamoreford {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t kLineLimit = 64UL * 1024;
constexpr unsigned kStatusOk = 200;

std::string ToBody(const GenerateRequest& order) {
  json::array chain;
  for (const ChainStage& stage : order.chain) {
    chain.push_back({{"address", stage.address},
                     {"first", stage.layers.first},
                     {"end", stage.layers.end}});
  }
  return json::serialize(
      json::object{{"request", order.request_id.value()},
                   {"attempt", order.attempt.value()},
                   {"model", order.model},
                   {"version", order.version},
                   {"adapter", order.adapter},
                   {"layers", order.layers},
                   {"chain", chain},
                   {"messages", order.messages},
                   {"delivered", json::value_from(order.delivered)},
                   {"max_tokens", order.max_tokens},
                   {"priority", order.priority}});
}

/// Reads an engine's typed error: `{"error":{"type","ran","address"}}`.
Failure ToFailure(const json::value& line, const std::string& address) {
  Failure failure{.code = Errc::kEndpointFailed,
                  .outcome = Outcome::kFailed,
                  .where = address};
  const json::object& error = line.at("error").as_object();
  const std::string type = json::value_to<std::string>(error.at("type"));
  if (!error.at("ran").as_bool()) {
    failure.code = Errc::kEndpointRefused;
    failure.outcome = Outcome::kNotRun;
  }
  if (type == "leaving") {
    failure.code = Errc::kEndpointLeaving;
  }
  if (type == "layer_range_changed") {
    failure.code = Errc::kLayerRangeChanged;
  }
  if (const json::value* at = error.if_contains("address")) {
    failure.where = json::value_to<std::string>(*at);
  }
  return failure;
}

Result<EngineEvent> ParseLine(const std::string& text,
                              const std::string& address) {
  try {
    const json::value line = json::parse(text);
    const json::object& object = line.as_object();
    if (object.contains("error")) {
      Failure failure = ToFailure(line, address);
      if (failure.outcome == Outcome::kNotRun) {
        // A stream that has begun can not be proved not run.
        failure.outcome = Outcome::kUnknown;
      }
      return failure;
    }
    const RequestId request(json::value_to<std::string>(line.at("request")));
    const Attempt attempt(line.at("attempt").to_number<std::uint32_t>());
    if (object.contains("end")) {
      return EngineEvent(EndEvent{request, attempt,
                                  line.at("count").to_number<std::uint32_t>(),
                                  json::value_to<std::string>(line.at("end"))});
    }
    return EngineEvent(TokenEvent{
        request, attempt,
        TokenPosition(line.at("position").to_number<std::uint32_t>()),
        json::value_to<std::string>(line.at("token"))});
  } catch (const std::exception&) {
    return Failure{.code = Errc::kBadEndpointAnswer,
                   .outcome = Outcome::kUnknown,
                   .where = address};
  }
}

}  // namespace

HttpEngineClient::HttpEngineClient(std::chrono::milliseconds connect_timeout)
    : connect_timeout_(connect_timeout) {}

asio::awaitable<Result<HttpEngineClient::Stream>> HttpEngineClient::Open(
    const GenerateRequest& order,
    std::chrono::milliseconds timeout) {
  const std::string& address = order.chain.front().address;
  const auto bound = std::chrono::steady_clock::now() + timeout;
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/generate";
  request.fields.Add("content-type", "application/json");
  request.body = ToBody(order);
  auto call =
      co_await HttpCall::Open(address, request, connect_timeout_, timeout);
  if (!call) {
    co_return call.error();
  }
  if (call->status() == kStatusOk) {
    co_return Stream(std::move(*call), address);
  }
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      bound - std::chrono::steady_clock::now());
  auto body = co_await call->ReadAll(kLineLimit, left);
  if (!body) {
    Failure failure = body.error();
    failure.where = address;
    co_return failure;
  }
  try {
    co_return ToFailure(json::parse(*body), address);
  } catch (const std::exception&) {
    co_return Failure{.code = Errc::kBadEndpointAnswer,
                      .outcome = Outcome::kUnknown,
                      .where = address};
  }
}

HttpEngineClient::Stream::Stream(HttpCall call, std::string address)
    : call_(std::move(call)), address_(std::move(address)) {}

asio::awaitable<Result<EngineEvent>> HttpEngineClient::Stream::Next(
    std::chrono::milliseconds timeout) {
  // Bytes that trickle in without a line do not lengthen the wait.
  const auto bound = std::chrono::steady_clock::now() + timeout;
  for (;;) {
    const std::size_t end = pending_.find('\n');
    if (end != std::string::npos) {
      const std::string line = pending_.substr(0, end);
      pending_.erase(0, end + 1);
      co_return ParseLine(line, address_);
    }
    if (pending_.size() > kLineLimit) {
      co_return Failure{.code = Errc::kBadEndpointAnswer,
                        .outcome = Outcome::kUnknown,
                        .where = address_};
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        bound - std::chrono::steady_clock::now());
    if (left.count() <= 0) {
      co_return Failure{.code = Errc::kStalled,
                        .outcome = Outcome::kUnknown,
                        .where = address_};
    }
    auto bytes = co_await call_.ReadSome(left);
    if (!bytes) {
      Failure failure = bytes.error();
      failure.where = address_;
      co_return failure;
    }
    if (!bytes->has_value()) {
      co_return Failure{.code = Errc::kConnectionLost,
                        .outcome = Outcome::kUnknown,
                        .where = address_};
    }
    pending_ += **bytes;
  }
}

}  // namespace sycamoreford
