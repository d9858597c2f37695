// The loops that follow the store and place layers, against a store and
// endpoints that lose history, go away, and carry orders out late.
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

/// A store that answers what the test has queued, and then waits.
class QueuedStore {
 public:
  std::deque<Result<ManifestListing>> manifests;
  std::deque<Result<EndpointListing>> endpoints;
  int whole_reads = 0;
  int whole_configuration_reads = 0;
  /// Whether polls for the configuration stay without an answer.
  bool polls_hang = false;
  milliseconds endpoint_wait{0};

  asio::awaitable<Result<ManifestListing>> ReadManifest() {
    ++whole_configuration_reads;
    co_return co_await Next(manifests);
  }
  asio::awaitable<Result<ManifestListing>> AwaitManifest(std::uint64_t,
                                                         milliseconds) {
    while (polls_hang) {
      co_await Pause(milliseconds(5));
    }
    co_return co_await Next(manifests);
  }
  asio::awaitable<Result<EndpointListing>> ReadEndpoints() {
    ++whole_reads;
    co_return co_await Next(endpoints);
  }
  asio::awaitable<Result<EndpointListing>> AwaitEndpoints(std::uint64_t,
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

const Failure kAway{.code = Errc::kTableUnavailable, .where = "test"};

struct Followed {
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
  listing.position = position;
  listing.removed = std::move(removed);
  return listing;
}

TEST_CASE("following the configuration") {
  Followed it;
  asio::co_spawn(it.context, it.follower.FollowManifest(), asio::detached);
  const auto push = [&](std::uint64_t revision) {
    ManifestListing listing;
    listing.manifest = Configuration(revision);
    it.store.manifests.emplace_back(listing);
  };

  SECTION("only higher revisions are taken") {
    push(3);
    push(7);
    push(5);
    it.RunFor(milliseconds(100));
    REQUIRE(it.state.manifest()->revision() == 7);
  }
  SECTION("what is known stays in force while the store is away") {
    push(3);
    it.store.manifests.emplace_back(kAway);
    it.store.manifests.emplace_back(kAway);
    it.RunFor(milliseconds(100));
    REQUIRE(it.state.manifest()->revision() == 3);

    SECTION("another daemon has a newer one, and the poll has no answer") {
      it.store.polls_hang = true;
      it.RunFor(milliseconds(600));
      it.store.manifests.clear();
      push(5);
      asio::co_spawn(it.context, it.follower.CatchUp(5), asio::detached);
      asio::co_spawn(it.context, it.follower.CatchUp(5), asio::detached);
      it.RunFor(milliseconds(600));
      REQUIRE(it.state.manifest()->revision() == 5);
      REQUIRE(it.store.whole_configuration_reads == 2);
    }
    SECTION("another daemon has one that is known already") {
      asio::co_spawn(it.context, it.follower.CatchUp(3), asio::detached);
      it.RunFor(milliseconds(600));
      REQUIRE(it.store.whole_configuration_reads == 1);
    }
    SECTION("and the next is taken when it is back") {
      push(4);
      it.RunFor(milliseconds(600));
      REQUIRE(it.state.manifest()->revision() == 4);
    }
  }
}

TEST_CASE("following the list of endpoints") {
  Followed it;
  EndpointDirectory& directory = it.state.directory();
  asio::co_spawn(it.context, it.follower.FollowEndpoints(), asio::detached);
  it.store.endpoints.emplace_back(Listing({Endpoint("1"), Endpoint("2")}, 10));
  it.RunFor(milliseconds(50));
  REQUIRE(it.follower.has_endpoints());
  REQUIRE(directory.endpoints().size() == 2);

  SECTION("a poll without an answer is noticed within three seconds") {
    it.RunFor(milliseconds(400));
    REQUIRE(it.store.endpoint_wait > milliseconds(0));
    REQUIRE(it.store.endpoint_wait <= milliseconds(2'000));
  }
  SECTION("one is removed") {
    it.store.endpoints.emplace_back(Listing({}, 11, {"1"}));
    it.RunFor(milliseconds(400));
    REQUIRE(directory.Find("1") == nullptr);
  }
  SECTION("the history is gone, and one was removed in the gap") {
    EndpointListing gap;
    gap.has_gap = true;
    it.store.endpoints.emplace_back(gap);
    it.store.endpoints.emplace_back(Listing({Endpoint("2")}, 15));
    it.RunFor(milliseconds(400));
    REQUIRE(it.store.whole_reads == 2);
    REQUIRE(directory.Find("1") == nullptr);
  }
  SECTION("a stale copy is read after a gap") {
    EndpointListing gap;
    gap.has_gap = true;
    it.store.endpoints.emplace_back(Listing({Endpoint("3")}, 14));
    it.store.endpoints.emplace_back(gap);
    it.store.endpoints.emplace_back(Listing({Endpoint("1")}, 9));
    it.store.endpoints.emplace_back(
        Listing({Endpoint("1"), Endpoint("2"), Endpoint("3")}, 14));
    it.RunFor(milliseconds(900));
    REQUIRE(it.store.whole_reads == 3);
    REQUIRE(directory.endpoints().size() == 3);
  }
  SECTION("entries lapsed while the store was away") {
    it.store.endpoints.emplace_back(kAway);
    it.store.endpoints.emplace_back(Listing({}, 20, {"1", "2"}));
    it.RunFor(milliseconds(600));
    REQUIRE(directory.Find("1")->IsUsable(it.clock.Now()));
  }
}

/// Endpoints that hold layers as they are ordered.
class OrderedEndpoints {
 public:
  struct Card {
    EndpointReport report;
    bool is_silent = false;
  };
  std::map<std::string, Card> cards;
  std::vector<LayerOrder> orders;
  /// Orders to cards that are slower than the directory says.
  int orders_of_unknown_pace = 0;
  FencingToken highest{};
  RelayState* state = nullptr;

  asio::awaitable<Result<EndpointReport>> FetchReport(
      const std::string& address) {
    const Card& card = cards[address];
    if (card.is_silent) {
      co_return Failure{.code = Errc::kStalled};
    }
    co_return card.report;
  }

  asio::awaitable<Result<OrderOutcome>> SendOrder(const std::string& address,
                                                  const LayerOrder& order) {
    Card& card = cards[address];
    orders.push_back(order);
    const std::string ordered = address.substr(address.find(':') + 1);
    if (card.report.slowness > state->directory().Find(ordered)->slowness) {
      ++orders_of_unknown_pace;
    }
    if (order.fencing < highest) {
      co_return OrderOutcome::kFenced;
    }
    highest = order.fencing;
    if (order.expected_sequence != card.report.order_sequence) {
      co_return OrderOutcome::kConflict;
    }
    ++card.report.order_sequence;
    card.report.layers = order.layers;
    const std::string id = address.substr(address.find(':') + 1);
    state->directory().OnLayers(id, order.layers);
    co_return OrderOutcome::kBegun;
  }
};

struct Placed {
  asio::io_context context{1};
  SteadyClock clock;
  RelayState state{"north", RetryLimits{}};
  fakes::FakeTable rows;
  fakes::FaultyTable table{rows};
  OrderedEndpoints endpoints;
  PlacementService<fakes::FaultyTable, OrderedEndpoints, SteadyClock> service{
      state, table, endpoints, clock, "run-1"};

  Placed() {
    endpoints.state = &state;
    state.Accept(Configuration(1));
    for (int i = 0; i < 4; ++i) {
      state.directory().Upsert(Endpoint(std::to_string(i), "large"));
    }
    asio::co_spawn(context, service.Run(), asio::detached);
  }
  [[nodiscard]] std::size_t ChainCount() {
    return state.Chains(state.manifest()->services().front(), clock.Now())
        .chains()
        .size();
  }
};

TEST_CASE("placing layers under the lease") {
  Placed it;

  SECTION("the holder waits for the list to settle, and places a chain") {
    it.context.run_for(milliseconds(800));
    REQUIRE(it.endpoints.orders.empty());
    it.context.run_for(milliseconds(1'200));
    REQUIRE_FALSE(it.endpoints.orders.empty());
    REQUIRE(it.ChainCount() >= 1);

    SECTION("a plan that holds is ordered once") {
      const std::size_t orders = it.endpoints.orders.size();
      it.context.run_for(milliseconds(1'000));
      REQUIRE(it.endpoints.orders.size() == orders);
    }
  }

  SECTION("without the table nobody gives orders") {
    it.table.SetFault(fakes::TableFault::kUnavailable);
    it.context.run_for(milliseconds(2'500));
    REQUIRE(it.endpoints.orders.empty());
  }

  SECTION("another has given orders under a higher number") {
    it.endpoints.highest = FencingToken(9);
    it.context.run_for(milliseconds(2'200));
    REQUIRE_FALSE(it.endpoints.orders.empty());
    REQUIRE(it.ChainCount() == 0);
  }

  SECTION("a card is lost when all others have turned slow") {
    it.context.run_for(milliseconds(2'200));
    REQUIRE(it.ChainCount() == 1);
    for (auto& [address, card] : it.endpoints.cards) {
      card.report.slowness = 12;
    }
    it.endpoints.orders.clear();
    it.state.directory().Remove("0", it.clock.Now(), Duration::zero());
    it.context.run_for(milliseconds(1'700));
    THEN("they are taken, but only once that is known") {
      REQUIRE_FALSE(it.endpoints.orders.empty());
      REQUIRE(it.endpoints.orders_of_unknown_pace == 0);
    }
  }

  SECTION("an endpoint that does not answer gets no order") {
    it.endpoints.cards["10.0.0.1:0"].is_silent = true;
    it.context.run_for(milliseconds(2'200));
    REQUIRE(it.endpoints.cards["10.0.0.1:0"].report.layers.is_empty());
  }
}

TEST_CASE("what a daemon hands to one that starts while the store is away") {
  PeerState state;
  state.manifest_source = R"({"Version":7})";
  state.endpoints = {Endpoint("1"), Endpoint("2", "large")};
  state.endpoints[1].layers = {20, 50};
  state.endpoints[1].is_leaving = true;

  SECTION("reads back") {
    const auto read = PeerState::Parse(state.ToText());
    REQUIRE(read->manifest_source == state.manifest_source);
    REQUIRE(read->endpoints == state.endpoints);
  }
  SECTION("wrong bytes are refused") {
    const std::string text =
        GENERATE("", "[]", "{}", R"({"manifest":1,"endpoints":[]})",
                 R"({"manifest":"x","endpoints":[{}]})");
    REQUIRE_FALSE(PeerState::Parse(text).has_value());
  }
  SECTION("is taken only as long as the store's list was not read") {
    Followed it;
    it.follower.UsePeerEndpoints(state.endpoints);
    REQUIRE(it.follower.has_endpoints());
    REQUIRE(it.state.directory().endpoints().size() == 2);
    it.follower.UsePeerEndpoints({});
    REQUIRE(it.state.directory().endpoints().size() == 2);
  }
}

TEST_CASE("what daemons tell each other") {
  SECTION("messages read back") {
    PeerMessage trouble;
    trouble.endpoint = "i-1";
    REQUIRE(PeerMessage::Parse(trouble.ToText())->endpoint == "i-1");
    REQUIRE_FALSE(PeerMessage::Parse(trouble.ToText())->slowness.has_value());
    trouble.slowness = 2.5;
    REQUIRE(PeerMessage::Parse(trouble.ToText())->slowness == 2.5);
    PeerMessage used;
    used.service = "s";
    used.usage = {.requests = 7, .retries = 2};
    used.revision = 12;
    const auto read = PeerMessage::Parse(used.ToText());
    REQUIRE(read->service == "s");
    REQUIRE(read->usage.retries == 2);
    REQUIRE(read->revision == 12);
  }
  SECTION("other bytes are no message") {
    const std::string text = GENERATE("", "x", "[]", "{}", "{\"trouble\":1}",
                                      "{\"service\":\"s\",\"requests\":-1}");
    REQUIRE_FALSE(PeerMessage::Parse(text).has_value());
  }
  SECTION("datagrams arrive, also after wrong ones and wrong addresses") {
    asio::io_context context{1};
    std::vector<std::string> heard;
    PeerDatagrams one(context, "127.0.0.1:0",
                      [](const PeerMessage&, const std::string&) {});
    PeerDatagrams two(context, "127.0.0.1:0",
                      [&](const PeerMessage& message, const std::string&) {
                        heard.push_back(message.endpoint);
                      });
    asio::co_spawn(context, two.Run(), asio::detached);
    PeerMessage message;
    message.endpoint = "i-1";
    one.Send({"nowhere", two.address(), one.address()}, message);
    context.run_for(milliseconds(100));
    REQUIRE(heard == std::vector<std::string>{"i-1"});
  }
}

}  // namespace
}  // namespace sycamoreford
