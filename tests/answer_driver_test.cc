// Tests of answers over chains of several stages, with faults injected into
// each call to the engines, one at a time and in combination.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "fakes/scripted_engine.h"
#include "sycamoreford/stream/answer_driver.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using fakes::EngineFault;
using fakes::FakeModel;
using fakes::ManualClock;
using fakes::ScriptedEngine;
using std::chrono::milliseconds;

constexpr std::uint32_t kStages = 4;
constexpr std::uint32_t kLayersPerStage = 3;
constexpr std::uint32_t kLayers = kStages * kLayersPerStage;

v1::Pool MakePool(const std::vector<std::string>& replicas) {
  v1::Pool pool;
  for (const std::string& replica : replicas) {
    for (std::uint32_t i = 0; i < kStages; ++i) {
      v1::Endpoint& endpoint = *pool.add_endpoints();
      endpoint.set_name(replica + std::to_string(i));
      endpoint.set_address("at-" + endpoint.name());
      endpoint.set_first_layer(i * kLayersPerStage);
      endpoint.set_end_layer((i + 1) * kLayersPerStage);
      endpoint.set_tokens_per_second(100);
    }
  }
  return pool;
}

struct Sink {
  std::vector<std::string> tokens;
  std::vector<TimePoint> times;
  const ManualClock* clock = nullptr;
  std::optional<std::size_t> fails_at;
  std::function<void(std::size_t)> on_token;

  asio::awaitable<void> OnToken(const std::string& text) {
    if (fails_at == tokens.size()) {
      throw std::runtime_error("connection to the caller lost");
    }
    tokens.push_back(text);
    times.push_back(clock->now);
    if (on_token) {
      on_token(tokens.size());
    }
    co_return;
  }
};

/// Runs the requests of several customers concurrently on the same engines.
struct Fixture {
  ManualClock clock;
  ScriptedEngine engine{clock};
  EndpointTable endpoints;
  AnswerLimits limits;
  AnswerRequest request;
  std::vector<Sink> sinks;
  std::vector<std::optional<Result<std::string>>> results;

  explicit Fixture(std::uint32_t max_tokens,
                   const std::vector<std::string>& replicas = {"a", "b", "c"}) {
    request.model = "bell-llm";
    request.version.set_layers(kLayers);
    request.pool = MakePool(replicas);
    request.messages = R"([{"role":"user","content":"Ring"}])";
    request.max_tokens = max_tokens;
    request.deadline = clock.now + std::chrono::minutes(2);
  }

  void Run(std::size_t customers = 1) {
    asio::io_context context;
    sinks.resize(customers);
    results.resize(customers);
    for (std::size_t i = 0; i < customers; ++i) {
      sinks[i].clock = &clock;
      asio::co_spawn(context, RunOne(i), asio::detached);
    }
    context.run();
  }

  asio::awaitable<void> RunOne(std::size_t index) {
    AnswerRequest own_request = request;
    own_request.request_id = RequestId("request-" + std::to_string(index));
    AnswerDriver driver(engine, endpoints, clock, limits);
    results[index] = co_await driver.Run(own_request, sinks[index]);
  }

  [[nodiscard]] bool HasRun(std::size_t index) const {
    const std::string id = "request-" + std::to_string(index);
    return std::any_of(
        engine.step_counts.begin(), engine.step_counts.end(),
        [&](const auto& step) { return std::get<0>(step.first) == id; });
  }

  /// Checks the invariants; returns the one that is violated, or "none".
  [[nodiscard]] std::string Violation() const {
    for (const auto& [step, count] : engine.step_counts) {
      if (count != 1) {
        return "a layer ran twice for one attempt and position";
      }
    }
    const auto full_answer = FakeModel::GenerateTokens(
        request.messages, kLayers, request.max_tokens);
    std::uint32_t completed = 0;
    for (std::size_t i = 0; i < sinks.size(); ++i) {
      const auto& tokens = sinks[i].tokens;
      if (tokens.size() > full_answer.size() ||
          !std::equal(tokens.begin(), tokens.end(), full_answer.begin())) {
        return "tokens differ from the model's answer";
      }
      if (!results[i]) {
        continue;
      }
      if (*results[i]) {
        ++completed;
        if (tokens.size() != full_answer.size()) {
          return "an incomplete answer was reported as complete";
        }
      } else if (results[i]->error().outcome == Outcome::kNotRun && HasRun(i)) {
        return "a request that ran was reported as not run";
      }
    }
    return completed == engine.end_markers_sent
               ? "none"
               : "an answer was completed without an end marker";
  }

  [[nodiscard]] bool IsComplete(std::size_t index) const {
    return results[index] && results[index]->has_value();
  }
};

const std::vector<EngineFault> kFaults = {
    EngineFault::kConnectionRefused, EngineFault::kRefused,
    EngineFault::kLayerRangeChanged, EngineFault::kReset,
    EngineFault::kStalled,           EngineFault::kStageFailed,
    EngineFault::kMalformed,         EngineFault::kDuplicateToken,
    EngineFault::kWrongRequest,      EngineFault::kStaleEvent,
    EngineFault::kOnlyStaleEvents,   EngineFault::kSkippedPosition,
    EngineFault::kExtraToken,        EngineFault::kMissingEnd,
    EngineFault::kWrongEndCount};

TEST_CASE("an answer is complete despite one fault in any call") {
  constexpr std::uint32_t kTokens = 12;
  for (const EngineFault fault : kFaults) {
    for (std::uint32_t call = 0; call < kTokens + 2; ++call) {
      Fixture fixture(kTokens);
      fixture.engine.faults[call] = fault;
      fixture.Run(1);
      INFO("fault " << static_cast<int>(fault) << " at call " << call);
      REQUIRE(fixture.Violation() == "none");
      REQUIRE(fixture.IsComplete(0));
    }
  }
}

TEST_CASE("any combination of faults leaves the answer correct") {
  REQUIRE(
      rc::check("tokens match the model; complete only with an end marker", [] {
        Fixture fixture(*rc::gen::inRange<std::uint32_t>(1, 25));
        const auto faults = *rc::gen::container<
            std::vector<std::pair<std::uint32_t, EngineFault>>>(
            rc::gen::pair(rc::gen::inRange<std::uint32_t>(0, 40),
                          rc::gen::elementOf(kFaults)));
        fixture.engine.faults.insert(faults.begin(), faults.end());
        for (const char* name : {"a0", "a3", "b1", "c2"}) {
          if (*rc::gen::arbitrary<bool>()) {
            fixture.engine.slow_endpoints.insert(EndpointId(name));
          }
        }
        const auto time = *rc::gen::inRange(1, 5'000);
        fixture.request.deadline = fixture.clock.now + milliseconds(time);
        fixture.limits.max_attempts_without_token =
            *rc::gen::inRange<std::uint32_t>(1, 8);
        const auto customers = *rc::gen::inRange<std::size_t>(1, 4);
        fixture.Run(customers);
        RC_ASSERT(fixture.Violation() == "none");
        if (customers == 1) {
          RC_ASSERT(fixture.clock.now <= fixture.request.deadline);
        }
      }));
}

TEST_CASE("no wait exceeds the deadline of the request") {
  Fixture fixture(10);
  fixture.request.deadline = fixture.clock.now + milliseconds(40);
  SECTION("while opening the stream") {
    fixture.engine.faults[0] = EngineFault::kStalled;
  }
  SECTION("before the first token") {
    fixture.engine.faults[1] = EngineFault::kStalled;
  }
  SECTION("between tokens") {
    fixture.engine.faults[3] = EngineFault::kStalled;
  }
  fixture.Run();
  REQUIRE(fixture.clock.now <= fixture.request.deadline);
  REQUIRE(fixture.results[0]->error().code == Errc::kDeadlineExceeded);
  REQUIRE(fixture.results[0]->error().outcome == Outcome::kUnknown);
  // A stall that is cut short by the deadline makes no endpoint suspected.
  const auto loads = fixture.endpoints.Snapshot(fixture.clock.now);
  REQUIRE_FALSE(loads.LoadOf(EndpointId("a0")).is_suspected);
}

TEST_CASE("the outcome covers all attempts") {
  Fixture fixture(4);
  fixture.limits.max_attempts_without_token = 2;
  SECTION("all refused: not run, with a retry-after time") {
    fixture.engine.faults = {{0, EngineFault::kRefused},
                             {1, EngineFault::kConnectionRefused}};
    fixture.Run();
    REQUIRE(fixture.results[0]->error().outcome == Outcome::kNotRun);
    REQUIRE(fixture.results[0]->error().retry_after.has_value());
  }
  SECTION("connection lost, then refused: unknown") {
    fixture.engine.faults = {{0, EngineFault::kReset},
                             {1, EngineFault::kRefused}};
    fixture.Run();
    REQUIRE(fixture.results[0]->error().outcome == Outcome::kUnknown);
    REQUIRE(fixture.results[0]->error().retry_after.has_value());
  }
  SECTION("stage failed, then refused: failed") {
    fixture.engine.faults = {{1, EngineFault::kStageFailed},
                             {2, EngineFault::kRefused}};
    fixture.Run();
    REQUIRE(fixture.results[0]->error().outcome == Outcome::kFailed);
  }
}

TEST_CASE("repeated faults do not end a long answer") {
  Fixture fixture(60);
  for (std::uint32_t call = 4; call < 400; call += 5) {
    fixture.engine.faults[call] = EngineFault::kStaleEvent;
    fixture.engine.faults[call + 1] = EngineFault::kMalformed;
  }
  fixture.Run();
  REQUIRE(fixture.Violation() == "none");
  REQUIRE(fixture.IsComplete(0));
}

TEST_CASE("after a stall all stages of the chain are avoided") {
  Fixture fixture(10, {"a", "b"});
  fixture.engine.faults[4] = EngineFault::kStalled;
  fixture.Run();
  REQUIRE(fixture.IsComplete(0));
  REQUIRE(fixture.engine.opened.size() == 2);
  for (std::size_t i = 0; i < kStages; ++i) {
    REQUIRE(fixture.engine.opened[0].chain[i].endpoint !=
            fixture.engine.opened[1].chain[i].endpoint);
  }
  const auto loads = fixture.endpoints.Snapshot(fixture.clock.now);
  REQUIRE_FALSE(
      loads.LoadOf(fixture.engine.opened[0].chain[0].endpoint).is_suspected);
}

TEST_CASE("a stream moves off a chain that has become slow") {
  Fixture baseline(200, {"a", "b"});
  baseline.Run();
  REQUIRE(baseline.engine.opened.size() == 1);
  const Chain first = baseline.engine.opened[0].chain;

  Fixture fixture(200, {"a", "b"});
  bool has_slowed = false;
  fixture.sinks.resize(1);
  fixture.sinks[0].on_token = [&](std::size_t count) {
    if (count == 100) {
      has_slowed = true;
      fixture.engine.slow_endpoints = {first[2].endpoint};
    }
  };
  SECTION("another chain is available") {
    fixture.Run();
    REQUIRE(fixture.Violation() == "none");
    REQUIRE(fixture.IsComplete(0));
    REQUIRE(fixture.engine.opened.size() == 2);
    // It moves within 2 s, and the slow endpoint is not suspected.
    REQUIRE(fixture.sinks[0].times[110] - fixture.sinks[0].times[99] <
            std::chrono::seconds(2));
    const auto loads = fixture.endpoints.Snapshot(fixture.clock.now);
    REQUIRE_FALSE(loads.LoadOf(first[2].endpoint).is_suspected);
  }
  SECTION("no other chain is available") {
    fixture.request.pool = MakePool({"a"});
    fixture.engine.slow_endpoints.clear();
    fixture.Run();
    REQUIRE(fixture.IsComplete(0));
    REQUIRE(fixture.engine.opened.size() == 1);
  }
  REQUIRE(has_slowed);
}

TEST_CASE("an answer completes on a pool that is slow as a whole") {
  Fixture fixture(20, {"a", "b"});
  fixture.engine.token_time = milliseconds(2'500);
  fixture.Run();
  REQUIRE(fixture.IsComplete(0));
}

TEST_CASE("the chain is planned again after a layer range changed") {
  Fixture fixture(8, {"a"});
  fixture.engine.faults[0] = EngineFault::kLayerRangeChanged;
  v1::Pool changed = MakePool({"a"});
  changed.mutable_endpoints(2)->set_end_layer(8);
  changed.mutable_endpoints(3)->set_first_layer(8);
  fixture.request.current_pool = [&] { return changed; };
  fixture.Run();
  REQUIRE(fixture.Violation() == "none");
  REQUIRE(fixture.IsComplete(0));
  REQUIRE(fixture.engine.opened[1].chain[3].layers == LayerRange{8, 12});
}

TEST_CASE("no request stays in flight after the sink throws") {
  Fixture fixture(10);
  asio::io_context context;
  fixture.sinks.resize(1);
  fixture.sinks[0].clock = &fixture.clock;
  fixture.sinks[0].fails_at = 3;
  fixture.results.resize(1);
  bool has_thrown = false;
  asio::co_spawn(
      context, fixture.RunOne(0),
      [&](const std::exception_ptr& error) { has_thrown = error != nullptr; });
  context.run();
  REQUIRE(has_thrown);
  for (const auto& endpoint : fixture.request.pool.endpoints()) {
    const auto loads = fixture.endpoints.Snapshot(fixture.clock.now);
    REQUIRE(loads.LoadOf(EndpointId(endpoint.name())).in_flight == 0);
  }
}

}  // namespace
}  // namespace sycamoreford
