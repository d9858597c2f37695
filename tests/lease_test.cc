// At most one daemon holds a lease, and each new holder has a higher fencing
// token.
#include <array>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "fakes/faulty_table.h"
#include "support/run.h"
#include "sycamoreford/lease/lease_machine.h"

namespace sycamoreford {
namespace {

using fakes::FakeTable;
using fakes::FaultyTable;
using fakes::TableFault;
using support::Run;

constexpr std::size_t kDaemons = 3;
constexpr std::size_t kRunsPerCase = 10;

struct Op {
  /// 0 to 11: a daemon executes its next step; 12: set a fault; 13: apply a
  /// late commit; 14: restart; 15: release the lease and restart.
  std::uint32_t kind = 0;
  std::uint32_t daemon = 0;
  std::uint32_t amount = 0;
};

[[maybe_unused]] std::ostream& operator<<(std::ostream& out, const Op& op) {
  return out << op.kind << '(' << op.daemon << ',' << op.amount << ')';
}

rc::Gen<Op> AnyOp() {
  return rc::gen::build<Op>(
      rc::gen::set(&Op::kind, rc::gen::inRange<std::uint32_t>(0, 16)),
      rc::gen::set(&Op::daemon, rc::gen::inRange<std::uint32_t>(0, kDaemons)),
      rc::gen::set(&Op::amount, rc::gen::inRange<std::uint32_t>(0, 40)));
}

/// Daemons that compete for one lease. They may be paused between any two
/// steps, also between a read and the write that follows it.
class Simulation {
 public:
  void Apply(const Op& op) {
    Daemon& daemon = *daemons_.at(op.daemon);
    switch (op.kind) {
      case 12:
        daemon.table.SetFault(static_cast<TableFault>(op.amount % 4));
        break;
      case 13:
        daemon.table.ApplyOneLateCommit(op.amount);
        break;
      case 14:
        Restart(op.daemon);
        break;
      case 15:
        if (const auto release = daemon.machine.Release(now_)) {
          (void)Run(daemon.table.Commit(*release));
        }
        Restart(op.daemon);
        break;
      default:
        now_ += std::chrono::milliseconds(op.amount * 100);
        Step(daemon);
    }
    Check();
  }

  /// Whether a daemon holds the lease at some time from 80 to 120 seconds after
  /// all faults have ended.
  bool RecoversAfterFaults() {
    for (auto& daemon : daemons_) {
      daemon->table.SetFault(TableFault::kNone);
      daemon->table.ApplyLateCommits();
    }
    for (int i = 0; i < 600; ++i) {
      now_ += std::chrono::milliseconds(200);
      for (auto& daemon : daemons_) {
        Step(*daemon);
        Check();
        if (daemon->machine.TokenAt(now_) && i > 400) {
          return true;
        }
      }
    }
    return false;
  }

 private:
  struct Daemon {
    Daemon(FakeTable& rows, const std::string& holder)
        : table(rows), machine("orders/bell", holder, {}) {}
    FaultyTable table;
    LeaseMachine machine;
  };

  void Restart(std::size_t index) {
    auto fresh = std::make_unique<Daemon>(rows_, std::to_string(++runs_));
    // Commits of the old run may still be applied late.
    stopped_daemons_.push_back(std::move(daemons_.at(index)));
    daemons_.at(index) = std::move(fresh);
  }

  void Step(Daemon& daemon) {
    switch (daemon.machine.NextStep(now_)) {
      case LeaseMachine::Step::kWait:
        break;
      case LeaseMachine::Step::kRead: {
        TableRead read;
        read.keys.push_back(LeaseRowKey("orders/bell"));
        const auto rows = Run(daemon.table.Read(read));
        if (!rows) {
          daemon.machine.OnReadFailed(now_);
        } else if (rows->empty()) {
          daemon.machine.OnRow(std::nullopt, now_);
        } else {
          daemon.machine.OnRow(rows->front(), now_);
        }
        break;
      }
      case LeaseMachine::Step::kWrite: {
        const auto write =
            daemon.machine.BeginWrite(std::to_string(++writes_), now_);
        const auto committed = Run(daemon.table.Commit(write));
        std::optional<bool> result;
        if (committed) {
          result = *committed;
        }
        daemon.machine.OnWritten(result, now_);
        break;
      }
    }
  }

  /// Checks that there is at most one holder, and that each new holder has a
  /// higher fencing token.
  void Check() {
    int holders = 0;
    for (const auto& daemon : daemons_) {
      if (const auto token = daemon->machine.TokenAt(now_)) {
        ++holders;
        if (daemon.get() == newest_holder_) {
          RC_ASSERT(*token >= newest_token_);
        } else {
          RC_ASSERT(*token > newest_token_);
        }
        newest_token_ = *token;
        newest_holder_ = daemon.get();
      }
    }
    RC_ASSERT(holders <= 1);
  }

  FakeTable rows_;
  TimePoint now_{std::chrono::hours(1)};
  std::uint64_t writes_ = 0;
  std::uint64_t runs_ = kDaemons;
  FencingToken newest_token_{};
  const Daemon* newest_holder_ = nullptr;
  std::array<std::unique_ptr<Daemon>, kDaemons> daemons_{
      std::make_unique<Daemon>(rows_, "1"),
      std::make_unique<Daemon>(rows_, "2"),
      std::make_unique<Daemon>(rows_, "3")};
  std::deque<std::unique_ptr<Daemon>> stopped_daemons_;
};

TEST_CASE("a lease has at most one holder") {
  REQUIRE(rc::check("despite table faults, pauses and restarts", [] {
    const auto runs = *rc::gen::container<std::vector<std::vector<Op>>>(
        kRunsPerCase,
        rc::gen::scale(4.0, rc::gen::container<std::vector<Op>>(AnyOp())));
    for (const std::vector<Op>& ops : runs) {
      Simulation simulation;
      for (const Op& op : ops) {
        simulation.Apply(op);
      }
      RC_ASSERT(simulation.RecoversAfterFaults());
    }
  }));
}

TEST_CASE("a lease that is polled rarely") {
  using std::chrono::milliseconds;
  using Step = LeaseMachine::Step;
  const TimePoint now{std::chrono::hours(1)};
  const auto row = [](std::uint64_t version) {
    LeaseRow lease{.holder = "other", .fencing = FencingToken(1)};
    lease.write_id = "w" + std::to_string(version);
    return TableRow{LeaseRowKey("l"), SerializeLease(lease), version};
  };
  LeaseTimes times{.ttl = milliseconds(2'400),
                   .renewal_interval = milliseconds(800),
                   .poll_interval = milliseconds(6'000),
                   .max_clock_drift = milliseconds(200)};
  SECTION("between polls nothing is written based on the last read") {
    LeaseMachine machine("l", "me", times);
    machine.OnRow(row(1), now);
    REQUIRE(machine.NextStep(now + milliseconds(2'700)) == Step::kWait);
    REQUIRE(machine.NextStep(now + milliseconds(6'000)) == Step::kRead);
    SECTION("the holder has renewed it") {
      machine.OnRow(row(8), now + milliseconds(6'000));
      REQUIRE(machine.NextStep(now + milliseconds(8'700)) == Step::kWait);
    }
    SECTION("it is unchanged") {
      machine.OnRow(row(1), now + milliseconds(6'000));
      REQUIRE(machine.NextStep(now + milliseconds(6'000)) == Step::kWrite);
    }
  }
  SECTION("failed reads are retried at a quarter of the poll interval") {
    LeaseMachine machine("l", "me", times);
    machine.OnRow(row(1), now);
    machine.OnReadFailed(now + milliseconds(6'000));
    REQUIRE(machine.NextStep(now + milliseconds(7'499)) == Step::kWait);
    REQUIRE(machine.NextStep(now + milliseconds(7'500)) == Step::kRead);
  }
  SECTION(
      "a poll interval below the TTL also polls when the lease can expire") {
    times.poll_interval = milliseconds(1'500);
    LeaseMachine machine("l", "me", times);
    machine.OnRow(row(1), now);
    machine.OnRow(row(1), now + milliseconds(1'500));
    REQUIRE(machine.NextStep(now + milliseconds(2'599)) == Step::kWait);
    REQUIRE(machine.NextStep(now + milliseconds(2'600)) == Step::kRead);
    machine.OnRow(row(1), now + milliseconds(2'604));
    REQUIRE(machine.NextStep(now + milliseconds(2'604)) == Step::kWrite);
  }
}

TEST_CASE("after a release another daemon acquires the lease without waiting") {
  FakeTable rows;
  const TimePoint now{std::chrono::hours(1)};
  const auto read = [&rows](LeaseMachine& machine, TimePoint at) {
    TableRead all;
    all.keys.push_back(LeaseRowKey("l"));
    const auto found = rows.Read(all);
    std::optional<TableRow> row;
    if (!found.empty()) {
      row = found.front();
    }
    machine.OnRow(row, at);
  };
  LeaseMachine first("l", "a", {});
  LeaseMachine second("l", "b", {});
  read(first, now);
  REQUIRE(rows.Commit(first.BeginWrite("1", now)));
  first.OnWritten(true, now);
  REQUIRE(first.TokenAt(now) == FencingToken(1));
  REQUIRE_FALSE(first.TokenAt(now + LeaseTimes().ttl).has_value());
  REQUIRE(first.NextStep(now) == LeaseMachine::Step::kRead);
  read(first, now);
  REQUIRE(first.NextStep(now) == LeaseMachine::Step::kWait);
  const auto release = first.Release(now);
  REQUIRE(release.has_value());
  REQUIRE(rows.Commit(*release));
  REQUIRE_FALSE(first.TokenAt(now).has_value());
  read(second, now);
  REQUIRE(second.NextStep(now) == LeaseMachine::Step::kWrite);
  REQUIRE(rows.Commit(second.BeginWrite("2", now)));
  second.OnWritten(true, now);
  REQUIRE(second.TokenAt(now) == FencingToken(2));
}

}  // namespace
}  // namespace sycamoreford
