// Odd entries among the stored ones: whatever they contain, they end no daemon
// and take no chain from the sound endpoints.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "endpoint_codec.h"
#include "impl/parse_address.h"
#include "manifest_codec.h"
#include "support/sample_engine.h"
#include "sycamoreford/adapters/peer_datagrams.h"
#include "sycamoreford/fleet/fleet_accelerators.h"
#include "sycamoreford/fleet/peer_state.h"
#include "sycamoreford/lease/lease_machine.h"
#include "sycamoreford/placement/chain_builder.h"
#include "sycamoreford/placement/placement_planner.h"

namespace sycamoreford {
namespace {

constexpr std::uint32_t kMaxLoads = 5;
const TimePoint kNow{std::chrono::hours(1)};

const std::string kEntry =
    R"({"Service":"m","Address":"10.0.0.9:80","Zone":"north","Slots":192,)"
    R"("State":"ready","Kind":"medium","born":5,"Layers":{"From":3,"To":9}})";
const std::string kReport =
    R"({"Busy":true,"Sequence":3,"born":5,"Queued":1,"InFlight":2,"pace":1.5,)"
    R"("Layers":{"From":3,"To":9},"Stalled":[{"Id":"r","Address":"1.2.3.4:5"}]})";
const std::string kManifest =
    R"({"Version":3,"Routes":[{"Name":"r","Host":"a","PathPrefix":"/",)"
    R"("Kind":"safe","Service":"m","MaxAttempts":2,"TimeoutMs":500,)"
    R"("Priority":1}],"Services":[{"Name":"m"}],)"
    R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4096}})";
const std::string kState =
    R"({"manifest":"{}","endpoints":[{"id":"e","service":"m",)"
    R"("address":"1.2.3.4:5","data_centre":"d","kind":"k","slots":1,)"
    R"("is_leaving":false,"first_layer":0,"end_layer":9,"started_at_ms":7}]})";
const std::string kMessage =
    R"({"service":"m","requests":3,"repeats":1,"revision":7,)"
    R"("leaving":[{"endpoint":"e","start":5,"until":9}]})";
const std::string kLease = R"({"holder":"a","fencing":3,"write_id":"w"})";

/// A value that does not belong where it stands.
rc::Gen<std::string> OddValue() {
  return rc::gen::oneOf(
      rc::gen::element<std::string>(
          "null", "true", "-1", "0.5", "1e300", "-1e300", "4294967295",
          "4294967296", "18446744073709551615", "18446744073709551616", "[]",
          "{}", R"("")", R"("10.0.0.9:70000")", R"("10.0.0.9:0")",
          R"("10.0.0.9:-1")", R"("10.0.0.9:99999999999999999999")",
          R"("999.0.0.9:80")", R"("a\r\nb")"),
      rc::gen::map(rc::gen::inRange(1, 5'000),
                   [](int depth) { return std::string(depth, '['); }),
      rc::gen::map(rc::gen::arbitrary<std::int64_t>(),
                   [](std::int64_t n) { return std::to_string(n); }));
}

/// Replaces one value of a JSON text, or a part of the text.
std::string MakeOdd(const std::string& text) {
  std::vector<std::size_t> values;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == ':' && i > 0 && text[i - 1] == '"') {
      values.push_back(i + 1);
    }
  }
  const std::size_t begin = *rc::gen::elementOf(values);
  const std::size_t end =
      *rc::gen::arbitrary<bool>()
          ? std::min(text.find_first_of(",}", begin), text.size())
          : *rc::gen::inRange(begin, text.size());
  return text.substr(0, begin) + *OddValue() + text.substr(end);
}

TEST_CASE("whatever an entry contains, it is rejected or can be used") {
  REQUIRE(rc::check([] {
    const auto endpoint = platform::DecodeEndpoint("e", MakeOdd(kEntry));
    if (endpoint) {
      RC_ASSERT(impl::ParseAddress(endpoint->address).port() != 0);
      RC_ASSERT(endpoint->layers.first <= endpoint->layers.end);
    }
    (void)platform::DecodeReport(MakeOdd(kReport));
    const auto manifest = platform::DecodeManifest(MakeOdd(kManifest));
    const RelayRoute* route =
        manifest ? (*manifest)->FindRoute("a", "/") : nullptr;
    if (route != nullptr) {
      const bool is_positive = route->time_limit > std::chrono::milliseconds(0);
      // A deadline can be counted from now.
      RC_ASSERT((kNow + route->time_limit > kNow) == is_positive);
    }
    (void)PeerState::Parse(MakeOdd(kState));
    (void)PeerMessage::Parse(MakeOdd(kMessage));
    (void)ParseLease(MakeOdd(kLease));
  }));
}

TEST_CASE("numbers of a route that are too large stand for the largest") {
  const auto manifest = platform::DecodeManifest(
      R"({"Version":3,"Routes":[{"Name":"r","Host":"a","PathPrefix":"/",)"
      R"("Kind":"safe","Service":"m","MaxAttempts":4294967296,)"
      R"("TimeoutMs":1e300}],"Services":[{"Name":"m"}]})");
  REQUIRE(manifest.has_value());
  const RelayRoute* route = (*manifest)->FindRoute("a", "/");
  REQUIRE(route != nullptr);
  CHECK(route->max_attempts == 4'294'967'295U);
  CHECK(kNow + route->time_limit > kNow);
  CHECK_FALSE(platform::DecodeManifest(R"({"Version":1e300})").has_value());
}

TEST_CASE("an endpoint listed with layers that the model lacks does no harm") {
  REQUIRE(rc::check([] {
    RelayService service;
    service.name = "m";
    service.engine = support::SampleEngine();
    const std::uint32_t layers = service.engine->layers;
    EndpointDirectory directory;
    const auto add = [&](const std::string& id, LayerRange range) {
      EndpointRecord record;
      record.id = id;
      record.service = "m";
      record.address = "10.0.0.1:80";
      record.data_centre = "north";
      record.kind = "large";
      record.layers = range;
      directory.Upsert(record);
    };
    for (std::uint32_t first = 0; first < layers; first += 20) {
      add("a" + std::to_string(first), {first, first + 20});
    }
    const auto odd_count = *rc::gen::inRange(1, 4);
    for (int i = 0; i < odd_count; ++i) {
      const auto first =
          *rc::gen::oneOf(rc::gen::arbitrary<std::uint32_t>(),
                          rc::gen::inRange<std::uint32_t>(0, 2 * layers));
      const auto size =
          *rc::gen::oneOf(rc::gen::arbitrary<std::uint32_t>(),
                          rc::gen::inRange<std::uint32_t>(0, 2 * layers));
      RC_PRE(first <= 0xffff'ffffU - size);
      add("odd" + std::to_string(i), {first, first + size});
    }
    const auto accelerators = AcceleratorsOf(directory, service, kNow, false);
    const auto chains = BuildChains(*service.engine, accelerators);
    RC_ASSERT(!chains.empty());
    for (const ServingChain& chain : chains) {
      RC_ASSERT(CoversAllLayers(chain.stages, layers));
    }
    for (const PlacementChange& change :
         PlanPlacement(*service.engine, accelerators, AcceleratorsInUse(chains),
                       kMaxLoads)) {
      RC_ASSERT(change.layers.end <= layers);
    }
  }));
}

}  // namespace
}  // namespace sycamoreford
