// What daemons remember and tell each other of endpoints that leave.
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "sycamoreford/adapters/leaving_announcer.h"
#include "sycamoreford/adapters/peer_datagrams.h"
#include "sycamoreford/fleet/endpoint_directory.h"
#include "sycamoreford/fleet/leaving_endpoints.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

EndpointRecord Record(const std::string& id, std::uint64_t started_at_ms) {
  EndpointRecord record;
  record.id = id;
  record.service = "s";
  record.address = "10.0.0.1:1";
  record.started_at_ms = started_at_ms;
  return record;
}

TEST_CASE("a run of an endpoint that leaves") {
  EndpointDirectory directory;
  directory.Upsert(Record("a", 1));
  const auto is_usable = [&] {
    const KnownEndpoint* known = directory.Find("a");
    return known != nullptr && known->IsUsable(kStart);
  };
  REQUIRE(is_usable());
  const auto version = directory.version();
  REQUIRE(directory.OnLeaving({.run = {"a", 1}}));

  SECTION("is not used any more") {
    CHECK_FALSE(is_usable());
    CHECK(directory.version() != version);
    CHECK_FALSE(directory.OnLeaving({.run = {"a", 1}}));
  }
  SECTION("is not used although the list says that it is sound") {
    directory.Upsert(Record("a", 1));
    CHECK_FALSE(is_usable());
    directory.Remove("a", kStart, Duration::zero());
    directory.Upsert(Record("a", 1));
    CHECK_FALSE(is_usable());
    directory.Replace({}, kStart, Duration::zero());
    directory.Replace({Record("a", 1)}, kStart, Duration::zero());
    CHECK_FALSE(is_usable());
  }
  SECTION("is not used after it has moved to another address") {
    EndpointRecord moved = Record("a", 1);
    moved.address = "10.0.0.2:1";
    directory.Upsert(moved);
    CHECK_FALSE(is_usable());
  }
  SECTION("does not speak for the next one, nor that one for it") {
    directory.Upsert(Record("a", 2));
    CHECK(is_usable());
    CHECK_FALSE(directory.OnLeaving({.run = {"a", 1}}));
    CHECK(is_usable());
    directory.Upsert(Record("a", 1));
    CHECK_FALSE(is_usable());
  }
  SECTION("is known while the list shows the run before") {
    directory.Upsert(Record("b", 3));
    CHECK(directory.OnLeaving({.run = {"b", 7}}));
    CHECK_FALSE(directory.Find("b")->IsUsable(kStart));
    directory.Upsert(Record("b", 7));
    CHECK_FALSE(directory.Find("b")->IsUsable(kStart));
    directory.Upsert(Record("b", 8));
    CHECK(directory.Find("b")->IsUsable(kStart));
  }
  SECTION("is forgotten only when no run that it speaks for is listed") {
    directory.OnLeaving({.run = {"b", 10}});
    directory.Upsert(Record("b", 7));
    directory.Expire(kStart);
    directory.Expire(kStart + minutes(60));
    directory.Upsert(Record("b", 7));
    CHECK_FALSE(directory.Find("b")->IsUsable(kStart));
    CHECK(directory.leaving().Contains({"b", 7}));
    directory.Upsert(Record("b", 11));
    directory.Expire(kStart + minutes(61));
    directory.Expire(kStart + minutes(72));
    CHECK_FALSE(directory.leaving().Contains({"b", 7}));
  }
  SECTION("is known before it is listed") {
    CHECK(directory.OnLeaving({.run = {"b", 7}}));
    directory.Upsert(Record("b", 7));
    CHECK_FALSE(directory.Find("b")->IsUsable(kStart));
  }
  SECTION("is also known from the list") {
    EndpointRecord listed = Record("b", 7);
    listed.is_leaving = true;
    directory.Upsert(listed);
    directory.Remove("b", kStart, Duration::zero());
    directory.Upsert(Record("b", 7));
    CHECK_FALSE(directory.Find("b")->IsUsable(kStart));
  }
}

// Guards against a run that is refused for good on the word of a clock.
TEST_CASE("what is concluded from clocks does not hold for long") {
  EndpointDirectory directory;
  directory.Upsert(Record("a", 1));
  directory.Expire(kStart);
  REQUIRE(directory.OnLeaving({.run = {"a", 1}, .until_ms = 50}));
  directory.Upsert(Record("a", 40));
  const auto is_usable = [&](TimePoint now) {
    return directory.Find("a")->IsUsable(now);
  };
  directory.Expire(kStart + seconds(1));
  REQUIRE_FALSE(is_usable(kStart + seconds(1)));
  const TimePoint end = kStart + seconds(1) + LeavingEndpoints::kMaxStop;

  SECTION("for longer than a run takes to stop") {
    directory.Expire(end - seconds(1));
    CHECK_FALSE(is_usable(end - seconds(1)));
    const auto version = directory.version();
    directory.Expire(end);
    CHECK(is_usable(end));
    CHECK(directory.version() != version);
  }
  SECTION("unless the run says so itself") {
    REQUIRE(directory.OnLeaving({.run = {"a", 40}}) == false);
    EndpointRecord listed = Record("a", 40);
    listed.is_leaving = true;
    directory.Upsert(listed);
    directory.Expire(end);
    CHECK_FALSE(is_usable(end));
  }
  SECTION("and never ends that of the run that was asked") {
    directory.Expire(end);
    directory.Upsert(Record("a", 1));
    CHECK_FALSE(is_usable(end));
  }
}

TEST_CASE("what is remembered of leaving endpoints is bounded") {
  LeavingEndpoints leaving;
  SECTION("in number") {
    constexpr std::size_t kMax = LeavingEndpoints::kMaxEndpoints;
    for (std::uint64_t i = 0; i <= kMax; ++i) {
      CHECK(leaving.Add({.run = {"e" + std::to_string(i), i}}));
    }
    CHECK(leaving.size() == kMax);
    CHECK_FALSE(leaving.Contains({"e0", 0}));
    CHECK(leaving.Contains({"e1", 1}));
    CHECK(leaving.Latest(2) ==
          std::vector<LeavingRun>{
              {.run = {"e" + std::to_string(kMax), kMax}, .until_ms = kMax},
              {.run = {"e" + std::to_string(kMax - 1), kMax - 1},
               .until_ms = kMax - 1}});
  }
  SECTION("in time, from when the run is no longer listed") {
    leaving.Add({.run = {"e", 1}});
    bool is_listed = true;
    const auto check = [&](const std::string&) { return is_listed; };
    leaving.Expire(kStart, check);
    leaving.Expire(kStart + minutes(60), check);
    is_listed = false;
    const TimePoint unlisted = kStart + minutes(61);
    leaving.Expire(unlisted, check);
    leaving.Expire(unlisted + LeavingEndpoints::kMemory - seconds(1), check);
    CHECK(leaving.Contains({"e", 1}));
    leaving.Expire(unlisted + LeavingEndpoints::kMemory, check);
    CHECK_FALSE(leaving.Contains({"e", 1}));
  }
}

TEST_CASE("a message about leaving endpoints") {
  PeerMessage message;
  for (std::uint64_t i = 0; i < LeavingAnnouncer::kRunsPerMessage; ++i) {
    message.leaving.push_back(
        {.run = {"i-0123456789abcdef0123456789abcdef", 1'790'000'000'000 + i},
         .until_ms = 1'790'000'009'000 + i});
  }
  const std::string text = message.ToText();
  CHECK(text.size() <= 512);
  const auto parsed = PeerMessage::Parse(text);
  REQUIRE(parsed);
  CHECK(parsed->leaving == message.leaving);
  CHECK_FALSE(PeerMessage::Parse(R"({"leaving":[{"endpoint":"a"}]})"));
  CHECK_FALSE(PeerMessage::Parse(R"({"leaving":3})"));
}

TEST_CASE("few daemons tell of endpoints of which all learn at once") {
  constexpr std::size_t kDaemons = 390;
  constexpr std::uint32_t kIntervalFactor = 1 + kDaemons / 20;
  constexpr std::uint64_t kEndpoints = 20;
  constexpr milliseconds kLatency{2};
  boost::asio::io_context context;
  std::vector<std::unique_ptr<LeavingAnnouncer>> daemons;
  std::size_t messages = 0;
  const auto deliver =
      [&](std::vector<LeavingRun> runs) -> boost::asio::awaitable<void> {
    co_await Pause(kLatency);
    for (const auto& daemon : daemons) {
      for (const LeavingRun& leaving : runs) {
        daemon->OnTold(leaving.run);
      }
    }
  };
  for (std::size_t i = 0; i < kDaemons; ++i) {
    daemons.push_back(std::make_unique<LeavingAnnouncer>(
        context, [&](const std::vector<LeavingRun>& runs) {
          ++messages;
          boost::asio::co_spawn(context, deliver(runs), boost::asio::detached);
        }));
  }
  std::uint64_t heard_at_ms = 1'790'000'000'000;
  for (const auto& daemon : daemons) {
    // Each hears of it at a time of its own.
    ++heard_at_ms;
    for (std::uint64_t run = 0; run < kEndpoints; ++run) {
      daemon->Add({.run = {"e", run}, .until_ms = heard_at_ms},
                  kIntervalFactor);
    }
  }
  context.run_for(milliseconds(1'500));
  // One daemon's messages suffice; some others have sent theirs before.
  CHECK(messages >= kEndpoints / LeavingAnnouncer::kRunsPerMessage);
  CHECK(messages <= 8 * kEndpoints / LeavingAnnouncer::kRunsPerMessage);
}

}  // namespace
}  // namespace sycamoreford
