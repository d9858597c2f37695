// Decides what may be sent to endpoints that ask for pauses, without a network.
#include <map>
#include <string>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "sycamoreford/relay/endpoint_gate.h"

namespace sycamoreford {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{hours(1)};
const EndpointRunId kRun{"e1", 7};

EndpointRecord Record(const std::string& id, std::uint64_t started_at_ms) {
  EndpointRecord record;
  record.id = id;
  record.service = "model";
  record.started_at_ms = started_at_ms;
  return record;
}

struct GateFixture {
  EndpointDirectory directory;
  EndpointGate gate{directory};

  GateFixture() {
    gate.limits().SetDaemons(1, 1);
    directory.Upsert(Record("e1", 7));
    directory.Upsert(Record("e2", 7));
  }
  bool MaySendAnything(const std::string& id, TimePoint now) {
    bool may_send = false;
    for (const SendKind kind : {SendKind::kRequest, SendKind::kChosenRequest,
                                SendKind::kInspection, SendKind::kOrder}) {
      may_send = may_send || gate.MaySend(id, kind, now);
    }
    return may_send;
  }
};

TEST_CASE("a pause holds back all kinds of sends") {
  GateFixture fixture;
  EndpointGate& gate = fixture.gate;
  REQUIRE(gate.backoffs().Add(kRun, seconds(3), kStart));
  const TimePoint end = kStart + seconds(3);
  REQUIRE_FALSE(fixture.MaySendAnything("e1", kStart));
  REQUIRE_FALSE(fixture.MaySendAnything("e1", end - milliseconds(1)));
  REQUIRE(gate.Closed(kStart) == std::set<std::string>{"e1"});
  REQUIRE(gate.TimeUntilOpen("e1", kStart + seconds(1)) == seconds(2));

  SECTION("of this endpoint only") {
    REQUIRE(gate.MaySend("e2", SendKind::kRequest, kStart));
  }
  SECTION("until it ends") {
    for (const SendKind kind : {SendKind::kRequest, SendKind::kChosenRequest,
                                SendKind::kInspection, SendKind::kOrder}) {
      REQUIRE(gate.MaySend("e1", kind, end));
    }
    REQUIRE(gate.Closed(end).empty());
    REQUIRE(gate.backoffs().Expire(end) == std::vector{kRun});
    REQUIRE(gate.backoffs().size() == 0);
  }
  SECTION("also after a shorter one") {
    REQUIRE_FALSE(gate.backoffs().Add(kRun, seconds(1), kStart));
    REQUIRE_FALSE(fixture.MaySendAnything("e1", end - milliseconds(1)));
  }
  SECTION("until the end of a longer one") {
    REQUIRE_FALSE(gate.backoffs().Add(kRun, seconds(3), kStart + seconds(1)));
    REQUIRE_FALSE(fixture.MaySendAnything("e1", end + milliseconds(999)));
    REQUIRE(fixture.MaySendAnything("e1", end + seconds(1)));
  }
  SECTION("also after its entry was missing") {
    fixture.directory.Remove("e1", kStart, Duration::zero());
    fixture.directory.Upsert(Record("e1", 7));
    REQUIRE_FALSE(fixture.MaySendAnything("e1", kStart));
  }
  SECTION("but not of its next run") {
    fixture.directory.Upsert(Record("e1", 8));
    REQUIRE(gate.MaySend("e1", SendKind::kRequest, kStart));
    REQUIRE(gate.Closed(kStart).empty());
    // A late response of the run before changes nothing.
    gate.backoffs().Add({"e1", 8}, seconds(1), kStart);
    gate.backoffs().Add(kRun, seconds(9), kStart);
    REQUIRE(fixture.MaySendAnything("e1", kStart + seconds(1)));
  }
  SECTION("of an older run, which an outdated list shows") {
    fixture.directory.Upsert(Record("e1", 6));
    REQUIRE_FALSE(fixture.MaySendAnything("e1", kStart));
  }
  SECTION("while a limit allows them, and the reverse") {
    gate.limits().OnResponse("e1", 1'000, kStart, kStart);
    REQUIRE_FALSE(fixture.MaySendAnything("e1", end - milliseconds(1)));
    gate.limits().OnResponse("e1", 0.1, end, end);
    for (int i = 0; i < 5; ++i) {
      gate.limits().OnSent("e1", end);
    }
    REQUIRE_FALSE(gate.MaySend("e1", SendKind::kRequest, end));
    REQUIRE(gate.MaySend("e1", SendKind::kOrder, end));
  }
}

TEST_CASE(
    "a request that was chosen for an endpoint that leaves is held back") {
  GateFixture fixture;
  REQUIRE(fixture.gate.MaySend("e1", SendKind::kChosenRequest, kStart));
  fixture.directory.OnLeaving({.run = kRun});
  CHECK_FALSE(fixture.gate.MaySend("e1", SendKind::kChosenRequest, kStart));
  CHECK(fixture.gate.MaySend("e2", SendKind::kChosenRequest, kStart));
  // It still reports, and takes orders to give up layers.
  CHECK(fixture.gate.MaySend("e1", SendKind::kInspection, kStart));
  CHECK(fixture.gate.MaySend("e1", SendKind::kOrder, kStart));
}

TEST_CASE("pauses are bounded") {
  GateFixture fixture;
  EndpointBackoffs& backoffs = fixture.gate.backoffs();

  SECTION("in time") {
    backoffs.Add(kRun, hours(250'000), kStart);
    REQUIRE(backoffs.TimeLeft(kRun, kStart) == EndpointBackoffs::kMaxTime);
  }
  SECTION("in number: those that end first are dropped") {
    for (std::size_t i = 0; i <= EndpointBackoffs::kMaxEndpoints; ++i) {
      backoffs.Add({std::to_string(i), 1}, seconds(1 + i), kStart);
    }
    REQUIRE(backoffs.size() == EndpointBackoffs::kMaxEndpoints);
    REQUIRE(backoffs.TimeLeft({"0", 1}, kStart) == Duration::zero());
    REQUIRE(backoffs.TimeLeft({"1", 1}, kStart) == seconds(2));
  }
}

TEST_CASE("chains are rebuilt when a pause begins and when it ends") {
  GateFixture fixture;
  EndpointGate& gate = fixture.gate;
  const auto before = gate.version();
  gate.backoffs().Add(kRun, seconds(3), kStart);
  const auto begun = gate.version();
  REQUIRE(begun != before);
  REQUIRE(gate.Restricted(kStart).contains("e1"));
  gate.backoffs().Add(kRun, seconds(3), kStart + seconds(1));
  REQUIRE(gate.version() == begun);
  gate.backoffs().Expire(kStart + seconds(4));
  REQUIRE(gate.version() != begun);
  REQUIRE(gate.Restricted(kStart + seconds(4)).empty());
}

TEST_CASE("the next opening of several endpoints") {
  GateFixture fixture;
  EndpointGate& gate = fixture.gate;
  gate.backoffs().Add(kRun, seconds(3), kStart);
  GateOpening next = gate.NextOpening({"e1", "e2"}, kStart);
  REQUIRE_FALSE(next.are_all_closed);
  REQUIRE(next.is_backoff);
  REQUIRE(next.time_left == seconds(3));

  SECTION("is the first end of a pause") {
    gate.backoffs().Add({"e2", 7}, seconds(2), kStart);
    next = gate.NextOpening({"e1", "e2"}, kStart);
    REQUIRE(next.are_all_closed);
    REQUIRE(next.time_left == seconds(2));
  }
  SECTION("is when a limit allows a request") {
    gate.limits().OnResponse("e2", 1, kStart, kStart);
    next = gate.NextOpening({"e1", "e2"}, kStart);
    REQUIRE(next.are_all_closed);
    REQUIRE_FALSE(next.is_backoff);
    REQUIRE(next.time_left <= seconds(1));
  }
  SECTION("is none without endpoints") {
    next = gate.NextOpening({}, kStart);
    REQUIRE_FALSE(next.are_all_closed);
    REQUIRE(next.time_left == Duration::zero());
  }
}

TEST_CASE("nothing is sent in any pause, whatever is asked in which order") {
  REQUIRE(rc::check("the last end of all pauses of a run holds", [] {
    GateFixture fixture;
    std::map<std::string, TimePoint> ends;
    TimePoint now = kStart;
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 100'000));
    for (const std::uint32_t step : steps) {
      now += milliseconds(step % 700);
      const std::string id = step % 2 == 0 ? "e1" : "e2";
      if (step % 5 == 0) {
        const milliseconds time(step % 3'000);
        fixture.gate.backoffs().Add({id, 7}, time, now);
        ends[id] = std::max(ends[id], now + time);
      } else if (step % 5 == 1) {
        fixture.gate.backoffs().Expire(now);
      }
      const bool is_open = !ends.contains(id) || now >= ends[id];
      RC_ASSERT(fixture.MaySendAnything(id, now) == is_open);
      RC_ASSERT(fixture.gate.Closed(now).contains(id) == !is_open);
    }
  }));
}

}  // namespace
}  // namespace sycamoreford
