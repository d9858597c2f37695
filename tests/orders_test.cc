// Orders bring every engine to its desired state, even if a former lease holder
// resumes after a pause and sends an order as if it still held the lease.
#include <thread>
#include <vector>

#include <rapidcheck.h>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "support/test_deployment.h"
#include "sycamoreford/orders/order_planner.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using support::Fetch;
using support::TestDeployment;

const EngineState kOld{"bell-llm", "7", {}};
const EngineState kNew{"bell-llm", "8", {"rota"}};

DesiredEngine Desired(const std::string& name, bool checks_fencing) {
  return {EndpointId(name), "127.0.0.1:1", checks_fencing, kNew};
}

/// An engine that applies orders; some engines check the fencing token.
struct Engine {
  bool checks_fencing = false;
  EngineState state = kOld;
  FencingToken highest_fencing{};

  void Apply(const EngineOrder& order) {
    if (checks_fencing && order.fencing < highest_fencing) {
      return;
    }
    highest_fencing = std::max(highest_fencing, order.fencing);
    state = order.state;
  }
};

TEST_CASE("orders bring a pool to its desired state") {
  OrderPlanner planner;
  TimePoint now{};
  const std::vector<DesiredEngine> desired{Desired("a", true),
                                           Desired("b", true)};
  planner.OnLeaseAcquired(FencingToken(1), now);

  SECTION("an engine that has not reported its state gets no order") {
    REQUIRE_FALSE(planner.Next(desired, FencingToken(1), now).has_value());
  }

  SECTION("engines are changed one at a time") {
    planner.OnState(EndpointId("a"), kOld, now);
    planner.OnState(EndpointId("b"), kOld, now);
    const auto first = planner.Next(desired, FencingToken(1), now);
    REQUIRE(first.has_value());
    REQUIRE(first->endpoint == EndpointId("a"));
    REQUIRE_FALSE(planner.Next(desired, FencingToken(1), now).has_value());
    planner.OnState(EndpointId("a"), kNew, now);
    const auto second = planner.Next(desired, FencingToken(1), now);
    REQUIRE(second.has_value());
    REQUIRE(second->endpoint == EndpointId("b"));

    SECTION("and an order without effect is repeated") {
      REQUIRE_FALSE(planner.Next(desired, FencingToken(1), now + seconds(29))
                        .has_value());
      REQUIRE(planner.Next(desired, FencingToken(1), now + seconds(31))
                  .has_value());
    }
  }

  SECTION("a fencing token other than the lease's yields no order") {
    planner.OnState(EndpointId("a"), kOld, now);
    REQUIRE_FALSE(planner.Next(desired, FencingToken(2), now).has_value());
  }

  SECTION("engines that ignore fencing are not unloaded during hold-off") {
    const std::vector<DesiredEngine> ignoring{Desired("c", false)};
    planner.OnState(EndpointId("c"), kOld, now);
    REQUIRE_FALSE(
        planner.Next(ignoring, FencingToken(1), now + seconds(39)).has_value());
    REQUIRE(
        planner.Next(ignoring, FencingToken(1), now + seconds(40)).has_value());
  }

  SECTION("an empty engine that ignores fencing is loaded at once") {
    const std::vector<DesiredEngine> ignoring{Desired("c", false)};
    planner.OnState(EndpointId("c"), EngineState{}, now);
    REQUIRE(planner.Next(ignoring, FencingToken(1), now).has_value());
  }

  SECTION("the rate limit of the weight store is observed") {
    std::vector<DesiredEngine> many;
    for (int i = 0; i < 12; ++i) {
      many.push_back(Desired(std::to_string(i), true));
      planner.OnState(many.back().endpoint, kOld, now);
    }
    const auto count_orders = [&](int duration_s) {
      int count = 0;
      for (int i = 0; i < duration_s; ++i) {
        now += seconds(1);
        if (const auto order = planner.Next(many, FencingToken(1), now)) {
          planner.OnState(order->endpoint, kNew, now);
          ++count;
        }
      }
      return count;
    };
    REQUIRE(count_orders(50) == 6);
    REQUIRE(count_orders(60) == 6);
  }
}

/// Two daemons that hold the lease alternately. Each may be paused between its
/// check of the lease and the sending of an order.
class Simulation {
 public:
  Simulation() {
    for (const bool checks : {true, false, true, false}) {
      const std::string name = std::to_string(engines_.size());
      engines_.push_back({.checks_fencing = checks});
      desired_.push_back(Desired(name, checks));
    }
  }

  /// Moves the lease to the other daemon.
  void MoveLease() {
    holder_ = 1 - holder_;
    token_ = FencingToken(token_.value() + 1);
    planners_[holder_].OnLeaseAcquired(token_, now_);
  }

  void RunHolder(bool is_send_delayed) {
    ReportStates();
    const auto order = planners_[holder_].Next(desired_, token_, now_);
    if (!order) {
      return;
    }
    if (is_send_delayed) {
      delayed_.push_back(*order);
    } else {
      Deliver(*order);
    }
  }

  void SendDelayed(std::size_t index) {
    if (!delayed_.empty()) {
      const auto at = delayed_.begin() +
                      static_cast<std::ptrdiff_t>(index % delayed_.size());
      Deliver(*at);
      delayed_.erase(at);
    }
  }

  /// An engine restarts empty.
  void Restart(std::size_t index) {
    engines_[index % engines_.size()].state = {};
  }

  void Advance(seconds time) { now_ += time; }

  /// Delivers all delayed orders, then runs the holder without interference.
  void Settle() {
    while (!delayed_.empty()) {
      SendDelayed(0);
    }
    for (int i = 0; i < 60; ++i) {
      Advance(seconds(15));
      RunHolder(false);
    }
  }

  [[nodiscard]] bool AllInDesiredState() const {
    return std::all_of(engines_.begin(), engines_.end(),
                       [](const Engine& e) { return e.state == kNew; });
  }
  [[nodiscard]] bool AnyAppliedStaleOrder() const {
    return applied_stale_order_;
  }

 private:
  void ReportStates() {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      planners_[holder_].OnState(desired_[i].endpoint, engines_[i].state, now_);
    }
  }

  void Deliver(const EngineOrder& order) {
    Engine& engine = engines_[std::stoul(order.endpoint.value())];
    const bool is_stale = order.fencing < engine.highest_fencing;
    const EngineState before = engine.state;
    engine.Apply(order);
    applied_stale_order_ =
        applied_stale_order_ ||
        (engine.checks_fencing && is_stale && engine.state != before);
  }

  std::vector<Engine> engines_;
  std::vector<DesiredEngine> desired_;
  std::vector<OrderPlanner> planners_{2};
  std::vector<EngineOrder> delayed_;
  std::size_t holder_ = 0;
  FencingToken token_{0};
  TimePoint now_{};
  bool applied_stale_order_ = false;
};

TEST_CASE("late orders of former lease holders have no lasting effect") {
  REQUIRE(rc::check("all engines reach the desired state", [] {
    Simulation simulation;
    simulation.MoveLease();
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 600));
    for (const std::uint32_t step : steps) {
      const std::uint32_t amount = step / 6;
      switch (step % 6) {
        case 0:
          simulation.MoveLease();
          break;
        case 1:
          simulation.RunHolder(true);
          break;
        case 2:
          simulation.RunHolder(false);
          break;
        case 3:
          simulation.SendDelayed(amount);
          break;
        case 4:
          simulation.Restart(amount);
          break;
        default:
          simulation.Advance(seconds(amount));
          break;
      }
    }
    simulation.Settle();
    RC_ASSERT(simulation.AllInDesiredState());
    RC_ASSERT(!simulation.AnyAppliedStaleOrder());
  }));
}

std::string LoadedVersion(TestDeployment& deployment,
                          const std::string& stage) {
  HttpRequest request;
  request.target = "/v1/state";
  const auto state = Fetch(deployment.stage(stage).address, request);
  return state ? boost::json::value_to<std::string>(
                     boost::json::parse(state->body).at("version"))
               : "";
}

TEST_CASE("a new version reaches every stage, and requests still succeed") {
  TestDeployment deployment({.daemons = 2});
  REQUIRE(deployment.Apply(0,
                           R"({"edits":[
{"verb":"VERB_PUT","kind":"KIND_MODEL_VERSION","resource":{"name":"bell-llm-8","model_version":{"model":"bell-llm","version":"8","layers":12}}},
{"verb":"VERB_PUT","kind":"KIND_ROUTE","resource":{"name":"bell-llm","route":{"pool":"bell","model_version":"bell-llm-8","max_tokens":2000}}}
]})") == 0);
  // Stages that ignore fencing tokens are changed only after the hold-off of
  // 40 s.
  const auto deadline = std::chrono::steady_clock::now() + seconds(150);
  std::size_t changed = 0;
  while (changed < 6 && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(milliseconds(500));
    changed = 0;
    for (const std::string stage : {"a0", "a1", "a2", "b0", "b1", "b2"}) {
      changed += LoadedVersion(deployment, stage) == "8" ? 1 : 0;
    }
  }
  REQUIRE(changed == 6);
  const auto response = Fetch(deployment.caller_address(1),
                              TestDeployment::ChatRequest("Ring", 20, false));
  REQUIRE(response.has_value());
  REQUIRE(TestDeployment::AnswerText(*response) ==
          TestDeployment::ExpectedAnswer("Ring", 20));
  std::string state;
  REQUIRE(deployment.RunSycamorectl(0, {"state", "--json"}, &state) == 0);
  REQUIRE(state.find("pool/bell") != std::string::npos);
}

}  // namespace
}  // namespace sycamoreford
