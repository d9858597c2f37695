// Places layers on endpoints that ask for a pause instead of giving a report or
// taking an order.
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "fakes/fake_table.h"
#include "fakes/faulty_table.h"
#include "support/sample_configuration.h"
#include "sycamoreford/adapters/placement_service.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kPause{1'500};
const std::string kResting = "e0";

/// Endpoints, one of which turns all calls away while it is overloaded.
class RestingEndpoints {
 public:
  RelayState* state = nullptr;
  bool is_overloaded = false;
  std::chrono::milliseconds pause = kPause;
  std::vector<TimePoint> turned_away;
  std::map<std::string, int> orders;

  asio::awaitable<Result<EndpointReport>> FetchReport(
      const std::string& address) {
    if (TurnsAway(address)) {
      co_return Failure{.code = Errc::kBadEndpointAnswer, .retry_after = pause};
    }
    EndpointReport report;
    report.layers = state->directory().Find(address)->record.layers;
    co_return report;
  }

  asio::awaitable<Result<OrderReply>> SendOrder(const std::string& address,
                                                const LayerOrder& order) {
    if (TurnsAway(address)) {
      co_return OrderReply{.retry_after = pause};
    }
    ++orders[address];
    state->directory().OnLayers(address, order.layers);
    co_return OrderReply{.outcome = OrderOutcome::kBegun};
  }

 private:
  bool TurnsAway(const std::string& address) {
    if (!is_overloaded || address != kResting) {
      return false;
    }
    turned_away.push_back(SteadyClock().Now());
    return true;
  }
};

struct Fixture {
  asio::io_context context{1};
  SteadyClock clock;
  RelayState state{"north", RetryLimits{}};
  fakes::FakeTable rows;
  fakes::FaultyTable table{rows};
  RestingEndpoints endpoints;
  PlacementService<fakes::FaultyTable, RestingEndpoints, SteadyClock> service{
      state, table, endpoints, clock, "run-1"};

  explicit Fixture(int count, const std::string& kind = "whole") {
    endpoints.state = &state;
    state.Accept(support::SampleConfiguration().Build());
    for (int i = 0; i < count; ++i) {
      EndpointRecord record;
      record.id = "e" + std::to_string(i);
      record.service = "model";
      // Stands for the endpoint in calls.
      record.address = record.id;
      record.data_centre = "north";
      record.kind = kind;
      state.directory().Upsert(record);
    }
    asio::co_spawn(context, service.Run(), asio::detached);
  }
  /// Whether each layer is held by an endpoint other than `without`.
  [[nodiscard]] bool AreAllLayersHeld(const std::string& without) {
    const auto& model = *state.manifest()->FindService("model")->engine;
    auto held = AcceleratorsOf(state.directory(),
                               *state.manifest()->FindService("model"),
                               clock.Now(), false);
    std::erase_if(held, [&](const auto& it) { return it.id == without; });
    return MissingLayers(model, held).empty();
  }
  /// Whether all calls that were turned away were a pause apart.
  [[nodiscard]] bool IsPauseKept() const {
    const auto& at = endpoints.turned_away;
    return std::adjacent_find(at.begin(), at.end(), [](auto a, auto b) {
             return b - a < kPause;
           }) == at.end();
  }
};

TEST_CASE("an endpoint gets no order during the pause that it asked for") {
  Fixture fixture(1);
  fixture.endpoints.is_overloaded = true;
  fixture.context.run_for(seconds(5));
  CHECK(fixture.endpoints.turned_away.size() >= 2);
  CHECK(fixture.IsPauseKept());
  CHECK(fixture.endpoints.orders.empty());

  fixture.endpoints.is_overloaded = false;
  fixture.context.run_for(kPause + seconds(1));
  CHECK(fixture.endpoints.orders[kResting] == 1);
}

TEST_CASE("a suspected endpoint that asks for a pause is not lost") {
  Fixture fixture(2);
  for (const std::string id : {"e0", "e1"}) {
    fixture.state.directory().OnLayers(id, {0, 80});
  }
  fixture.context.run_for(milliseconds(600));
  REQUIRE(fixture.service.has_lease());
  fixture.endpoints.is_overloaded = true;
  const auto suspect = [&] {
    fixture.state.directory().Suspect(kResting, fixture.clock.Now());
    fixture.context.run_for(milliseconds(100));
  };
  for (int i = 0; i < 40; ++i) {
    suspect();
  }
  CHECK(fixture.endpoints.turned_away.size() >= 2);
  CHECK(fixture.IsPauseKept());
  CHECK(fixture.endpoints.orders.empty());
}

TEST_CASE("layers of an endpoint that asks for a long pause are loaded anew") {
  constexpr int kEndpoints = 3;
  const std::string resting = "e" + std::to_string(GENERATE(range(0, 3)));
  CAPTURE(resting);
  Fixture fixture(kEndpoints, "large");
  fixture.context.run_for(seconds(4));
  REQUIRE(fixture.AreAllLayersHeld(""));
  fixture.state.OnRetryAfter({resting, 0}, std::chrono::hours(1),
                             BackoffSource::kRequest, fixture.clock.Now());
  fixture.context.run_for(seconds(2));
  CHECK(fixture.AreAllLayersHeld(resting));
}

}  // namespace
}  // namespace sycamoreford
