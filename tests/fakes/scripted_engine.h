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
  kGarbage,
  kDoubled,
  kCrossed,
  /// An event of an earlier attempt comes first.
  kLate,
  /// Events of an earlier attempt come for ever, and no other.
  kLateForEver,
  kSkipped,
  /// A token more than was asked for.
  kTooMany,
  kEndMissing,
  kEndMiscounted,
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
    Stream(ScriptedEngine& engine, GenerateOrder order)
        : engine_(&engine),
          order_(std::move(order)),
          tokens_(order_.delivered) {}

    boost::asio::awaitable<Result<EngineEvent>> Next(
        std::chrono::milliseconds timeout) {
      co_await boost::asio::post(co_await boost::asio::this_coro::executor,
                                 boost::asio::use_awaitable);
      co_return engine_->NextEvent(*this, timeout);
    }

   private:
    friend class ScriptedEngine;
    ScriptedEngine* engine_;
    GenerateOrder order_;
    std::vector<std::string> tokens_;
    std::optional<EngineEvent> repeated_;
    bool is_late_for_ever_ = false;
  };

  explicit ScriptedEngine(ManualClock& the_clock) : clock_(the_clock) {}

  boost::asio::awaitable<Result<Stream>> Open(
      const GenerateOrder& order,
      std::chrono::milliseconds timeout) {
    opened.push_back(order);
    switch (TakeFault()) {
      case EngineFault::kConnectionRefused:
        co_return Fail(order, 0, Errc::kConnectionRefused, Outcome::kNotRun);
      case EngineFault::kRefused:
        co_return Fail(order, 0, Errc::kEndpointRefused, Outcome::kNotRun);
      case EngineFault::kLayerRangeChanged:
        co_return Fail(order, order.chain.size() - 1, Errc::kLayerRangeChanged,
                       Outcome::kNotRun);
      case EngineFault::kStalled:
        clock_.now += timeout;
        co_return Fail(order, 0, Errc::kStalled, Outcome::kUnknown);
      case EngineFault::kReset:
        Generate(order, order.delivered);
        co_return Fail(order, 0, Errc::kConnectionLost, Outcome::kUnknown);
      default:
        co_return Stream(*this, order);
    }
  }

  /// Faults by number of the call, counted from 0.
  std::map<std::uint32_t, EngineFault> faults;
  /// Stages that take `slowness` times as long.
  std::set<EndpointId> slow;
  std::uint32_t slowness = 10;
  std::chrono::milliseconds pace{10};
  /// How often each step ran.
  std::map<Step, std::uint32_t> ran;
  std::vector<GenerateOrder> opened;
  std::uint32_t calls = 0;
  /// Proper end markers sent.
  std::uint32_t ends = 0;

 private:
  EngineFault TakeFault() {
    const auto found = faults.find(calls++);
    return found == faults.end() ? EngineFault::kNone : found->second;
  }

  static Failure Fail(const GenerateOrder& order,
                      std::size_t stage,
                      Errc code,
                      Outcome outcome) {
    return {.code = code,
            .outcome = outcome,
            .where = order.chain.at(stage).address};
  }

  std::string Generate(const GenerateOrder& order,
                       const std::vector<std::string>& tokens) {
    std::uint64_t state = FakeModel::Embed(order.messages, tokens);
    for (const ChainStage& stage : order.chain) {
      for (std::uint32_t at = stage.layers.first; at < stage.layers.end; ++at) {
        ++ran[{order.request.value(), order.attempt.value(),
               static_cast<std::uint32_t>(tokens.size()), at}];
        state = FakeModel::RunLayer(state, at);
      }
    }
    return FakeModel::Sample(state);
  }

  std::chrono::milliseconds PaceOf(const GenerateOrder& order) const {
    const bool is_slow =
        std::any_of(order.chain.begin(), order.chain.end(),
                    [&](const auto& at) { return slow.contains(at.endpoint); });
    return is_slow ? pace * slowness : pace;
  }

  Result<EngineEvent> NextEvent(Stream& stream,
                                std::chrono::milliseconds timeout) {
    const GenerateOrder& order = stream.order_;
    const EngineFault fault = TakeFault();
    const auto late = [&] {
      return EngineEvent(TokenEvent{
          order.request, Attempt(order.attempt.value() - 1),
          TokenPosition(static_cast<std::uint32_t>(stream.tokens_.size())),
          " late"});
    };
    stream.is_late_for_ever_ |= fault == EngineFault::kLateForEver;
    const bool is_late = fault == EngineFault::kLate;
    const auto time = fault == EngineFault::kStalled
                          ? timeout
                          : std::min(timeout, PaceOf(order));
    clock_.now += time;
    if (stream.is_late_for_ever_ || is_late) {
      return late();
    }
    if (time < PaceOf(order)) {
      return Fail(order, 0, Errc::kStalled, Outcome::kUnknown);
    }
    if (stream.repeated_) {
      return *std::exchange(stream.repeated_, std::nullopt);
    }
    const bool is_end = stream.tokens_.size() >= order.max_tokens;
    const auto position = static_cast<std::uint32_t>(stream.tokens_.size());
    TokenEvent token{order.request, order.attempt, TokenPosition(position), {}};
    EndEvent end{order.request, order.attempt, position, "length"};
    if (!is_end || fault == EngineFault::kTooMany) {
      token.text = Generate(order, stream.tokens_);
      stream.tokens_.push_back(token.text);
    }
    switch (fault) {
      case EngineFault::kReset:
      case EngineFault::kEndMissing:
        return Fail(order, 0, Errc::kConnectionLost, Outcome::kUnknown);
      case EngineFault::kStalled:
        return Fail(order, 0, Errc::kStalled, Outcome::kUnknown);
      case EngineFault::kStageFailed:
        return Fail(order, order.chain.size() - 1, Errc::kEndpointFailed,
                    Outcome::kFailed);
      case EngineFault::kGarbage:
        return Fail(order, 0, Errc::kBadEndpointAnswer, Outcome::kUnknown);
      case EngineFault::kTooMany:
        return EngineEvent(token);
      case EngineFault::kCrossed:
        token.request = end.request = RequestId("another");
        break;
      case EngineFault::kSkipped:
        token.position = TokenPosition(position + 1);
        break;
      case EngineFault::kEndMiscounted:
        ++end.count;
        return EngineEvent(end);
      case EngineFault::kDoubled:
        stream.repeated_ = token;
        break;
      default:
        break;
    }
    if (is_end) {
      ends += end.request == order.request ? 1 : 0;
      return EngineEvent(end);
    }
    return EngineEvent(token);
  }

  ManualClock& clock_;
};

}  // namespace sycamoreford::fakes
