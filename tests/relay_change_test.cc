// Changes of the configuration and stops of a relay daemon while requests are
// in flight.
#include <catch2/catch.hpp>

#include "support/sample_engine.h"
#include "sycamoreford/adapters/relay_state.h"

namespace sycamoreford {
namespace {

std::shared_ptr<const Manifest> ManifestWith(std::uint64_t revision,
                                             double step_ms) {
  RelayService service;
  service.name = "model";
  service.engine = support::SampleEngine();
  service.engine->kinds["whole"] = {300'000, 1, 1};
  service.engine->decode_step_time =
      std::chrono::duration<double, std::milli>(step_ms);
  return Manifest::Builder(revision).AddService(service).Build();
}

TEST_CASE("a request of the old configuration does not keep its chains") {
  RelayState state("north", RetryLimits{});
  EndpointRecord record;
  record.id = "m1";
  record.service = "model";
  record.address = "127.0.0.1:9";
  record.data_centre = "north";
  record.kind = "whole";
  record.layers = {0, 80};
  state.directory().Upsert(record);
  const TimePoint now{};
  const auto chains_of = [&](const Manifest& manifest) {
    return state.ChainSelectorFor(*manifest.FindService("model"), now).chains();
  };
  const auto old_manifest = ManifestWith(1, 1);
  const auto new_manifest = ManifestWith(2, 10);
  state.Accept(old_manifest);
  const auto old_chains = chains_of(*old_manifest);
  state.Accept(new_manifest);

  SECTION("when it is sent again before any request of the new one") {
    (void)chains_of(*old_manifest);
  }
  SECTION("when it is sent again after a request of the new one") {
    (void)chains_of(*new_manifest);
    (void)chains_of(*old_manifest);
  }
  const auto chains = chains_of(*new_manifest);
  REQUIRE(old_chains.size() == 1);
  REQUIRE(chains.size() == 1);
  REQUIRE(chains.front().decode_step_time >
          5 * old_chains.front().decode_step_time);
}

}  // namespace
}  // namespace sycamoreford
