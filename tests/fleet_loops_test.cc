// Tests the loops that follow the store and place layers, with a store that
// loses history or becomes unreachable, and endpoints that do not respond or
// turn slow.
#include <deque>
#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "fakes/fake_table.h"
#include "fakes/faulty_table.h"
#include "support/sample_engine.h"
#include "sycamoreford/adapters/fleet_follower.h"
#include "sycamoreford/adapters/peer_datagrams.h"
#include "sycamoreford/adapters/placement_service.h"
#include "sycamoreford/fleet/peer_state.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

EndpointRecord Endpoint(const std::string& id, const std::string& kind = "") {
  EndpointRecord record;
  record.id = id;
  record.service = kind.empty() ? "plain" : "model";
  record.address = "10.0.0.1:" + id;
  record.data_centre = "north";
  record.kind = kind;
  return record;
}

std::shared_ptr<const Manifest> Configuration(std::uint64_t revision) {
  RelayService model;
  model.name = "model";
  model.engine = support::SampleEngine();
  model.engine->load_time = std::chrono::duration<double>(0.1);
  return Manifest::Builder(revision).AddService(model).Build();
}

/// A store that returns the results queued by the test; calls wait while the
/// queue is empty.
class QueuedStore {
 public:
  std::deque<Result<ManifestListing>> manifests;
  std::deque<Result<EndpointListing>> endpoints;
  int full_endpoint_reads = 0;
  int full_manifest_reads = 0;
  /// Whether polls for the configuration get no response.
  bool polls_hang = false;
  milliseconds endpoint_wait{0};

  asio::awaitable<Result<ManifestListing>> ReadManifest() {
    ++full_manifest_reads;
    co_return co_await Next(manifests);
  }
  asio::awaitable<Result<ManifestListing>> AwaitManifest(StorePosition,
                                                         milliseconds) {
    while (polls_hang) {
      co_await Pause(milliseconds(5));
    }
    co_return co_await Next(manifests);
  }
  asio::awaitable<Result<EndpointListing>> ReadEndpoints() {
    ++full_endpoint_reads;
    co_return co_await Next(endpoints);
  }
  asio::awaitable<Result<EndpointListing>> AwaitEndpoints(StorePosition,
                                                          milliseconds wait) {
    endpoint_wait = wait;
    co_return co_await Next(endpoints);
  }

 private:
  template <class T>
  static asio::awaitable<Result<T>> Next(std::deque<Result<T>>& queue) {
    while (queue.empty()) {
      co_await Pause(milliseconds(5));
    }
    Result<T> next = std::move(queue.front());
    queue.pop_front();
    co_return next;
  }
};

const Failure kStoreUnavailable{.code = Errc::kTableUnavailable,
                                .where = "test"};

struct FollowerFixture {
  asio::io_context context{1};
  SteadyClock clock;
  RelayState state{"north", RetryLimits{}};
  QueuedStore store;
  FleetFollower<QueuedStore, SteadyClock> follower{state, store, clock};

  void RunFor(milliseconds time) {
    context.restart();
    context.run_for(time);
  }
};

EndpointListing Listing(std::vector<EndpointRecord> records,
                        std::uint64_t position,
                        std::vector<std::string> removed = {}) {
  EndpointListing listing;
  listing.endpoints = std::move(records);
  listing.position.version = position;
  listing.removed = std::move(removed);
  return listing;
}

TEST_CASE("following the configuration") {
  FollowerFixture fixture;
  asio::co_spawn(fixture.context, fixture.follower.FollowManifest(),
                 asio::detached);
  const auto add_manifest = [&](std::uint64_t revision) {
    ManifestListing listing;
    listing.manifest = Configuration(revision);
    fixture.store.manifests.emplace_back(listing);
  };

  SECTION("only higher revisions are accepted") {
    add_manifest(3);
    add_manifest(7);
    add_manifest(5);
    fixture.RunFor(milliseconds(100));
    REQUIRE(fixture.state.manifest()->revision() == 7);
  }
  SECTION("the configuration stays in force while the store is unreachable") {
    add_manifest(3);
    fixture.store.manifests.emplace_back(kStoreUnavailable);
    fixture.store.manifests.emplace_back(kStoreUnavailable);
    fixture.RunFor(milliseconds(100));
    REQUIRE(fixture.state.manifest()->revision() == 3);

    SECTION("a newer revision of another daemon is read when the poll hangs") {
      fixture.store.polls_hang = true;
      fixture.RunFor(milliseconds(600));
      fixture.store.manifests.clear();
      add_manifest(5);
      asio::co_spawn(fixture.context, fixture.follower.CatchUp(5),
                     asio::detached);
      asio::co_spawn(fixture.context, fixture.follower.CatchUp(5),
                     asio::detached);
      fixture.RunFor(milliseconds(600));
      REQUIRE(fixture.state.manifest()->revision() == 5);
      REQUIRE(fixture.store.full_manifest_reads == 2);
    }
    SECTION("a known revision of another daemon is not read again") {
      asio::co_spawn(fixture.context, fixture.follower.CatchUp(3),
                     asio::detached);
      fixture.RunFor(milliseconds(600));
      REQUIRE(fixture.store.full_manifest_reads == 1);
    }
    SECTION("the next revision is accepted once the store is reachable") {
      add_manifest(4);
      fixture.RunFor(milliseconds(600));
      REQUIRE(fixture.state.manifest()->revision() == 4);
    }
  }
}

TEST_CASE("following the list of endpoints") {
  FollowerFixture fixture;
  EndpointDirectory& directory = fixture.state.directory();
  asio::co_spawn(fixture.context, fixture.follower.FollowEndpoints(),
                 asio::detached);
  fixture.store.endpoints.emplace_back(
      Listing({Endpoint("1"), Endpoint("2")}, 10));
  fixture.RunFor(milliseconds(50));
  REQUIRE(fixture.follower.has_endpoints());
  REQUIRE(directory.endpoints().size() == 2);

  // With the margin that the store client adds, a lost response is noticed
  // within three seconds.
  SECTION("a poll waits at most two seconds for changes") {
    fixture.RunFor(milliseconds(400));
    REQUIRE(fixture.store.endpoint_wait > milliseconds(0));
    REQUIRE(fixture.store.endpoint_wait <= milliseconds(2'000));
  }
  SECTION("an endpoint is removed") {
    fixture.store.endpoints.emplace_back(Listing({}, 11, {"1"}));
    fixture.RunFor(milliseconds(400));
    REQUIRE(directory.Find("1") == nullptr);
  }
  SECTION("an endpoint is removed in a gap of the history") {
    EndpointListing gap;
    gap.has_gap = true;
    fixture.store.endpoints.emplace_back(gap);
    fixture.store.endpoints.emplace_back(Listing({Endpoint("2")}, 15));
    fixture.RunFor(milliseconds(400));
    REQUIRE(fixture.store.full_endpoint_reads == 2);
    REQUIRE(directory.Find("1") == nullptr);
  }
  SECTION("a stale replica responds to the read after a gap") {
    EndpointListing gap;
    gap.has_gap = true;
    fixture.store.endpoints.emplace_back(Listing({Endpoint("3")}, 14));
    fixture.store.endpoints.emplace_back(gap);
    fixture.store.endpoints.emplace_back(Listing({Endpoint("1")}, 9));
    fixture.store.endpoints.emplace_back(
        Listing({Endpoint("1"), Endpoint("2"), Endpoint("3")}, 14));
    fixture.RunFor(milliseconds(900));
    REQUIRE(fixture.store.full_endpoint_reads == 3);
    REQUIRE(directory.endpoints().size() == 3);
  }
  SECTION("announcements expired while the store was unreachable") {
    fixture.store.endpoints.emplace_back(kStoreUnavailable);
    fixture.store.endpoints.emplace_back(Listing({}, 20, {"1", "2"}));
    fixture.RunFor(milliseconds(600));
    REQUIRE(directory.Find("1")->IsUsable(fixture.clock.Now()));
  }
}

/// Endpoints that carry out orders immediately.
class FakeEndpoints {
 public:
  struct AcceleratorState {
    EndpointReport report;
    bool is_silent = false;
  };
  std::map<std::string, AcceleratorState> accelerators;
  std::vector<LayerOrder> orders;
  /// Number of orders sent to accelerators that are slower than the directory
  /// has recorded.
  int orders_before_slowness_known = 0;
  FencingToken highest_token{};
  RelayState* state = nullptr;

  asio::awaitable<Result<EndpointReport>> FetchReport(
      const std::string& address) {
    const AcceleratorState& accelerator = accelerators[address];
    if (accelerator.is_silent) {
      co_return Failure{.code = Errc::kStalled};
    }
    co_return accelerator.report;
  }

  asio::awaitable<Result<OrderReply>> SendOrder(const std::string& address,
                                                const LayerOrder& order) {
    AcceleratorState& accelerator = accelerators[address];
    orders.push_back(order);
    const std::string ordered_id = address.substr(address.find(':') + 1);
    if (accelerator.report.slowness >
        state->directory().Find(ordered_id)->slowness) {
      ++orders_before_slowness_known;
    }
    if (order.fencing < highest_token) {
      co_return OrderReply{.outcome = OrderOutcome::kFenced};
    }
    highest_token = order.fencing;
    if (order.expected_sequence != accelerator.report.order_sequence) {
      co_return OrderReply{.outcome = OrderOutcome::kConflict};
    }
    ++accelerator.report.order_sequence;
    accelerator.report.layers = order.layers;
    const std::string id = address.substr(address.find(':') + 1);
    state->directory().OnLayers(id, order.layers);
    co_return OrderReply{.outcome = OrderOutcome::kBegun};
  }
};

struct PlacementFixture {
  asio::io_context context{1};
  SteadyClock clock;
  RelayState state{"north", RetryLimits{}};
  fakes::FakeTable rows;
  fakes::FaultyTable table{rows};
  FakeEndpoints endpoints;
  PlacementService<fakes::FaultyTable, FakeEndpoints, SteadyClock> service{
      state, table, endpoints, clock, "run-1"};

  PlacementFixture() {
    endpoints.state = &state;
    state.Accept(Configuration(1));
    for (int i = 0; i < 4; ++i) {
      state.directory().Upsert(Endpoint(std::to_string(i), "large"));
    }
    asio::co_spawn(context, service.Run(), asio::detached);
  }
  [[nodiscard]] std::size_t ChainCount() {
    return state
        .ChainSelectorFor(state.manifest()->services().front(), clock.Now())
        .chains()
        .size();
  }
};

TEST_CASE("placing layers under the lease") {
  PlacementFixture fixture;

  SECTION("the holder places a chain once the list is stable") {
    fixture.context.run_for(milliseconds(800));
    REQUIRE(fixture.endpoints.orders.empty());
    fixture.context.run_for(milliseconds(1'200));
    REQUIRE_FALSE(fixture.endpoints.orders.empty());
    REQUIRE(fixture.ChainCount() >= 1);

    SECTION("no further orders are sent for an unchanged plan") {
      const std::size_t orders = fixture.endpoints.orders.size();
      fixture.context.run_for(milliseconds(1'000));
      REQUIRE(fixture.endpoints.orders.size() == orders);
    }
  }

  SECTION("no orders are sent while the table is unavailable") {
    fixture.table.SetFault(fakes::TableFault::kUnavailable);
    fixture.context.run_for(milliseconds(2'500));
    REQUIRE(fixture.endpoints.orders.empty());
  }

  SECTION("orders are fenced off by a higher fencing token") {
    fixture.endpoints.highest_token = FencingToken(9);
    fixture.context.run_for(milliseconds(2'200));
    REQUIRE_FALSE(fixture.endpoints.orders.empty());
    REQUIRE(fixture.ChainCount() == 0);
  }

  SECTION("an accelerator is lost after all others have turned slow") {
    fixture.context.run_for(milliseconds(2'200));
    REQUIRE(fixture.ChainCount() == 1);
    for (auto& [address, accelerator] : fixture.endpoints.accelerators) {
      accelerator.report.slowness = 12;
    }
    fixture.endpoints.orders.clear();
    fixture.state.directory().Remove("0", fixture.clock.Now(),
                                     Duration::zero());
    fixture.context.run_for(milliseconds(1'700));
    THEN("slow ones get orders, but only once their slowness is known") {
      REQUIRE_FALSE(fixture.endpoints.orders.empty());
      REQUIRE(fixture.endpoints.orders_before_slowness_known == 0);
    }
  }

  // Guards against an order for an endpoint that is gone, which another one
  // gets that has its address by now.
  SECTION("an endpoint of another run gets no order") {
    fixture.endpoints.accelerators["10.0.0.1:0"].report.started_at_ms = 7;
    fixture.context.run_for(milliseconds(2'200));
    CHECK_FALSE(fixture.endpoints.orders.empty());
    CHECK(
        fixture.endpoints.accelerators["10.0.0.1:0"].report.layers.is_empty());
  }
  // Guards against layers that are moved about since entries lapsed while the
  // store was away.
  SECTION(
      "endpoints whose entries lapsed and may come back keep their layers") {
    fixture.context.run_for(milliseconds(2'200));
    REQUIRE(fixture.ChainCount() == 1);
    fixture.endpoints.orders.clear();
    EndpointDirectory& directory = fixture.state.directory();
    const auto lapse = [&](const std::string& id) {
      directory.Remove(id, fixture.clock.Now(), milliseconds(2'200));
    };
    lapse("0");
    lapse("2");
    fixture.context.run_for(milliseconds(1'500));
    CHECK(fixture.endpoints.orders.empty());
    CHECK(fixture.ChainCount() == 1);

    SECTION("and are replaced when they do not") {
      for (int i = 0; i < 20; ++i) {
        directory.Expire(fixture.clock.Now());
        fixture.context.run_for(milliseconds(100));
      }
      REQUIRE(directory.Find("0") == nullptr);
      CHECK_FALSE(fixture.endpoints.orders.empty());
    }
  }
  SECTION("a holder that has lost all endpoints lets the lease lapse") {
    fixture.context.run_for(milliseconds(2'000));
    REQUIRE(fixture.ChainCount() == 1);
    for (const std::string id : {"0", "1", "2", "3"}) {
      fixture.state.OnUnreachable(id, fixture.clock.Now());
      fixture.state.directory().Suspect(id, fixture.clock.Now());
    }
    RelayState other{"south", RetryLimits{}};
    PlacementService<fakes::FaultyTable, FakeEndpoints, SteadyClock> successor{
        other, fixture.table, fixture.endpoints, fixture.clock, "run-2"};
    other.Accept(Configuration(1));
    asio::co_spawn(fixture.context, successor.Run(), asio::detached);
    const auto orders = fixture.endpoints.orders.size();
    fixture.context.run_for(milliseconds(5'000));
    CHECK(fixture.endpoints.orders.size() == orders);
    CHECK(successor.has_lease());
  }
  SECTION("an endpoint that does not respond gets no order") {
    fixture.endpoints.accelerators["10.0.0.1:0"].is_silent = true;
    fixture.context.run_for(milliseconds(2'200));
    REQUIRE(
        fixture.endpoints.accelerators["10.0.0.1:0"].report.layers.is_empty());
  }
}

TEST_CASE("state for a daemon that starts while the store is unreachable") {
  PeerState state;
  state.manifest_source = R"({"Version":7})";
  state.endpoints = {Endpoint("1"), Endpoint("2", "large")};
  state.endpoints[1].layers = {20, 50};
  state.endpoints[1].is_leaving = true;

  SECTION("is restored from its text") {
    const auto read = PeerState::Parse(state.ToText());
    REQUIRE(read->manifest_source == state.manifest_source);
    REQUIRE(read->endpoints == state.endpoints);
  }
  SECTION("is not parsed from malformed text") {
    const std::string text =
        GENERATE("", "[]", "{}", R"({"manifest":1,"endpoints":[]})",
                 R"({"manifest":"x","endpoints":[{}]})");
    REQUIRE_FALSE(PeerState::Parse(text).has_value());
  }
  SECTION("is used only while no list of endpoints is known") {
    FollowerFixture fixture;
    fixture.follower.UsePeerEndpoints(state.endpoints);
    REQUIRE(fixture.follower.has_endpoints());
    REQUIRE(fixture.state.directory().endpoints().size() == 2);
    fixture.follower.UsePeerEndpoints({});
    REQUIRE(fixture.state.directory().endpoints().size() == 2);
  }
}

TEST_CASE("messages between daemons") {
  SECTION("are restored from their text") {
    PeerMessage endpoint_message;
    endpoint_message.endpoint = "i-1";
    REQUIRE(PeerMessage::Parse(endpoint_message.ToText())->endpoint == "i-1");
    REQUIRE_FALSE(
        PeerMessage::Parse(endpoint_message.ToText())->slowness.has_value());
    endpoint_message.slowness = 2.5;
    REQUIRE(PeerMessage::Parse(endpoint_message.ToText())->slowness == 2.5);
    PeerMessage usage_message;
    usage_message.service = "s";
    usage_message.usage = {.requests = 7, .retries = 2};
    usage_message.revision = 12;
    const auto read = PeerMessage::Parse(usage_message.ToText());
    REQUIRE(read->service == "s");
    REQUIRE(read->usage.retries == 2);
    REQUIRE(read->revision == 12);
  }
  SECTION("about prompt parts are restored from their text") {
    PeerMessage message;
    message.trait.emplace();
    message.trait->trait = PromptPartId(0x5c1e07a2);
    message.trait->request_age = milliseconds(20);
    message.trait->trials = 2;
    const std::uint32_t crashes =
        GENERATE(0U, 2U, std::uint32_t{RequestQuarantine::kMaxReportedCrashes});
    for (std::uint32_t i = 0; i < crashes; ++i) {
      message.trait->crashes.push_back(
          {EndpointRun(~i), std::chrono::hours(23)});
    }
    if (crashes > 0) {
      message.trait->sound_age = std::chrono::hours(22);
      message.trait->trial_age = std::chrono::hours(21);
    }
    REQUIRE(message.ToText().size() <= 512);
    const auto read = PeerMessage::Parse(message.ToText())->trait;
    REQUIRE(read->trait == message.trait->trait);
    REQUIRE(read->request_age == milliseconds(20));
    REQUIRE(read->trials == 2);
    REQUIRE(read->sound_age == message.trait->sound_age);
    REQUIRE(read->trial_age == message.trait->trial_age);
    REQUIRE(read->crashes.size() == crashes);
    for (std::uint32_t i = 0; i < crashes; ++i) {
      REQUIRE(read->crashes[i].run == EndpointRun(~i));
      REQUIRE(read->crashes[i].age == std::chrono::hours(23));
    }
  }
  SECTION("about prompt parts are not parsed if they are malformed") {
    const std::string text = GENERATE(
        R"({"part":1,"crashes":{},"seen":1,"trials":0})",
        R"({"part":"x","crashes":{},"seen":1,"trials":0})",
        R"({"part":"a","seen":1,"trials":0})",
        R"({"part":"a","crashes":{"z":1},"seen":1,"trials":0})",
        R"({"part":"a","crashes":{"1":-1},"seen":1,"trials":0})",
        R"({"part":"a","crashes":{"1":1},"seen":999999999999,"trials":0})",
        R"({"part":"a","crashes":{"1":1},"seen":1,"trials":-1})");
    REQUIRE_FALSE(PeerMessage::Parse(text).has_value());
  }
  SECTION("are not parsed from malformed text") {
    const std::string text = GENERATE("", "x", "[]", "{}", "{\"trouble\":1}",
                                      "{\"service\":\"s\",\"requests\":-1}");
    REQUIRE_FALSE(PeerMessage::Parse(text).has_value());
  }
  SECTION("arrive, also when other addresses are malformed") {
    asio::io_context context{1};
    std::vector<std::string> received;
    PeerDatagrams sender(context, "127.0.0.1:0",
                         [](const PeerMessage&, const std::string&) {});
    PeerDatagrams receiver(context, "127.0.0.1:0",
                           [&](const PeerMessage& message, const std::string&) {
                             received.push_back(message.endpoint);
                           });
    asio::co_spawn(context, receiver.Run(), asio::detached);
    PeerMessage message;
    message.endpoint = "i-1";
    sender.Send({"nowhere", receiver.address(), sender.address()}, message);
    context.run_for(milliseconds(100));
    REQUIRE(received == std::vector<std::string>{"i-1"});
  }
}

}  // namespace
}  // namespace sycamoreford
