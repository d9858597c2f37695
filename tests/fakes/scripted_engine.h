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

/// A clock that moves when it is told to. Thread safety: none.
struct ManualClock {
  TimePoint now{std::chrono::hours(1)};
  [[nodiscard]] TimePoint Now() const noexcept { return now; }
};

/// What goes wrong with one call to `ScriptedEngine`.
enum class EngineFault {
  kNone,
  /// Nothing was sent.
  kConnectionRefused,
  /// The first stage says that it ran nothing.
  kRefused,
  /// A stage further down says that it has other layers; nothing ran.
  kLayerRangeChanged,
  /// The work is done and the connection breaks.
  kReset,
  /// Nothing comes until the caller's patience is over.
  kStalled,
  /// The last stage says that it failed.
  kStageFailed,
  kMalformed,
  kDuplicateToken,
  kWrongRequest,
  /// An event of an earlier attempt comes first.
  kStaleEvent,
  /// Events of an earlier attempt come for ever, and no other.
  kOnlyStaleEvents,
  kSkippedPosition,
  /// A token more than was asked for.
  kExtraToken,
  kEndMissing,
  kWrongEndCount,
};

/// Engines in this process; the n-th call to `Open` or `Next` misbehaves as
/// scripted. Time passes on `clock` only. Thread safety: none.
class ScriptedEngine {
 public:
  /// A request, attempt, position and layer.
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

  /// Faults by number of the call, counted from 0.
  std::map<std::uint32_t, EngineFault> faults;
  /// Stages that take `slowness` times as long.
  std::set<EndpointId> slow_endpoints;
  std::uint32_t slow_factor = 10;
  std::chrono::milliseconds token_time{10};
  /// How often each step ran.
  std::map<Step, std::uint32_t> step_counts;
  std::vector<GenerateRequest> opened;
  std::uint32_t calls = 0;
  /// Proper end markers sent.
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
      for (std::uint32_t at = stage.layers.first; at < stage.layers.end; ++at) {
        ++step_counts[{request.request_id.value(), request.attempt.value(),
                       static_cast<std::uint32_t>(tokens.size()), at}];
        state = FakeModel::RunLayer(state, at);
      }
    }
    return FakeModel::Sample(state);
  }

  std::chrono::milliseconds TokenTimeOf(const GenerateRequest& request) const {
    const bool is_slow = std::any_of(
        request.chain.begin(), request.chain.end(),
        [&](const auto& at) { return slow_endpoints.contains(at.endpoint); });
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
          " late"});
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
      case EngineFault::kEndMissing:
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
        token.request_id = end.request_id = RequestId("another");
        token.text = " another's";
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
