// An accepted configuration is in force everywhere within 13 s and never
// reverts, whatever happens to the table, the network and the daemons.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "fakes/config_network.h"
#include "support/config_changes.h"

namespace sycamoreford {
namespace {

using fakes::ConfigNetwork;
using fakes::TableFault;
using support::PutPriority;

constexpr std::chrono::seconds kBound{13};

/// The truth by the table, and what must hold of every daemon.
class Oracle {
 public:
  explicit Oracle(ConfigNetwork& network) : network_(network) {
    network_.check = [this] { Check(); };
  }

  ~Oracle() { network_.check = nullptr; }

  void Check() {
    Learn();
    for (ConfigNetwork::Daemon& daemon : network_.daemons()) {
      if (!daemon.is_paused) {
        CheckDaemon(daemon);
      }
    }
  }

  /// Notes the result of an operator's change.
  void Note(const Result<v1::Change>& result, const std::string& write_id) {
    Learn();
    if (result) {
      RC_ASSERT(Holds(write_id));
      RC_ASSERT(result->write_id() == write_id);
    } else if (result.error().outcome == Outcome::kNotRun) {
      refused_.push_back(write_id);
    }
  }

  /// Whether any daemon ever served on what its peers told.
  [[nodiscard]] bool served_on_peers() const { return served_on_peers_; }

  [[nodiscard]] Revision head() const { return Revision(accepted_.size()); }

  void CheckRefused() {
    Learn();
    for (const std::string& write_id : refused_) {
      RC_ASSERT(!Holds(write_id));
    }
  }

 private:
  struct Accepted {
    std::uint64_t digest;
    std::string write_id;
    TimePoint at;
  };

  bool Holds(const std::string& write_id) const {
    return std::any_of(
        accepted_.begin(), accepted_.end(),
        [&](const Accepted& item) { return item.write_id == write_id; });
  }

  /// Reads what the table holds in truth; revisions form one line.
  void Learn() {
    TableRead read;
    read.prefixes = {kConfigChangePrefix};
    read.after = ConfigChangeKey(head());
    for (const TableRow& row : network_.table().Read(read)) {
      v1::Change change;
      RC_ASSERT(FromTableJson(row.value, change));
      truth_ = truth_.Apply(change).value();
      RC_ASSERT(truth_.digest() == change.digest());
      accepted_.push_back(
          {truth_.digest(), change.write_id(), network_.Now().now});
    }
  }

  void CheckDaemon(ConfigNetwork::Daemon& daemon) {
    const ConfigurationPtr current = daemon.node->follower().current();
    const Revision revision = current->revision();
    RC_ASSERT(revision >= daemon.highest);
    daemon.highest = revision;
    RC_ASSERT(revision <= head());
    if (revision > Revision()) {
      RC_ASSERT(current->digest() == accepted_[revision.value() - 1].digest);
    }
    const ServeDecision decision = daemon.node->Serve();
    const TimePoint now = network_.Now().now;
    if (!decision.until || *decision.until <= now) {
      return;
    }
    served_on_peers_ =
        served_on_peers_ || decision.reason == ServeReason::kTableDownForAll;
    for (std::size_t i = revision.value(); i < accepted_.size(); ++i) {
      RC_ASSERT(now - accepted_[i].at <= kBound);
    }
  }

  ConfigNetwork& network_;
  Configuration truth_;
  std::vector<Accepted> accepted_;
  std::vector<std::string> refused_;
  bool served_on_peers_ = false;
};

enum class Op {
  kAdvance,
  kLongAdvance,
  kApply,
  kApplyExpected,
  kTableFault,
  kTableDown,
  kTableUp,
  kTableOnlyHere,
  kLoseChanges,
  kDeaf,
  kPlanFault,
  kReleaseLate,
  kPart,
  kJoin,
  kPause,
  kResume,
  kRestart,
  kNoise,
  kQuiet,
};

/// Shows an operation in a shrunk case, by its place in the enum.
void showValue(Op op, std::ostream& out) {
  out << "op " << static_cast<int>(op);
}

/// Steps, those more often that lead to daemons without the table.
rc::Gen<Op> AnyOp() {
  return rc::gen::weightedElement<Op>({{4, Op::kAdvance},
                                       {4, Op::kLongAdvance},
                                       {6, Op::kApply},
                                       {1, Op::kApplyExpected},
                                       {1, Op::kTableFault},
                                       {2, Op::kTableDown},
                                       {3, Op::kTableUp},
                                       {4, Op::kTableOnlyHere},
                                       {3, Op::kLoseChanges},
                                       {1, Op::kDeaf},
                                       {2, Op::kPlanFault},
                                       {1, Op::kReleaseLate},
                                       {2, Op::kPart},
                                       {3, Op::kJoin},
                                       {2, Op::kPause},
                                       {2, Op::kResume},
                                       {2, Op::kRestart},
                                       {1, Op::kNoise},
                                       {2, Op::kQuiet}});
}

class Story {
 public:
  Story(int daemons, std::uint64_t seed)
      : network_(daemons, seed), oracle_(network_) {}

  void Do(Op op, std::uint32_t n) {
    ConfigNetwork::Daemon& daemon = network_.daemons()[n % size()];
    switch (op) {
      case Op::kAdvance:
        return network_.Advance(std::chrono::milliseconds(100 * (n % 30)));
      case Op::kLongAdvance:
        return network_.Advance(std::chrono::seconds(10 + n % 10));
      case Op::kApply:
      case Op::kApplyExpected:
        return Apply(n, op == Op::kApplyExpected);
      case Op::kTableFault:
        return daemon.table->SetFault(FaultOf(n));
      case Op::kTableDown:
      case Op::kTableUp:
        for (ConfigNetwork::Daemon& each : network_.daemons()) {
          each.table->SetFault(op == Op::kTableDown ? TableFault::kUnavailable
                                                    : TableFault::kNone);
        }
        return;
      case Op::kTableOnlyHere:
        Do(Op::kTableDown, 0);
        return daemon.table->SetFault(TableFault::kNone);
      case Op::kLoseChanges:
        network_.loses_changes = true;
        return;
      case Op::kDeaf:
        daemon.is_deaf = true;
        return;
      case Op::kPlanFault:
        return daemon.table->PlanFault(daemon.table->calls() + (n / 7) % 5,
                                       FaultOf(n));
      case Op::kReleaseLate:
        return daemon.table->ApplyLateCommits();
      case Op::kPart:
        daemon.side = 1;
        return;
      case Op::kJoin:
        daemon.side = 0;
        daemon.is_deaf = false;
        return;
      case Op::kPause:
        daemon.is_paused = true;
        return;
      case Op::kResume:
        daemon.is_paused = false;
        return oracle_.Check();
      case Op::kRestart:
        return network_.Restart(n % size());
      case Op::kNoise:
        network_.lost = static_cast<int>(n % 95);
        network_.doubled = static_cast<int>(n % 40);
        network_.longest_delay = std::chrono::milliseconds(n % 8'000);
        return;
      case Op::kQuiet:
        network_.lost = 0;
        network_.loses_changes = false;
        network_.doubled = 0;
        network_.longest_delay = std::chrono::milliseconds(0);
        return;
    }
  }

  /// All is well again: everything accepted is in force within the bound.
  void Heal() {
    Do(Op::kQuiet, 0);
    Do(Op::kTableUp, 0);
    for (std::size_t i = 0; i < size(); ++i) {
      network_.daemons()[i].is_paused = false;
      Do(Op::kJoin, static_cast<std::uint32_t>(i));
      network_.daemons()[i].table->ClearPlannedFaults();
      network_.daemons()[i].table->ApplyLateCommits();
    }
    network_.Advance(kBound);
    for (ConfigNetwork::Daemon& daemon : network_.daemons()) {
      RC_ASSERT(daemon.node->follower().current()->revision() ==
                oracle_.head());
      RC_ASSERT(daemon.node->Serve().reason == ServeReason::kConfirmed);
    }
    oracle_.CheckRefused();
  }

  ConfigNetwork& network() { return network_; }
  [[nodiscard]] Revision accepted() const { return oracle_.head(); }
  [[nodiscard]] bool served_on_peers() const {
    return oracle_.served_on_peers();
  }

 private:
  std::size_t size() { return network_.daemons().size(); }

  static TableFault FaultOf(std::uint32_t n) {
    constexpr TableFault kFaults[] = {
        TableFault::kUnavailable, TableFault::kAppliedAnswerLost,
        TableFault::kAppliedLate, TableFault::kNone};
    return kFaults[(n / 3) % 4];
  }

  void Apply(std::uint32_t n, bool expects) {
    ConfigNetwork::Daemon& daemon = network_.daemons()[n % size()];
    if (daemon.is_paused) {
      return;
    }
    ChangeRequest request;
    request.edits = {PutPriority("p" + std::to_string(n % 3), n % 1000)};
    if (expects) {
      request.expected = daemon.node->follower().current()->revision();
    }
    const std::string write_id = "w" + std::to_string(++writes_);
    oracle_.Note(
        network_.Apply(
            n % size(), request,
            {.author = "a", .time = {}, .note = {}, .write_id = write_id}),
        write_id);
  }

  ConfigNetwork network_;
  Oracle oracle_;
  int writes_ = 0;
};

TEST_CASE(
    "An accepted configuration is in force everywhere and never reverts") {
  SECTION("through any story of faults") {
    REQUIRE(rc::check([] {
      const int daemons = *rc::gen::element(1, 2, 3, 3, 4, 5, 5, 6);
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      constexpr int kSize = 150;
      const auto steps = *rc::gen::resize(
          kSize, rc::gen::container<std::vector<std::pair<Op, std::uint32_t>>>(
                     rc::gen::pair(AnyOp(), rc::gen::inRange<std::uint32_t>(
                                                0, 100'000))));
      Story story(daemons, seed);
      // A daemon vouches only some time after its start.
      story.network().Advance(std::chrono::seconds(20));
      for (const auto& [op, n] : steps) {
        story.Do(op, n);
      }
      RC_CLASSIFY(story.accepted() > Revision(), "a change was accepted");
      RC_CLASSIFY(story.served_on_peers(), "served while the table was down");
      story.Heal();
    }));
  }

  SECTION("a table outage stops nobody who hears a majority") {
    Story story(5, 1);
    story.Do(Op::kApply, 0);
    story.network().Advance(std::chrono::seconds(25));
    story.Do(Op::kTableDown, 0);
    story.network().Advance(std::chrono::seconds(60));
    const auto reason = [&](std::size_t i) {
      return story.network().daemons()[i].node->Serve().reason;
    };
    for (std::size_t i = 0; i < 5; ++i) {
      REQUIRE(reason(i) == ServeReason::kTableDownForAll);
    }
    SECTION("also a daemon that boots meanwhile, on what its peers know") {
      story.network().Restart(2);
      story.network().Advance(kBound);
      REQUIRE(
          story.network().daemons()[2].node->follower().current()->revision() ==
          Revision(1));
      REQUIRE(reason(2) == ServeReason::kTableDownForAll);
    }
    SECTION("but a daemon that is cut off from both stops") {
      story.Do(Op::kPart, 3);
      story.network().Advance(std::chrono::seconds(11));
      REQUIRE(reason(3) == ServeReason::kUnconfirmed);
      REQUIRE(reason(1) == ServeReason::kTableDownForAll);
    }
    SECTION("of two parted regions the smaller stops") {
      story.Do(Op::kPart, 3);
      story.Do(Op::kPart, 4);
      story.network().Advance(std::chrono::seconds(11));
      REQUIRE(reason(3) == ServeReason::kUnconfirmed);
      REQUIRE(reason(4) == ServeReason::kUnconfirmed);
      REQUIRE(reason(0) == ServeReason::kTableDownForAll);
    }
  }

  SECTION("a change that only its writer still knows of stops the others") {
    Story story(5, 1);
    story.Do(Op::kApply, 0);
    story.network().Advance(std::chrono::seconds(25));
    story.Do(Op::kTableOnlyHere, 0);
    story.network().Advance(std::chrono::seconds(10));
    story.Do(Op::kPart, 3);
    story.Do(Op::kPart, 4);
    story.Do(Op::kLoseChanges, 0);
    story.Do(Op::kApply, 0);
    REQUIRE(
        story.network().daemons()[0].node->follower().current()->revision() ==
        Revision(2));
    story.Do(Op::kPart, 0);
    story.network().daemons()[0].side = 2;
    story.Do(Op::kJoin, 3);
    story.Do(Op::kJoin, 4);
    SECTION("while those who acknowledged it live") {
      story.network().Advance(std::chrono::seconds(40));
    }
    SECTION("and also when they start anew") {
      story.Do(Op::kRestart, 1);
      story.Do(Op::kRestart, 2);
      story.network().Advance(std::chrono::seconds(40));
    }
    REQUIRE_FALSE(story.network().daemons()[3].node->Serve().until.has_value());
  }

  SECTION("a daemon that wakes does not take old messages for fresh ones") {
    Story story(5, 1);
    story.Do(Op::kApply, 0);
    story.network().Advance(std::chrono::seconds(25));
    story.Do(Op::kTableDown, 0);
    story.network().Advance(std::chrono::seconds(15));
    story.Do(Op::kPause, 4);
    story.network().Advance(std::chrono::seconds(9));
    story.Do(Op::kDeaf, 4);
    story.Do(Op::kTableOnlyHere, 0);
    story.network().Advance(std::chrono::seconds(4));
    story.Do(Op::kApply, 0);
    story.network().Advance(std::chrono::seconds(15));
    story.Do(Op::kResume, 4);
    story.network().Advance(std::chrono::seconds(5));
    REQUIRE(story.network().daemons()[4].node->Serve().reason ==
            ServeReason::kUnconfirmed);
  }

  SECTION("an operator without a majority of the daemons is refused") {
    Story story(3, 1);
    story.network().Advance(std::chrono::seconds(5));
    story.Do(Op::kPart, 0);
    ChangeRequest request;
    request.edits = {PutPriority("p", 1)};
    const auto refused = story.network().Apply(0, request, {.write_id = "w"});
    REQUIRE(refused.error().code == Errc::kConfigUnconfirmed);
    REQUIRE(refused.error().outcome == Outcome::kNotRun);
    REQUIRE(refused.error().retry_after.has_value());
  }
}

}  // namespace
}  // namespace sycamoreford
