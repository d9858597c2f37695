// A connection to an endpoint that is established after the endpoint has asked
// for a pause.
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "fakes/scripted_endpoint.h"
#include "http_relay_codec.h"
#include "support/sample_configuration.h"
#include "sycamoreford/adapters/chain_attempt.h"
#include "sycamoreford/adapters/endpoint_attempt.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Codec = platform::HttpRelayCodec;

struct Fixture {
  SteadyClock clock;
  RelayState state{"north", RetryLimits{}};
  asio::io_context context{1};
  fakes::ScriptedEndpoint endpoint{context};

  Fixture() {
    state.Accept(support::SampleConfiguration().Build());
    EndpointRecord record;
    record.id = "e1";
    record.service = "model";
    record.address = endpoint.address();
    record.kind = "whole";
    record.layers = {0, 80};
    record.started_at_ms = 1;
    state.directory().Upsert(record);
  }
  std::function<bool()> MaySend() {
    return [this] {
      return state.gate().MaySend("e1", SendKind::kChosenRequest, clock.Now());
    };
  }
  void AskForPause() {
    state.OnRetryAfter({"e1", 1}, seconds(1), BackoffSource::kRequest,
                       clock.Now());
  }
};

TEST_CASE("a stream that waited for its connection is not sent in a pause") {
  Fixture fixture;
  ChainAttemptOptions options;
  options.stream.request_id = "r1";
  options.stream.address = fixture.endpoint.address();
  options.stream.may_send = fixture.MaySend();
  options.stream.deadline = fixture.clock.Now() + seconds(5);
  options.stream.connect_timeout = milliseconds(400);
  options.stages = {ChainStage{.endpoint = EndpointId("e1"),
                               .address = fixture.endpoint.address(),
                               .layers = {0, 80}}};
  const RelayService& service = *fixture.state.manifest()->FindService("model");
  auto attempt = std::make_shared<ChainAttempt<Codec, SteadyClock>>(
      fixture.state, fixture.clock, fixture.context.get_executor(), service,
      std::move(options));
  std::optional<AttemptStep> step;
  asio::co_spawn(
      fixture.context,
      [&]() -> asio::awaitable<void> { step = co_await attempt->Next(); },
      asio::detached);

  SECTION("that began meanwhile") {
    fixture.AskForPause();
    fixture.context.run_for(milliseconds(200));
    REQUIRE(step == AttemptStep::kWithheld);
    REQUIRE(fixture.endpoint.requests().empty());
    REQUIRE_FALSE(attempt->was_sent());
  }
  SECTION("but without one it is") {
    fixture.context.run_for(milliseconds(200));
    REQUIRE(step != AttemptStep::kWithheld);
    REQUIRE(fixture.endpoint.requests().size() == 1);
  }
  attempt.reset();
}

TEST_CASE("a request that waited for its connection is not sent in a pause") {
  Fixture fixture;
  EndpointAttemptOptions options;
  options.request_id = "r1";
  options.endpoint = "e1";
  options.address = fixture.endpoint.address();
  options.may_send = fixture.MaySend();
  options.deadline = fixture.clock.Now() + seconds(5);
  options.connect_timeout = milliseconds(400);
  EndpointAttempt<Codec, SteadyClock> attempt(
      fixture.state.service_selector(), fixture.clock,
      fixture.context.get_executor(), std::move(options));
  std::optional<AttemptStep> step;
  asio::co_spawn(
      fixture.context,
      [&]() -> asio::awaitable<void> { step = co_await attempt.Run(); },
      asio::detached);
  fixture.AskForPause();
  fixture.context.run_for(milliseconds(200));
  REQUIRE(step == AttemptStep::kWithheld);
  REQUIRE(fixture.endpoint.requests().empty());
}

}  // namespace
}  // namespace sycamoreford
