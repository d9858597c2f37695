// Many daemons of which a few read the store: what the others know, and when
// they read for themselves. Messages pass in memory, and are lost, doubled,
// late and out of order.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sycamoreford/adapters/peer_datagrams.h"
#include "sycamoreford/fleet/daemon_duty.h"
#include "sycamoreford/fleet/listed_endpoints.h"
#include "sycamoreford/fleet/store_feed.h"
#include "sycamoreford/fleet/store_teller.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr milliseconds kStep{10};

EndpointRecord Record(int id, std::uint32_t layers) {
  EndpointRecord record;
  record.id = "m" + std::to_string(id);
  record.layers = {0, layers};
  return record;
}

/// The list in the store.
struct Store {
  std::uint64_t era = 1;
  std::uint64_t position = 1;
  std::map<std::string, EndpointRecord> records;
  std::map<std::string, std::uint64_t> changed_at;
  bool is_away = false;
  int reads = 0;

  void Set(const EndpointRecord& record) {
    records.insert_or_assign(record.id, record);
    changed_at[record.id] = ++position;
  }
  void Remove(const std::string& id) {
    records.erase(id);
    changed_at[id] = ++position;
  }
  /// Comes back from a copy, in a new era.
  void Restore(const Store& copy) {
    const std::uint64_t next_era = era + 1;
    *this = copy;
    era = next_era;
  }
};

/// What `EndpointFollower` does with the decisions, without sockets.
struct Node {
  explicit Node(std::size_t number) : feed(milliseconds(number % 100)) {}

  void Read(Store& store, TimePoint now) {
    feed.OnTry(now);
    next_read = now + milliseconds(250);
    if (is_cut_off) {
      teller.OnStoreLost();
      return;
    }
    ++store.reads;
    if (store.is_away) {
      teller.OnStoreLost();
      return;
    }
    const StorePosition known = feed.position().value_or(StorePosition{});
    const bool is_whole = known.era < store.era;
    const std::uint64_t after = is_whole ? 0 : known.version;
    if (is_whole) {
      for (const std::string& id : list.Ids()) {
        if (!store.records.contains(id) && list.Remove(id)) {
          teller.OnRemoved(id, true, now);
        }
      }
    }
    for (const auto& [id, at] : store.changed_at) {
      if (at <= after) {
        continue;
      }
      const auto found = store.records.find(id);
      if (found == store.records.end()) {
        if (list.Remove(id)) {
          teller.OnRemoved(id, false, now);
        }
      } else if (list.Set(found->second)) {
        teller.OnChanged(found->second, now);
      }
    }
    feed.OnRead({.era = store.era, .version = store.position});
    teller.OnRead({.era = store.era, .version = store.position}, list.digest(),
                  now);
  }

  void Take(const StoreNews& news, TimePoint now) {
    teller.OnNews(news, now);
    if (is_reader || !feed.OnNews(news, now)) {
      return;
    }
    for (const EndpointRecord& record : news.changed) {
      list.Set(record);
    }
    for (const std::string& id : news.removed) {
      list.Remove(id);
    }
    feed.OnApplied(news, list.digest(), now);
  }

  StoreFeed feed;
  StoreTeller teller;
  ListedEndpoints list;
  TimePoint next_read = kStart;
  bool is_reader = false;
  bool is_cut_off = false;
  bool is_dead = false;
  std::size_t rank = 0;
};

struct Message {
  TimePoint at;
  std::size_t to;
  StoreNews news;
};

class Fleet {
 public:
  explicit Fleet(std::size_t count, std::size_t readers = 3) {
    for (std::size_t i = 0; i < count; ++i) {
      nodes.push_back(std::make_unique<Node>(i));
      nodes.back()->is_reader = i < readers;
      nodes.back()->rank = i;
    }
  }

  /// \param passes whether a message arrives, and how often and how late.
  template <class Passes>
  void RunFor(milliseconds time, Passes passes) {
    for (const TimePoint end = now + time; now < end; now += kStep) {
      Deliver();
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        Node& node = *nodes[i];
        if (node.is_dead) {
          continue;
        }
        const bool is_fed = !node.is_reader && node.feed.Covers(now);
        if (!is_fed && now >= node.next_read) {
          node.Read(store, now);
        }
        if (node.is_reader) {
          for (const StoreNews& news : node.teller.TakeDue(node.rank, 1, now)) {
            ++told;
            for (std::size_t to = 0; to < nodes.size(); ++to) {
              for (const milliseconds delay : passes(i, to)) {
                messages_.push_back({now + delay, to, news});
              }
            }
          }
        }
      }
    }
  }
  void RunFor(milliseconds time) {
    RunFor(time, [](std::size_t from, std::size_t to) {
      return from == to ? std::vector<milliseconds>()
                        : std::vector<milliseconds>{kStep};
    });
  }

  /// Daemons whose list is the one in the store.
  [[nodiscard]] std::size_t Current() const {
    ListedEndpoints whole;
    for (const auto& [id, record] : store.records) {
      whole.Set(record);
    }
    return static_cast<std::size_t>(std::count_if(
        nodes.begin(), nodes.end(),
        [&](const auto& it) { return it->list.digest() == whole.digest(); }));
  }

  Store store;
  std::vector<std::unique_ptr<Node>> nodes;
  TimePoint now = kStart;
  int told = 0;

 private:
  void Deliver() {
    std::vector<Message> due;
    std::erase_if(messages_, [&](Message& it) {
      if (it.at > now) {
        return false;
      }
      due.push_back(std::move(it));
      return true;
    });
    for (const Message& it : due) {
      if (!nodes[it.to]->is_dead) {
        nodes[it.to]->Take(it.news, now);
      }
    }
  }

  std::vector<Message> messages_;
};

TEST_CASE("what is read at rest does not grow with the daemons") {
  const auto count = GENERATE(30U, 69U, 195U, 390U);
  CAPTURE(count);
  Fleet fleet(count);
  for (int i = 0; i < 190; ++i) {
    fleet.store.Set(Record(i, 40));
  }
  fleet.RunFor(milliseconds(1'000));
  REQUIRE(fleet.Current() == count);
  fleet.store.reads = 0;
  fleet.told = 0;
  // Renewals change the position, not the list.
  for (int second = 0; second < 10; ++second) {
    ++fleet.store.position;
    fleet.RunFor(milliseconds(1'000));
  }
  // Three readers, four times a second each.
  CHECK(fleet.store.reads <= 10 * 3 * 4 + 3);
  // The first reader every 300 ms; the others now and then.
  CHECK(fleet.told <= 50);
  CHECK(fleet.Current() == count);
}

TEST_CASE("a change") {
  Fleet fleet(69);
  for (int i = 0; i < 60; ++i) {
    fleet.store.Set(Record(i, 40));
  }
  fleet.RunFor(milliseconds(1'000));
  const auto change = [&] {
    for (int i = 0; i < 20; ++i) {
      fleet.store.Set(Record(i, 20));
    }
    fleet.store.Remove("m30");
  };

  SECTION("is known to all soon") {
    change();
    fleet.store.reads = 0;
    fleet.RunFor(milliseconds(400));
    CHECK(fleet.Current() == 69);
    CHECK(fleet.store.reads <= 9);
  }
  SECTION("also if readers die at that moment") {
    const std::size_t dead = GENERATE(1U, 2U, 3U);
    for (std::size_t i = 0; i < dead; ++i) {
      fleet.nodes[i]->is_dead = true;
    }
    change();
    fleet.RunFor(dead < 3 ? milliseconds(900) : milliseconds(1'500));
    CHECK(fleet.Current() >= 69 - dead);
  }
  SECTION("also if readers are cut from the store") {
    const std::size_t cut_off = GENERATE(1U, 2U, 3U);
    for (std::size_t i = 0; i < cut_off; ++i) {
      fleet.nodes[i]->is_cut_off = true;
    }
    change();
    fleet.RunFor(milliseconds(4'000));
    CHECK(fleet.Current() >= 69 - cut_off);
  }
  SECTION("also if a reader is cut from the others only") {
    change();
    fleet.RunFor(milliseconds(1'500), [](std::size_t from, std::size_t to) {
      return from == to || from == 0 ? std::vector<milliseconds>()
                                     : std::vector<milliseconds>{kStep};
    });
    CHECK(fleet.Current() == 69);
  }
  SECTION("also without any message") {
    change();
    fleet.RunFor(milliseconds(1'500), [](std::size_t, std::size_t) {
      return std::vector<milliseconds>();
    });
    CHECK(fleet.Current() == 69);
  }
  SECTION("that was lost on the way is read") {
    change();
    fleet.RunFor(milliseconds(1'000), [&](std::size_t from, std::size_t to) {
      // The messages of the first 300 ms to one daemon are lost.
      const bool is_lost = to == 50 && fleet.now < kStart + milliseconds(1'300);
      return from == to || is_lost ? std::vector<milliseconds>()
                                   : std::vector<milliseconds>{kStep};
    });
    CHECK(fleet.Current() == 69);
  }
  SECTION("is not undone by a reader that is behind") {
    // It tells what stood in the store a second ago.
    StoreNews old = {
        .position = {.era = fleet.store.era, .version = fleet.store.position},
        .digest = 7};
    old.changed = {Record(1, 80)};
    change();
    fleet.RunFor(milliseconds(500));
    REQUIRE(fleet.Current() == 69);
    for (const auto& node : fleet.nodes) {
      node->Take(old, fleet.now);
    }
    CHECK(fleet.Current() == 69);
  }
}

TEST_CASE("while the store is away") {
  Fleet fleet(195);
  fleet.store.Set(Record(1, 40));
  fleet.RunFor(milliseconds(1'000));
  fleet.store.is_away = true;
  fleet.RunFor(milliseconds(1'500));
  fleet.store.reads = 0;
  fleet.RunFor(milliseconds(4'000));
  SECTION("few daemons try") {
    // Three readers four times a second, the others every two seconds.
    CHECK(fleet.store.reads <= 3 * 4 * 4 + 195 * 2 + 3);
  }
  SECTION("and all know soon when it is back") {
    fleet.store.is_away = false;
    fleet.store.Set(Record(1, 20));
    fleet.RunFor(milliseconds(600));
    CHECK(fleet.Current() == 195);
  }
}

// Guards against readers whose news seem older than what is known, as the store
// gives out versions again.
TEST_CASE("when the store comes back from a copy") {
  Fleet fleet(195);
  fleet.store.Set(Record(1, 40));
  fleet.RunFor(milliseconds(1'000));
  const Store copy = fleet.store;
  fleet.store.Set(Record(1, 20));
  fleet.store.Set(Record(2, 20));
  fleet.RunFor(milliseconds(1'000));
  REQUIRE(fleet.Current() == 195);
  fleet.store.Restore(copy);
  fleet.store.reads = 0;

  SECTION("all know its list soon") {
    fleet.RunFor(milliseconds(1'500));
    CHECK(fleet.Current() == 195);
  }
  SECTION("and what has changed in it since") {
    fleet.store.Set(Record(1, 60));
    fleet.RunFor(milliseconds(1'500));
    CHECK(fleet.Current() == 195);
  }
  SECTION("few read it") {
    fleet.RunFor(milliseconds(1'500));
    CHECK(fleet.store.reads < 195);
  }
}

TEST_CASE("positions and lists do not go back, whatever happens to messages") {
  const bool holds = rc::check([] {
    const auto count = *rc::gen::element<std::size_t>(20, 40);
    Fleet fleet(count);
    for (int i = 0; i < 10; ++i) {
      fleet.store.Set(Record(i, 40));
    }
    fleet.RunFor(milliseconds(1'000));
    std::vector<StorePosition> newest(count);
    const int rounds = *rc::gen::inRange(1, 8);
    for (int round = 0; round < rounds; ++round) {
      fleet.store.Set(Record(*rc::gen::inRange(0, 12),
                             *rc::gen::inRange<std::uint32_t>(1, 80)));
      if (*rc::gen::inRange(0, 4) == 0) {
        fleet.store.Remove("m" + std::to_string(*rc::gen::inRange(0, 12)));
      }
      const auto seed = *rc::gen::arbitrary<std::uint32_t>();
      std::uint32_t random = seed;
      fleet.RunFor(milliseconds(200), [&](std::size_t from, std::size_t to) {
        random = random * 1'664'525 + 1'013'904'223;
        const auto luck = random >> 24;
        if (from == to || luck < 40) {
          return std::vector<milliseconds>();
        }
        std::vector<milliseconds> delays = {kStep * (1 + luck % 40)};
        if (luck > 200) {
          delays.push_back(kStep * (luck % 70));
        }
        return delays;
      });
      for (std::size_t i = 0; i < count; ++i) {
        RC_ASSERT(fleet.nodes[i]->feed.newest() >= newest[i]);
        newest[i] = fleet.nodes[i]->feed.newest();
      }
    }
    // The longest delay, and what the bounds allow after it.
    fleet.RunFor(milliseconds(2'500));
    RC_ASSERT(fleet.Current() == count);
  });
  CHECK(holds);
}

TEST_CASE("news as datagrams") {
  PeerMessage message;
  message.news = StoreNews{.position = {.era = 1'000, .version = 7},
                           .digest = 0xffffffffffffffffU};
  message.news->revision = 3;
  for (int i = 0; i < static_cast<int>(StoreTeller::kChangesPerMessage); ++i) {
    EndpointRecord record = Record(i, 40);
    record.id = std::string(40, 'i');
    record.address = "255.255.255.255:65535";
    record.service = std::string(40, 's');
    record.data_centre = std::string(20, 'd');
    record.started_at_ms = 1'790'000'000'000;
    message.news->changed.push_back(record);
  }
  message.news->removed = {"m9"};
  const std::string text = message.ToText();
  CHECK(text.size() < 1'400);
  const auto parsed = PeerMessage::Parse(text);
  REQUIRE(parsed);
  REQUIRE(parsed->news);
  CHECK(parsed->news->digest == message.news->digest);
  CHECK(parsed->news->changed == message.news->changed);
  CHECK(parsed->news->removed == message.news->removed);

  SECTION("cut short are none") {
    for (std::size_t size = 0; size < text.size(); ++size) {
      CHECK_FALSE(PeerMessage::Parse(text.substr(0, size)));
    }
  }
  SECTION("with odd numbers are none") {
    for (const char* odd :
         {R"({"news":-1,"revision":1,"digest":"0"})",
          R"({"news":1,"revision":1e99,"digest":"0"})",
          R"({"news":1,"revision":1,"digest":"xyz"})",
          R"({"news":1,"revision":1,"digest":"0","changed":[["a"]]})",
          R"({"news":1,"revision":1,"digest":"0","removed":[1]})",
          R"({"found":"m1","start":-5,"lost":true})",
          R"({"found":"m1","start":5,"lost":false,"first":0})"}) {
      CAPTURE(odd);
      CHECK_FALSE(PeerMessage::Parse(odd));
    }
  }
}

}  // namespace
}  // namespace sycamoreford
