// Membership views converge after failures: a daemon that has stopped is no
// longer counted as alive, and one that runs again is.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "fakes/gossip_network.h"

namespace sycamoreford {
namespace {

using fakes::GossipNetwork;

constexpr std::chrono::seconds kConvergenceTime{30};

/// Checks that every running daemon counts exactly the running ones as alive.
void CheckConverged(GossipNetwork& network) {
  const std::size_t live = network.RunningCount();
  for (std::size_t i = 0; i < network.size(); ++i) {
    if (network.IsRunning(i)) {
      RC_ASSERT(network.view(i).LiveCount(network.Now().steady) == live);
    }
  }
}

enum class Op {
  kCrash,
  kStart,
  kPause,
  kResume,
  kPartition,
  kRejoin,
  kLeave,
  kSetLoss,
  kAdvance,
  kEnd
};

/// Executes one operation; the random number `n` selects the daemon and the
/// parameters.
void Execute(GossipNetwork& network, Op op, std::uint32_t n) {
  const std::size_t i = n % network.size();
  switch (op) {
    case Op::kCrash:
      return network.Crash(i);
    case Op::kStart:
      return network.Start(i);
    case Op::kPause:
      return network.SetPaused(i, true);
    case Op::kResume:
      return network.SetPaused(i, false);
    case Op::kPartition:
      return network.SetPartition(i, 1);
    case Op::kRejoin:
      return network.SetPartition(i, 0);
    case Op::kLeave:
      return network.Leave(i);
    case Op::kSetLoss:
      network.loss_percent = static_cast<int>(n % 60);
      return;
    case Op::kAdvance:
      return network.Advance(std::chrono::milliseconds(n % 20'000));
    case Op::kEnd:
      return;
  }
}

TEST_CASE("Running members see each other") {
  SECTION(
      "after any sequence of crashes, pauses, partitions and message loss") {
    REQUIRE(rc::check([] {
      GossipNetwork network(static_cast<std::size_t>(*rc::gen::inRange(2, 13)),
                            *rc::gen::arbitrary<std::uint64_t>());
      const auto steps =
          *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(
              rc::gen::pair(rc::gen::inRange(0, static_cast<int>(Op::kEnd)),
                            rc::gen::inRange<std::uint32_t>(0, 100'000)));
      for (const auto& [op, n] : steps) {
        Execute(network, static_cast<Op>(op), n);
      }
      network.loss_percent = 0;
      for (std::size_t i = 0; i < network.size(); ++i) {
        network.SetPaused(i, false);
        network.SetPartition(i, 0);
      }
      network.Advance(kConvergenceTime);
      CheckConverged(network);
      network.Advance(kConvergenceTime);
      CheckConverged(network);
    }));
  }

  SECTION("a planned exit is detected sooner than a crash") {
    GossipNetwork network(9, 3);
    network.Advance(kConvergenceTime);
    network.Leave(4);
    network.Advance(std::chrono::seconds(5));
    REQUIRE(network.view(0).LiveCount(network.Now().steady) == 8);
    REQUIRE(network.view(0).OtherMembers(network.Now().steady).size() == 7);
    SECTION("and a restart under the same name is a member again") {
      network.Start(4);
      network.Advance(std::chrono::seconds(10));
      REQUIRE(network.view(0).LiveCount(network.Now().steady) == 9);
    }
  }

  SECTION("a daemon restarted with an earlier wall clock is alive again") {
    GossipNetwork network(3, 3);
    network.Advance(kConvergenceTime);
    network.Crash(1);
    network.Advance(kConvergenceTime);
    network.StartWithHeartbeat(1, 1);
    network.Advance(kConvergenceTime);
    REQUIRE(network.view(0).LiveCount(network.Now().steady) == 3);
  }

  SECTION("a daemon that knows only one address learns of all members") {
    GossipNetwork network(9, 3);
    network.Advance(kConvergenceTime);
    network.Crash(8);
    network.StartWithSeed(8, 0);
    network.Advance(std::chrono::seconds(20));
    REQUIRE(network.view(8).LiveCount(network.Now().steady) == 9);
  }
}

TEST_CASE("A message that violates the schema's rules is rejected as a whole") {
  Membership view({.name = "entry-1", .address = "1"}, 1, 1);
  const Instant at{TimePoint(std::chrono::hours(1)),
                   WallTime(std::chrono::hours(1))};
  v1::PeerMessage message;
  message.set_sender("entry-2");
  message.set_reply_to("2");
  message.set_sent_unix_ms(at.wall.time_since_epoch().count());
  *message.add_members() = [] {
    v1::Member member;
    member.set_name("entry-2");
    member.set_address("2");
    return member;
  }();
  SECTION("gossip columns of different lengths") {
    message.mutable_gossip()->add_ids(1);
    REQUIRE(view.Receive(message, at).error().code == Errc::kMalformed);
    REQUIRE(view.members_known() == 1);
  }
  SECTION("no sender") {
    message.clear_sender();
    REQUIRE(view.Receive(message, at).error().code == Errc::kMalformed);
  }
  SECTION("more introductions than allowed") {
    for (int i = 0; i < 100; ++i) {
      *message.add_members() = message.members(0);
    }
    REQUIRE(view.Receive(message, at).error().code == Errc::kMalformed);
  }
  SECTION("gossip from a sender whose clock is ahead is ignored") {
    message.set_sent_unix_ms(message.sent_unix_ms() + 5'000);
    v1::Gossip& gossip = *message.mutable_gossip();
    gossip.add_ids(MemberIdOf("entry-2").value());
    gossip.add_heartbeats(5);
    gossip.add_ages(0);
    gossip.add_revision_lags(0);
    gossip.add_flags(0);
    REQUIRE(view.Receive(message, at).has_value());
    REQUIRE(view.LiveCount(at.steady) == 1);
  }
}

}  // namespace
}  // namespace sycamoreford
