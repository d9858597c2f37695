#include "sycamoreford/adapters/http_engine_client.h"

#include <utility>

#include <boost/json.hpp>

namespace sycamoreford {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t kMaxLineBytes = 64UL * 1024;
constexpr unsigned kStatusOk = 200;

std::string ToBody(const GenerateRequest& request) {
  json::array chain;
  for (const ChainStage& stage : request.chain) {
    chain.push_back({{"address", stage.address},
                     {"first", stage.layers.first},
                     {"end", stage.layers.end}});
  }
  return json::serialize(
      json::object{{"request", request.request_id.value()},
                   {"attempt", request.attempt.value()},
                   {"model", request.model},
                   {"version", request.version},
                   {"adapter", request.adapter},
                   {"layers", request.layers},
                   {"chain", chain},
                   {"messages", request.messages},
                   {"delivered", json::value_from(request.delivered)},
                   {"max_tokens", request.max_tokens},
                   {"priority", request.priority}});
}

/// Parses an engine's error: `{"error":{"type","ran","address"}}`.
///
/// Throws if a member is missing or has the wrong type.
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
        // The engine has started the stream, so "not run" cannot be relied on.
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
    const GenerateRequest& request,
    std::chrono::milliseconds timeout) {
  const std::string& address = request.chain.front().address;
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  HttpRequest http_request;
  http_request.method = "POST";
  http_request.target = "/v1/generate";
  http_request.fields.Add("content-type", "application/json");
  http_request.body = ToBody(request);
  auto call =
      co_await HttpCall::Open(address, http_request, connect_timeout_, timeout);
  if (!call) {
    co_return call.error();
  }
  if (call->status() == kStatusOk) {
    co_return Stream(std::move(*call), address);
  }
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
      deadline - std::chrono::steady_clock::now());
  auto body = co_await call->ReadAll(kMaxLineBytes, remaining);
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
  // The deadline covers the whole line, so that an engine that sends single
  // bytes cannot extend the wait.
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  for (;;) {
    const std::size_t end = buffer_.find('\n');
    if (end != std::string::npos) {
      const std::string line = buffer_.substr(0, end);
      buffer_.erase(0, end + 1);
      co_return ParseLine(line, address_);
    }
    if (buffer_.size() > kMaxLineBytes || !call_.Retain(buffer_.capacity())) {
      co_return Failure{.code = Errc::kBadEndpointAnswer,
                        .outcome = Outcome::kUnknown,
                        .where = address_};
    }
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    if (remaining.count() <= 0) {
      co_return Failure{.code = Errc::kStalled,
                        .outcome = Outcome::kUnknown,
                        .where = address_};
    }
    auto bytes = co_await call_.ReadSome(remaining);
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
    buffer_ += **bytes;
  }
}

}  // namespace sycamoreford
