#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "fakes/fake_model.h"
#include "sycamoreford/core/clock.h"
#include "sycamoreford/stream/engine_client.h"

namespace sycamoreford::fakes {

/// A clock that is set by the test. Not thread safe.
struct ManualClock {
  TimePoint now{std::chrono::hours(1)};
  [[nodiscard]] TimePoint Now() const noexcept { return now; }
};

/// Fault injected into one call to `ScriptedEngine`.
enum class EngineFault {
  kNone,
  /// The request is not sent.
  kConnectionRefused,
  /// The first stage refuses the request; nothing runs.
  kRefused,
  /// The last stage reports that its layers have changed; nothing runs.
  kLayerRangeChanged,
  /// The token is generated, and then the connection breaks.
  kReset,
  /// No event arrives until the timeout of the call expires.
  kStalled,
  /// The last stage reports a failure.
  kStageFailed,
  /// The engine sends an event that cannot be parsed.
  kMalformed,
  /// The token is sent twice.
  kDuplicateToken,
  /// The event belongs to another request.
  kWrongRequest,
  /// An event of an earlier attempt arrives first.
  kStaleEvent,
  /// From this call on, only events of an earlier attempt arrive.
  kOnlyStaleEvents,
  /// The position of the token is one too high.
  kSkippedPosition,
  /// A token beyond the maximum is sent.
  kExtraToken,
  /// The connection breaks instead of the end marker.
  kMissingEnd,
  /// The end marker states one token too many.
  kWrongEndCount,
};

/// In-process fake of the engines of a chain; models `EngineClient`. Injects
/// the fault in `faults` into the n-th call to `Open` or `Next`. Time passes on
/// the `ManualClock` only. Not thread safe.
class ScriptedEngine {
 public:
  /// Request, attempt, position and layer.
  using Step =
      std::tuple<std::string, std::uint32_t, std::uint32_t, std::uint32_t>;

  class Stream {
   public:
    Stream(ScriptedEngine& engine, GenerateRequest request)
        : engine_(&engine),
          request_(std::move(request)),
          tokens_(request_.delivered) {}

    boost::asio::awaitable<Result<EngineEvent>> Next(
        std::chrono::milliseconds timeout) {
      co_await boost::asio::post(co_await boost::asio::this_coro::executor,
                                 boost::asio::use_awaitable);
      co_return engine_->NextEvent(*this, timeout);
    }

   private:
    friend class ScriptedEngine;
    ScriptedEngine* engine_;
    GenerateRequest request_;
    std::vector<std::string> tokens_;
    std::optional<EngineEvent> duplicate_;
    bool sends_only_stale_events_ = false;
  };

  explicit ScriptedEngine(ManualClock& the_clock) : clock_(the_clock) {}

  boost::asio::awaitable<Result<Stream>> Open(
      const GenerateRequest& request,
      std::chrono::milliseconds timeout) {
    opened.push_back(request);
    switch (TakeFault()) {
      case EngineFault::kConnectionRefused:
        co_return Fail(request, 0, Errc::kConnectionRefused, Outcome::kNotRun);
      case EngineFault::kRefused:
        co_return Fail(request, 0, Errc::kEndpointRefused, Outcome::kNotRun);
      case EngineFault::kLayerRangeChanged:
        co_return Fail(request, request.chain.size() - 1,
                       Errc::kLayerRangeChanged, Outcome::kNotRun);
      case EngineFault::kStalled:
        clock_.now += timeout;
        co_return Fail(request, 0, Errc::kStalled, Outcome::kUnknown);
      case EngineFault::kReset:
        Generate(request, request.delivered);
        co_return Fail(request, 0, Errc::kConnectionLost, Outcome::kUnknown);
      default:
        co_return Stream(*this, request);
    }
  }

  /// Faults by call number, counted from 0.
  std::map<std::uint32_t, EngineFault> faults;
  /// Endpoints whose chains take `slow_factor` times as long for each token.
  std::set<EndpointId> slow_endpoints;
  std::uint32_t slow_factor = 10;
  std::chrono::milliseconds token_time{10};
  /// Number of times that each step has run.
  std::map<Step, std::uint32_t> step_counts;
  std::vector<GenerateRequest> opened;
  std::uint32_t calls = 0;
  /// Number of valid end markers sent.
  std::uint32_t end_markers_sent = 0;

 private:
  EngineFault TakeFault() {
    const auto found = faults.find(calls++);
    return found == faults.end() ? EngineFault::kNone : found->second;
  }

  static Failure Fail(const GenerateRequest& request,
                      std::size_t stage,
                      Errc code,
                      Outcome outcome) {
    return {.code = code,
            .outcome = outcome,
            .where = request.chain.at(stage).address};
  }

  std::string Generate(const GenerateRequest& request,
                       const std::vector<std::string>& tokens) {
    std::uint64_t state = FakeModel::Embed(request.messages, tokens);
    for (const ChainStage& stage : request.chain) {
      for (std::uint32_t layer = stage.layers.first; layer < stage.layers.end;
           ++layer) {
        ++step_counts[{request.request_id.value(), request.attempt.value(),
                       static_cast<std::uint32_t>(tokens.size()), layer}];
        state = FakeModel::RunLayer(state, layer);
      }
    }
    return FakeModel::Sample(state);
  }

  std::chrono::milliseconds TokenTimeOf(const GenerateRequest& request) const {
    const bool is_slow = std::any_of(
        request.chain.begin(), request.chain.end(), [&](const auto& stage) {
          return slow_endpoints.contains(stage.endpoint);
        });
    return is_slow ? token_time * slow_factor : token_time;
  }

  Result<EngineEvent> NextEvent(Stream& stream,
                                std::chrono::milliseconds timeout) {
    const GenerateRequest& request = stream.request_;
    const EngineFault fault = TakeFault();
    const auto stale_event = [&] {
      return EngineEvent(TokenEvent{
          request.request_id, Attempt(request.attempt.value() - 1),
          TokenPosition(static_cast<std::uint32_t>(stream.tokens_.size())),
          " stale"});
    };
    stream.sends_only_stale_events_ |= fault == EngineFault::kOnlyStaleEvents;
    const bool is_stale = fault == EngineFault::kStaleEvent;
    const auto time = fault == EngineFault::kStalled
                          ? timeout
                          : std::min(timeout, TokenTimeOf(request));
    clock_.now += time;
    if (stream.sends_only_stale_events_ || is_stale) {
      return stale_event();
    }
    if (time < TokenTimeOf(request)) {
      return Fail(request, 0, Errc::kStalled, Outcome::kUnknown);
    }
    if (stream.duplicate_) {
      return *std::exchange(stream.duplicate_, std::nullopt);
    }
    const bool is_end = stream.tokens_.size() >= request.max_tokens;
    const auto position = static_cast<std::uint32_t>(stream.tokens_.size());
    TokenEvent token{
        request.request_id, request.attempt, TokenPosition(position), {}};
    EndEvent end{request.request_id, request.attempt, position, "length"};
    if (!is_end || fault == EngineFault::kExtraToken) {
      token.text = Generate(request, stream.tokens_);
      stream.tokens_.push_back(token.text);
    }
    switch (fault) {
      case EngineFault::kReset:
      case EngineFault::kMissingEnd:
        return Fail(request, 0, Errc::kConnectionLost, Outcome::kUnknown);
      case EngineFault::kStalled:
        return Fail(request, 0, Errc::kStalled, Outcome::kUnknown);
      case EngineFault::kStageFailed:
        return Fail(request, request.chain.size() - 1, Errc::kEndpointFailed,
                    Outcome::kFailed);
      case EngineFault::kMalformed:
        return Fail(request, 0, Errc::kBadEndpointAnswer, Outcome::kUnknown);
      case EngineFault::kExtraToken:
        return EngineEvent(token);
      case EngineFault::kWrongRequest:
        token.request_id = end.request_id = RequestId("other");
        token.text = " other";
        break;
      case EngineFault::kSkippedPosition:
        token.position = TokenPosition(position + 1);
        break;
      case EngineFault::kWrongEndCount:
        ++end.token_count;
        return EngineEvent(end);
      case EngineFault::kDuplicateToken:
        stream.duplicate_ = token;
        break;
      default:
        break;
    }
    if (is_end) {
      end_markers_sent += end.request_id == request.request_id ? 1 : 0;
      return EngineEvent(end);
    }
    return EngineEvent(token);
  }

  ManualClock& clock_;
};

}  // namespace sycamoreford::fakes
