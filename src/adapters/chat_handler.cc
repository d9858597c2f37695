#include "sycamoreford/adapters/chat_handler.h"

#include <chrono>

#include <boost/json.hpp>

#include "sycamoreford/adapters/caller_error.h"
#include "sycamoreford/stream/answer_driver.h"

namespace sycamoreford {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// The fields of a chat request that the router reads.
struct ChatRequest {
  std::string model;
  std::string messages;
  std::uint32_t max_tokens = 0;
  bool stream = false;
};

Failure Malformed(const std::string& where) {
  return {.code = Errc::kMalformed, .where = where};
}

Result<ChatRequest> ParseChat(const std::string& body) {
  json::error_code error;
  const json::value root = json::parse(body, error);
  if (error || !root.is_object()) {
    return Malformed("body");
  }
  const json::object& object = root.as_object();
  ChatRequest chat;
  const json::value* model = object.if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return Malformed("model");
  }
  chat.model = json::value_to<std::string>(*model);
  const json::value* messages = object.if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->as_array().empty()) {
    return Malformed("messages");
  }
  chat.messages = json::serialize(*messages);
  if (const json::value* stream = object.if_contains("stream")) {
    if (!stream->is_bool()) {
      return Malformed("stream");
    }
    chat.stream = stream->as_bool();
  }
  for (const char* key : {"max_tokens", "max_completion_tokens"}) {
    if (const json::value* limit = object.if_contains(key)) {
      json::error_code out_of_range;
      chat.max_tokens = limit->is_number()
                            ? limit->to_number<std::uint32_t>(out_of_range)
                            : 0;
      if (chat.max_tokens == 0 || out_of_range) {
        return Malformed(key);
      }
    }
  }
  return chat;
}

std::int64_t NowUnixSeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// Buffers the tokens of an answer that is sent as a single response.
class BufferingSink {
 public:
  asio::awaitable<void> OnToken(const std::string& text) {
    text_ += text;
    ++count_;
    co_return;
  }
  [[nodiscard]] const std::string& text() const noexcept { return text_; }
  [[nodiscard]] std::uint32_t count() const noexcept { return count_; }

 private:
  std::string text_;
  std::uint32_t count_ = 0;
};

/// Sends each token as a server-sent event.
class StreamSink {
 public:
  StreamSink(HttpExchange& exchange, std::string id, std::string model)
      : exchange_(exchange),
        id_(std::move(id)),
        model_(std::move(model)),
        created_(NowUnixSeconds()) {}

  asio::awaitable<void> OnToken(const std::string& text) {
    co_await Begin();
    json::object delta;
    delta["content"] = text;
    co_await SendChunk(std::move(delta), nullptr);
  }

  /// Sends the last chunk and the `[DONE]` event.
  asio::awaitable<void> Finish(const std::string& reason) {
    co_await Begin();
    co_await SendChunk(json::object(), json::value(reason));
    co_await exchange_.SendChunk("data: [DONE]\n\n");
    co_await exchange_.EndStream();
  }

  /// Sends an error event and ends the stream. Precondition: the stream was
  /// started.
  asio::awaitable<void> SendError(const Failure& failure) {
    co_await exchange_.SendChunk("data: " + CallerErrorBody(failure, id_) +
                                 "\n\n");
    co_await exchange_.EndStream();
  }

 private:
  asio::awaitable<void> Begin() {
    if (exchange_.response_started()) {
      co_return;
    }
    HttpResponse header;
    header.content_type = "text/event-stream";
    header.fields.Add("cache-control", "no-cache");
    header.fields.Add("x-request-id", id_);
    co_await exchange_.BeginStream(header);
  }

  asio::awaitable<void> SendChunk(json::object delta, json::value reason) {
    co_await exchange_.SendChunk(
        "data: " + Chunk(std::move(delta), std::move(reason)) + "\n\n");
  }

  std::string Chunk(json::object delta, json::value reason) const {
    return json::serialize(json::object{
        {"id", id_},
        {"object", "chat.completion.chunk"},
        {"created", created_},
        {"model", model_},
        {"choices",
         {{{"index", 0}, {"delta", delta}, {"finish_reason", reason}}}}});
  }

  HttpExchange& exchange_;
  std::string id_;
  std::string model_;
  std::int64_t created_;
};

/// Records the time of each token and forwards it to another sink.
template <AnswerSink Sink>
class TimedSink {
 public:
  TimedSink(Sink& sink, RequestTimer& timer, const SteadyClock& clock)
      : sink_(sink), timer_(timer), clock_(clock) {}

  asio::awaitable<void> OnToken(const std::string& text) {
    timer_.OnToken(clock_.Now());
    return sink_.OnToken(text);
  }

 private:
  Sink& sink_;
  RequestTimer& timer_;
  const SteadyClock& clock_;
};

/// Records the number of attempts on destruction, so that it is also recorded
/// when the request is cancelled because the caller disconnected.
template <class Driver>
class AttemptCountRecorder {
 public:
  AttemptCountRecorder(const Driver& driver, RequestTimer& timer)
      : driver_(driver), timer_(timer) {}
  ~AttemptCountRecorder() { timer_.SetAttempts(driver_.attempts()); }
  AttemptCountRecorder(const AttemptCountRecorder&) = delete;
  AttemptCountRecorder& operator=(const AttemptCountRecorder&) = delete;

 private:
  const Driver& driver_;
  RequestTimer& timer_;
};

HttpResponse CompletionResponse(const CallerRequest& caller,
                                const ChatRequest& chat,
                                const BufferingSink& sink,
                                const std::string& reason) {
  HttpResponse response;
  response.fields.Add("x-request-id", caller.id.value());
  response.body = json::serialize(json::object{
      {"id", caller.id.value()},
      {"object", "chat.completion"},
      {"created", NowUnixSeconds()},
      {"model", chat.model},
      {"choices",
       {{{"index", 0},
         {"message", {{"role", "assistant"}, {"content", sink.text()}}},
         {"finish_reason", reason}}}},
      {"usage", {{"completion_tokens", sink.count()}}}});
  return response;
}

/// The pool of the route in `config`; empty if no route of `config` serves the
/// same model version from the same pool.
std::optional<v1::Pool> CurrentPool(const Configuration& config,
                                    const v1::Route& route) {
  for (const v1::Resource* current : config.List(v1::KIND_ROUTE)) {
    if (current->route().model_version() == route.model_version() &&
        current->route().pool() == route.pool()) {
      return config.Find(v1::KIND_POOL, route.pool())->pool();
    }
  }
  return std::nullopt;
}

Result<AnswerRequest> MakeAnswerRequest(const EntryState& state,
                                        const CallerRequest& caller,
                                        const ChatRequest& chat) {
  const v1::Resource* found = caller.config->Find(v1::KIND_ROUTE, chat.model);
  if (found == nullptr) {
    return Failure{.code = Errc::kNotFound, .where = "model"};
  }
  const v1::Route& route = found->route();
  const v1::Customer& customer =
      caller.config->Find(v1::KIND_CUSTOMER, caller.customer.value())
          ->customer();
  AnswerRequest request;
  request.request_id = caller.id;
  request.version =
      caller.config->Find(v1::KIND_MODEL_VERSION, route.model_version())
          ->model_version();
  request.model = request.version.model();
  request.adapter = route.adapter();
  request.pool = caller.config->Find(v1::KIND_POOL, route.pool())->pool();
  request.messages = chat.messages;
  const std::uint32_t token_limit =
      route.max_tokens() > 0 ? route.max_tokens()
                             : state.settings.limits.default_max_tokens;
  request.max_tokens = chat.max_tokens > 0
                           ? std::min(chat.max_tokens, token_limit)
                           : token_limit;
  request.priority = caller.config->Find(v1::KIND_PRIORITY, customer.priority())
                         ->priority()
                         .rank();
  request.deadline = caller.deadline;
  request.current_pool = [&state, route] {
    return CurrentPool(*state.config.current(), route);
  };
  return request;
}

}  // namespace

asio::awaitable<Result<void>> HandleChat(EntryState& state,
                                         const CallerRequest& caller,
                                         HttpExchange& exchange) {
  auto chat = ParseChat(exchange.request().body);
  if (!chat) {
    co_return chat.error();
  }
  auto request = MakeAnswerRequest(state, caller, *chat);
  if (!request) {
    co_return request.error();
  }
  auto ticket =
      co_await state.policy.AdmitAnswer(caller, chat->model, *request);
  if (!ticket) {
    co_return ticket.error();
  }
  if (exchange.client()->HasLeft()) {
    co_return Failure{.code = Errc::kCallerGone, .where = "caller"};
  }
  const Settings::Limits& settings = state.settings.limits;
  const AnswerLimits limits{
      .max_attempts_without_token = settings.attempts,
      .first_token_timeout = settings.first_token_timeout,
      .between_tokens_timeout = settings.between_tokens_timeout};
  AnswerDriver driver(state.engines, state.endpoints, state.clock, limits);
  const AttemptCountRecorder<decltype(driver)> recorder(driver, *caller.timer);
  caller.timer->OnDispatched(state.clock.Now());
  Result<std::string> finish_reason = std::string();
  if (chat->stream) {
    StreamSink sink(exchange, caller.id.value(), chat->model);
    TimedSink timed(sink, *caller.timer, state.clock);
    finish_reason = co_await driver.Run(*request, timed);
    if (finish_reason) {
      co_await sink.Finish(*finish_reason);
    } else if (exchange.response_started()) {
      co_await sink.SendError(finish_reason.error());
    }
  } else {
    BufferingSink sink;
    TimedSink timed(sink, *caller.timer, state.clock);
    finish_reason = co_await driver.Run(*request, timed);
    if (finish_reason) {
      co_await exchange.Respond(
          CompletionResponse(caller, *chat, sink, *finish_reason));
    }
  }
  ticket->set_units(driver.tokens());
  if (!finish_reason) {
    if (finish_reason.error().code == Errc::kEndpointRefused) {
      ticket->set_refused();
    }
    co_return finish_reason.error();
  }
  co_return Result<void>();
}

}  // namespace sycamoreford
