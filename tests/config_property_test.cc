// An accepted change is in force at every daemon within 13 s and is never
// reverted, under random failures of the table, the network and the daemons.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "fakes/config_network.h"
#include "support/config_changes.h"

namespace sycamoreford {
namespace {

using fakes::ConfigNetwork;
using fakes::TableFault;
using support::PutPriority;

constexpr std::chrono::seconds kMaxPropagationTime{13};

/// Test oracle: reads the accepted changes directly from the table and checks
/// every daemon against them.
class Oracle {
 public:
  explicit Oracle(ConfigNetwork& network) : network_(network) {
    network_.check = [this] { Check(); };
  }

  ~Oracle() { network_.check = nullptr; }

  void Check() {
    ReadAcceptedChanges();
    for (ConfigNetwork::Daemon& daemon : network_.daemons()) {
      if (!daemon.is_paused) {
        CheckDaemon(daemon);
      }
    }
  }

  /// Checks the result of an operator's change, and records a rejected one for
  /// `CheckRejected`.
  void RecordResult(const Result<v1::Change>& result,
                    const std::string& write_id) {
    ReadAcceptedChanges();
    if (result) {
      RC_ASSERT(IsAccepted(write_id));
      RC_ASSERT(result->write_id() == write_id);
    } else if (result.error().outcome == Outcome::kNotRun) {
      rejected_.push_back(write_id);
    }
  }

  /// Whether any daemon served because a majority could not reach the table.
  [[nodiscard]] bool served_without_table() const {
    return served_without_table_;
  }

  [[nodiscard]] Revision head() const { return Revision(accepted_.size()); }

  /// Checks that no rejected change was accepted later.
  void CheckRejected() {
    ReadAcceptedChanges();
    for (const std::string& write_id : rejected_) {
      RC_ASSERT(!IsAccepted(write_id));
    }
  }

 private:
  struct Accepted {
    std::uint64_t digest;
    std::string write_id;
    TimePoint accepted_at;
  };

  bool IsAccepted(const std::string& write_id) const {
    return std::any_of(
        accepted_.begin(), accepted_.end(),
        [&](const Accepted& item) { return item.write_id == write_id; });
  }

  /// Reads the new changes from the table; their revisions must be consecutive.
  void ReadAcceptedChanges() {
    TableRead read;
    read.prefixes = {kConfigChangePrefix};
    read.after = ConfigChangeKey(head());
    for (const TableRow& row : network_.table().Read(read)) {
      v1::Change change;
      RC_ASSERT(FromTableJson(row.value, change));
      accepted_configuration_ = accepted_configuration_.Apply(change).value();
      RC_ASSERT(accepted_configuration_.digest() == change.digest());
      accepted_.push_back({accepted_configuration_.digest(), change.write_id(),
                           network_.Now().steady});
    }
  }

  void CheckDaemon(ConfigNetwork::Daemon& daemon) {
    const ConfigurationPtr current = daemon.node->follower().current();
    const Revision revision = current->revision();
    RC_ASSERT(revision >= daemon.highest_revision);
    daemon.highest_revision = revision;
    RC_ASSERT(revision <= head());
    if (revision > Revision()) {
      RC_ASSERT(current->digest() == accepted_[revision.value() - 1].digest);
    }
    const ServeDecision decision = daemon.node->Serve();
    const TimePoint now = network_.Now().steady;
    if (!decision.until || *decision.until <= now) {
      return;
    }
    served_without_table_ = served_without_table_ ||
                            decision.reason == ServeReason::kTableDownForAll;
    for (std::size_t i = revision.value(); i < accepted_.size(); ++i) {
      RC_ASSERT(now - accepted_[i].accepted_at <= kMaxPropagationTime);
    }
  }

  ConfigNetwork& network_;
  Configuration accepted_configuration_;
  std::vector<Accepted> accepted_;
  std::vector<std::string> rejected_;
  bool served_without_table_ = false;
};

enum class Op {
  kAdvance,
  kLongAdvance,
  kApply,
  kApplyExpected,
  kTableFault,
  kTableDown,
  kTableUp,
  kTableUpForOne,
  kDropChanges,
  kDropIncoming,
  kPlanFault,
  kApplyLateCommits,
  kPartition,
  kRejoin,
  kPause,
  kResume,
  kRestart,
  kDegradeNetwork,
  kRestoreNetwork,
};

/// Prints an operation of a shrunk counterexample by its number in the enum.
void showValue(Op op, std::ostream& out) {
  out << "op " << static_cast<int>(op);
}

/// Random operations, weighted towards daemons that cannot reach the table.
rc::Gen<Op> GenerateOp() {
  return rc::gen::weightedElement<Op>({{4, Op::kAdvance},
                                       {4, Op::kLongAdvance},
                                       {6, Op::kApply},
                                       {1, Op::kApplyExpected},
                                       {1, Op::kTableFault},
                                       {2, Op::kTableDown},
                                       {3, Op::kTableUp},
                                       {4, Op::kTableUpForOne},
                                       {3, Op::kDropChanges},
                                       {1, Op::kDropIncoming},
                                       {2, Op::kPlanFault},
                                       {1, Op::kApplyLateCommits},
                                       {2, Op::kPartition},
                                       {3, Op::kRejoin},
                                       {2, Op::kPause},
                                       {2, Op::kResume},
                                       {2, Op::kRestart},
                                       {1, Op::kDegradeNetwork},
                                       {2, Op::kRestoreNetwork}});
}

class Scenario {
 public:
  Scenario(int daemons, std::uint64_t seed)
      : network_(daemons, seed), oracle_(network_) {}

  /// Executes one operation; the random number `n` selects the daemon and the
  /// parameters.
  void Execute(Op op, std::uint32_t n) {
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
      case Op::kTableUpForOne:
        Execute(Op::kTableDown, 0);
        return daemon.table->SetFault(TableFault::kNone);
      case Op::kDropChanges:
        network_.drops_changes = true;
        return;
      case Op::kDropIncoming:
        daemon.drops_incoming = true;
        return;
      case Op::kPlanFault:
        return daemon.table->PlanFault(daemon.table->calls() + (n / 7) % 5,
                                       FaultOf(n));
      case Op::kApplyLateCommits:
        return daemon.table->ApplyLateCommits();
      case Op::kPartition:
        daemon.partition = 1;
        return;
      case Op::kRejoin:
        daemon.partition = 0;
        daemon.drops_incoming = false;
        return;
      case Op::kPause:
        daemon.is_paused = true;
        return;
      case Op::kResume:
        daemon.is_paused = false;
        return oracle_.Check();
      case Op::kRestart:
        return network_.Restart(n % size());
      case Op::kDegradeNetwork:
        network_.loss_percent = static_cast<int>(n % 95);
        network_.duplicate_percent = static_cast<int>(n % 40);
        network_.max_delay = std::chrono::milliseconds(n % 8'000);
        return;
      case Op::kRestoreNetwork:
        network_.loss_percent = 0;
        network_.drops_changes = false;
        network_.duplicate_percent = 0;
        network_.max_delay = std::chrono::milliseconds(0);
        return;
    }
  }

  /// Ends all failures and checks that within `kMaxPropagationTime` every
  /// daemon has all accepted changes in force.
  void RecoverAndCheck() {
    Execute(Op::kRestoreNetwork, 0);
    Execute(Op::kTableUp, 0);
    for (std::size_t i = 0; i < size(); ++i) {
      network_.daemons()[i].is_paused = false;
      Execute(Op::kRejoin, static_cast<std::uint32_t>(i));
      network_.daemons()[i].table->ClearPlannedFaults();
      network_.daemons()[i].table->ApplyLateCommits();
    }
    network_.Advance(kMaxPropagationTime);
    for (ConfigNetwork::Daemon& daemon : network_.daemons()) {
      RC_ASSERT(daemon.node->follower().current()->revision() ==
                oracle_.head());
      RC_ASSERT(daemon.node->Serve().reason == ServeReason::kConfirmed);
    }
    oracle_.CheckRejected();
  }

  ConfigNetwork& network() { return network_; }
  [[nodiscard]] Revision accepted() const { return oracle_.head(); }
  [[nodiscard]] bool served_without_table() const {
    return oracle_.served_without_table();
  }

 private:
  std::size_t size() { return network_.daemons().size(); }

  static TableFault FaultOf(std::uint32_t n) {
    constexpr TableFault kFaults[] = {
        TableFault::kUnavailable, TableFault::kAppliedAnswerLost,
        TableFault::kAppliedLate, TableFault::kNone};
    return kFaults[(n / 3) % 4];
  }

  void Apply(std::uint32_t n, bool with_expected_revision) {
    ConfigNetwork::Daemon& daemon = network_.daemons()[n % size()];
    if (daemon.is_paused) {
      return;
    }
    ChangeRequest request;
    request.edits = {PutPriority("p" + std::to_string(n % 3), n % 1000)};
    if (with_expected_revision) {
      request.expected_revision = daemon.node->follower().current()->revision();
    }
    const std::string write_id = "w" + std::to_string(++writes_);
    oracle_.RecordResult(
        network_.Apply(
            n % size(), request,
            {.author = "a", .time = {}, .note = {}, .write_id = write_id}),
        write_id);
  }

  ConfigNetwork network_;
  Oracle oracle_;
  int writes_ = 0;
};

TEST_CASE("An accepted change is in force everywhere and is never reverted") {
  SECTION("under any sequence of failures") {
    REQUIRE(rc::check([] {
      const int daemons = *rc::gen::element(1, 2, 3, 3, 4, 5, 5, 6);
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      constexpr int kSize = 150;
      const auto steps = *rc::gen::resize(
          kSize,
          rc::gen::container<std::vector<std::pair<Op, std::uint32_t>>>(
              rc::gen::pair(GenerateOp(),
                            rc::gen::inRange<std::uint32_t>(0, 100'000))));
      Scenario scenario(daemons, seed);
      // In the first 15 s after a start a daemon does not yet guarantee that no
      // newer change is pending.
      scenario.network().Advance(std::chrono::seconds(20));
      for (const auto& [op, n] : steps) {
        scenario.Execute(op, n);
      }
      RC_CLASSIFY(scenario.accepted() > Revision(), "a change was accepted");
      RC_CLASSIFY(scenario.served_without_table(),
                  "served while the table was down");
      scenario.RecoverAndCheck();
    }));
  }

  SECTION("in a table outage daemons that reach a majority keep serving") {
    Scenario scenario(5, 1);
    scenario.Execute(Op::kApply, 0);
    scenario.network().Advance(std::chrono::seconds(25));
    scenario.Execute(Op::kTableDown, 0);
    scenario.network().Advance(std::chrono::seconds(60));
    const auto reason = [&](std::size_t i) {
      return scenario.network().daemons()[i].node->Serve().reason;
    };
    for (std::size_t i = 0; i < 5; ++i) {
      REQUIRE(reason(i) == ServeReason::kTableDownForAll);
    }
    SECTION("and so does a daemon restarted meanwhile") {
      scenario.network().Restart(2);
      scenario.network().Advance(kMaxPropagationTime);
      REQUIRE(scenario.network()
                  .daemons()[2]
                  .node->follower()
                  .current()
                  ->revision() == Revision(1));
      REQUIRE(reason(2) == ServeReason::kTableDownForAll);
    }
    SECTION("but a daemon cut off from table and peers stops serving") {
      scenario.Execute(Op::kPartition, 3);
      scenario.network().Advance(std::chrono::seconds(11));
      REQUIRE(reason(3) == ServeReason::kUnconfirmed);
      REQUIRE(reason(1) == ServeReason::kTableDownForAll);
    }
    SECTION("and in a network partition the smaller side stops serving") {
      scenario.Execute(Op::kPartition, 3);
      scenario.Execute(Op::kPartition, 4);
      scenario.network().Advance(std::chrono::seconds(11));
      REQUIRE(reason(3) == ServeReason::kUnconfirmed);
      REQUIRE(reason(4) == ServeReason::kUnconfirmed);
      REQUIRE(reason(0) == ServeReason::kTableDownForAll);
    }
  }

  SECTION("daemons that missed an acknowledged change stop serving") {
    Scenario scenario(5, 1);
    scenario.Execute(Op::kApply, 0);
    scenario.network().Advance(std::chrono::seconds(25));
    scenario.Execute(Op::kTableUpForOne, 0);
    scenario.network().Advance(std::chrono::seconds(10));
    scenario.Execute(Op::kPartition, 3);
    scenario.Execute(Op::kPartition, 4);
    scenario.Execute(Op::kDropChanges, 0);
    scenario.Execute(Op::kApply, 0);
    REQUIRE(scenario.network()
                .daemons()[0]
                .node->follower()
                .current()
                ->revision() == Revision(2));
    scenario.Execute(Op::kPartition, 0);
    scenario.network().daemons()[0].partition = 2;
    scenario.Execute(Op::kRejoin, 3);
    scenario.Execute(Op::kRejoin, 4);
    SECTION("while the daemons that acknowledged it keep running") {
      scenario.network().Advance(std::chrono::seconds(40));
    }
    SECTION("and after those daemons have restarted") {
      scenario.Execute(Op::kRestart, 1);
      scenario.Execute(Op::kRestart, 2);
      scenario.network().Advance(std::chrono::seconds(40));
    }
    REQUIRE_FALSE(
        scenario.network().daemons()[3].node->Serve().until.has_value());
  }

  SECTION("a resumed daemon does not take old messages for new ones") {
    Scenario scenario(5, 1);
    scenario.Execute(Op::kApply, 0);
    scenario.network().Advance(std::chrono::seconds(25));
    scenario.Execute(Op::kTableDown, 0);
    scenario.network().Advance(std::chrono::seconds(15));
    scenario.Execute(Op::kPause, 4);
    scenario.network().Advance(std::chrono::seconds(9));
    scenario.Execute(Op::kDropIncoming, 4);
    scenario.Execute(Op::kTableUpForOne, 0);
    scenario.network().Advance(std::chrono::seconds(4));
    scenario.Execute(Op::kApply, 0);
    scenario.network().Advance(std::chrono::seconds(15));
    scenario.Execute(Op::kResume, 4);
    scenario.network().Advance(std::chrono::seconds(5));
    REQUIRE(scenario.network().daemons()[4].node->Serve().reason ==
            ServeReason::kUnconfirmed);
  }

  SECTION("a change is rejected at a daemon that reaches no majority") {
    Scenario scenario(3, 1);
    scenario.network().Advance(std::chrono::seconds(5));
    scenario.Execute(Op::kPartition, 0);
    ChangeRequest request;
    request.edits = {PutPriority("p", 1)};
    const auto rejected =
        scenario.network().Apply(0, request, {.write_id = "w"});
    REQUIRE(rejected.error().code == Errc::kConfigUnconfirmed);
    REQUIRE(rejected.error().outcome == Outcome::kNotRun);
    REQUIRE(rejected.error().retry_after.has_value());
  }
}

}  // namespace
}  // namespace sycamoreford
