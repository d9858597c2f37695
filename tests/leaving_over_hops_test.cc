// What relays learn of endpoints that say in a response that they leave, if
// they get the response through another relay or do not know yet that the
// endpoint has started anew.
#include <chrono>
#include <cstdint>
#include <string>

#include <catch2/catch.hpp>

#include "support/event_stream.h"
#include "support/relay_network.h"

namespace sycamoreford {
namespace {

using fakes::EndpointScript;
using fakes::LinkState;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::RelayNetwork;

/// Time after which a relay that has passed on such a response must not send
/// requests to the endpoint any more.
constexpr milliseconds kDrainTime{2'000};
constexpr int kEvents = 4;

/// The endpoints' response. One that is leaving says so.
EndpointScript Respond(const HttpRequest& request,
                       bool is_leaving,
                       int break_after = kEvents) {
  const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
                           std::string(request.fields.Get("X-Attempt-Id")) +
                           "\r\nX-Response-Seal: s\r\n" +
                           (is_leaving ? "Server-Leaving: 1\r\n" : "");
  if (!request.target.starts_with("/stream")) {
    return {fakes::Send(head + "Content-Length: 4\r\n\r\nbody"),
            fakes::Close()};
  }
  EndpointScript script = {fakes::Send(head +
                                       "Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n")};
  const std::string last(request.fields.Get("Last-Event-Id"));
  for (int id = last.empty() ? 0 : std::stoi(last) + 1; id < kEvents; ++id) {
    if (id == break_after) {
      script.push_back(fakes::Reset());
      return script;
    }
    script.push_back(fakes::Send(support::Part(support::Event(id))));
    script.push_back(fakes::Wait(milliseconds(40)));
  }
  script.push_back(fakes::Send(support::BodyEnd()));
  script.push_back(fakes::Close());
  return script;
}

std::string WholeStream() {
  std::string events;
  for (int id = 0; id < kEvents; ++id) {
    events += support::Event(id);
  }
  return events;
}

TEST_CASE("a stream that moved behind another relay names who leaves") {
  // The first endpoint breaks streams, the other one resumes them and leaves.
  RelayNetwork network(3, 2, [](std::size_t endpoint, const HttpRequest& it) {
    return endpoint == 0 ? Respond(it, false, 2) : Respond(it, true);
  });
  // The messages in which relays tell each other are lost.
  for (const auto& relay : network.relays) {
    relay->state.leaving().SetNotifier([](const LeavingRun&) {});
  }
  network.SetLinks(0, LinkState::kRefusing);
  network.RunFor(milliseconds(100));
  network.StartLoad(1, {"/stream/"}, milliseconds(200));
  network.RunFor(seconds(2));
  network.StopLoad();
  network.RunFor(seconds(1));
  REQUIRE_FALSE(network.arrivals[1].empty());
  const auto moved = network.ResponseOf(network.arrivals[1].front().id);
  REQUIRE(moved.body == WholeStream());

  // Its own links are back, and the first endpoint is gone.
  network.SetLinks(0, LinkState::kUp);
  network.relays[0]->state.directory().Remove(
      "model0", network.relays[0]->clock.Now(), Duration::zero());
  network.RunFor(kDrainTime);
  const std::size_t before = network.arrivals[1].size();
  for (int i = 0; i < 10; ++i) {
    network.Send(0, "/stream/late" + std::to_string(i));
    network.RunFor(milliseconds(200));
  }
  CHECK(network.arrivals[1].size() == before);
}

/// Milliseconds since the epoch.
std::uint64_t WallClock(seconds ago) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
          (std::chrono::system_clock::now() - ago).time_since_epoch())
          .count());
}

TEST_CASE("an endpoint that leaves is known although its list entry is older") {
  const std::string path = GENERATE("/safe/", "/stream/");
  CAPTURE(path);
  bool is_leaving = true;
  RelayNetwork network(2, 1, [&](std::size_t, const HttpRequest& request) {
    return Respond(request, is_leaving);
  });
  const std::uint64_t older = WallClock(seconds(60));
  const std::uint64_t newer = WallClock(seconds(5));
  const auto announce = [&](std::uint64_t started_at_ms) {
    network.Announce(0, 0, started_at_ms);
    network.Announce(1, 0, started_at_ms);
  };
  announce(older);
  network.SetReportedStart(0, newer);
  const auto send_late = [&](std::size_t relay) {
    for (int i = 0; i < 5; ++i) {
      network.Send(relay, path + "late" + std::to_string(i));
      network.RunFor(milliseconds(300));
    }
  };

  SECTION("to the relay that got its response") {
    network.Send(0, path + "1");
    network.RunFor(seconds(1));
    REQUIRE(network.arrivals[0].size() == 1);
    announce(newer);
    network.RunFor(kDrainTime);
    send_late(0);
    CHECK(network.arrivals[0].size() == 1);
  }
  SECTION("to a relay that got its response through another one") {
    network.SetLinks(0, LinkState::kRefusing);
    network.Announce(1, 0, newer);
    network.RunFor(milliseconds(600));
    for (int i = 0; i < 12; ++i) {
      network.Send(0, path + std::to_string(i));
      network.RunFor(milliseconds(300));
    }
    REQUIRE(network.arrivals[0].size() == 1);
    network.SetLinks(0, LinkState::kUp);
    // Longer than a suspicion.
    network.RunFor(kDrainTime + seconds(3));
    send_late(0);
    CHECK(network.arrivals[0].size() == 1);
  }
  SECTION("and one that starts after it has said so is used") {
    network.Send(0, path + "1");
    network.RunFor(milliseconds(500));
    REQUIRE(network.arrivals[0].size() == 1);
    is_leaving = false;
    const std::uint64_t newest = WallClock(seconds(0));
    network.SetReportedStart(0, newest);
    announce(newest);
    network.Send(0, path + "2");
    network.RunFor(milliseconds(500));
    CHECK(network.arrivals[0].size() == 2);
  }
}

// Guards against a response that was on the way while the endpoint started
// anew, as to a relay that was frozen meanwhile.
TEST_CASE("a run that started after a request is not the one that responds") {
  const std::string path = GENERATE("/safe/", "/stream/");
  const bool is_forwarded = GENERATE(false, true);
  CAPTURE(path, is_forwarded);
  bool is_leaving = false;
  RelayNetwork network(2, 1, [&](std::size_t, const HttpRequest& request) {
    EndpointScript script = Respond(request, is_leaving);
    if (is_leaving) {
      script.insert(script.begin(), fakes::Wait(milliseconds(500)));
    }
    return script;
  });
  const auto announce = [&](std::uint64_t started_at_ms) {
    network.SetReportedStart(0, started_at_ms);
    network.Announce(0, 0, started_at_ms);
    network.Announce(1, 0, started_at_ms);
  };
  announce(WallClock(seconds(60)));
  if (is_forwarded) {
    network.SetLinks(0, LinkState::kRefusing);
    network.RunFor(milliseconds(600));
    for (int i = 0; i < 12; ++i) {
      network.Send(0, path + std::to_string(i));
      network.RunFor(milliseconds(300));
    }
  }

  is_leaving = true;
  const std::string late = network.Send(0, path + "late");
  network.RunFor(milliseconds(200));
  is_leaving = false;
  announce(WallClock(seconds(0)));
  network.RunFor(seconds(1));
  REQUIRE(network.ResponseOf(late).status == 200);

  network.SetLinks(0, LinkState::kUp);
  // Longer than a suspicion.
  network.RunFor(seconds(5));
  for (const std::size_t relay : {0U, 1U}) {
    CAPTURE(relay);
    const std::string id = network.Send(relay, path + "after");
    network.RunFor(seconds(1));
    CHECK(network.ResponseOf(id).status == 200);
  }
}

// Guards against a run that is refused for good as the clock by which it states
// its start is behind that of a relay.
TEST_CASE("an endpoint that starts again is used although clocks differ") {
  const std::string path = GENERATE("/safe/", "/stream/");
  const auto behind = GENERATE(milliseconds(0), milliseconds(2'400));
  const bool is_forwarded = GENERATE(false, true);
  CAPTURE(path, behind.count(), is_forwarded);
  bool is_leaving = false;
  RelayNetwork network(2, 1, [&](std::size_t, const HttpRequest& request) {
    return Respond(request, is_leaving);
  });
  const auto announce = [&] {
    const std::uint64_t started_at_ms =
        WallClock(seconds(0)) - static_cast<std::uint64_t>(behind.count());
    network.SetReportedStart(0, started_at_ms);
    network.Announce(0, 0, started_at_ms);
    network.Announce(1, 0, started_at_ms);
  };
  announce();
  if (is_forwarded) {
    network.Send(1, path + "1");
    network.SetLinks(0, LinkState::kRefusing);
    network.RunFor(seconds(3));
  }

  is_leaving = true;
  const std::string last = network.Send(0, path + "last");
  network.RunFor(milliseconds(500));
  REQUIRE(network.ResponseOf(last).status == 200);
  is_leaving = false;
  announce();
  network.SetLinks(0, LinkState::kUp);
  // Longer than a suspicion.
  network.RunFor(seconds(5));
  for (const std::size_t relay : {0U, 1U}) {
    CAPTURE(relay);
    const std::string id = network.Send(relay, path + "after");
    network.RunFor(seconds(1));
    CHECK(network.ResponseOf(id).status == 200);
  }
}

// Guards against a run that is too young for the list and for clocks that may
// differ, but says itself which one it is.
TEST_CASE(
    "an endpoint that leaves right after its start is told by its report") {
  RelayNetwork network(2, 1, [](std::size_t, const HttpRequest& request) {
    return Respond(request, true);
  });
  const auto announce = [&](std::uint64_t started_at_ms) {
    network.Announce(0, 0, started_at_ms);
    network.Announce(1, 0, started_at_ms);
  };
  const std::uint64_t newer = WallClock(seconds(1));
  announce(WallClock(seconds(60)));
  network.SetReportedLeaving(0, newer);
  network.Send(0, "/stream/1");
  network.RunFor(seconds(1));
  REQUIRE(network.arrivals[0].size() == 1);
  announce(newer);
  // Longer than a suspicion.
  network.RunFor(kDrainTime + seconds(3));
  for (const std::size_t relay : {0U, 1U}) {
    network.Send(relay, "/stream/late" + std::to_string(relay));
    network.RunFor(milliseconds(300));
  }
  CHECK(network.arrivals[0].size() == 1);
}

}  // namespace
}  // namespace sycamoreford
