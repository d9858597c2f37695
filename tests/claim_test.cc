// Non-idempotent requests run at most once despite failing table calls,
// crashing daemons and differing clocks.
#include <map>
#include <set>

#include <rapidcheck.h>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "fakes/faulty_table.h"
#include "support/run.h"
#include "sycamoreford/claim/claim_batcher.h"
#include "sycamoreford/claim/claim_store.h"

namespace sycamoreford {
namespace {

using fakes::FakeTable;
using fakes::FaultyTable;
using fakes::TableFault;
using support::Run;
using WallClock = std::chrono::system_clock;

constexpr std::size_t kRunsPerCase = 20;
constexpr std::chrono::seconds kCallTimeout{10};
constexpr std::chrono::minutes kMaxStoreTime{10};

boost::asio::awaitable<bool> Completed(boost::asio::awaitable<void> work) {
  co_await std::move(work);
  co_return true;
}

/// A request at one daemon, and whether it was dispatched.
struct Call {
  Call(std::size_t the_daemon, std::string row, Claim claim)
      : daemon(the_daemon),
        row_key(row),
        machine(std::move(row), std::move(claim), kMaxStoreTime) {}

  std::size_t daemon;
  std::string row_key;
  ClaimMachine machine;
  bool is_dispatched = false;
};

enum class WorkResult { kAnswered, kRanAnswerLost, kLostBeforeRun, kRefused };

struct Op {
  enum class Kind {
    kBegin,
    kStep,
    kCrash,
    kFault,
    kApplyLateCommit,
    kAdvance,
    kSetClockSkew,
    kSweep,
  };
  Kind kind = Kind::kStep;
  /// Arguments; their meaning depends on `kind`.
  std::uint32_t a = 0;
  std::uint32_t b = 0;
};

[[maybe_unused]] std::ostream& operator<<(std::ostream& out, const Op& op) {
  static const char* const kNames[] = {"Begin",        "Step",      "Crash",
                                       "Fault",        "ApplyLate", "Advance",
                                       "SetClockSkew", "Sweep"};
  return out << kNames[static_cast<int>(op.kind)] << '(' << op.a << ',' << op.b
             << ')';
}

rc::Gen<Op> AnyOp() {
  using K = Op::Kind;
  return rc::gen::build<Op>(
      rc::gen::set(&Op::kind,
                   rc::gen::weightedElement<K>({{6, K::kBegin},
                                                {24, K::kStep},
                                                {1, K::kCrash},
                                                {3, K::kFault},
                                                {3, K::kApplyLateCommit},
                                                {1, K::kAdvance},
                                                {1, K::kSetClockSkew},
                                                {1, K::kSweep}})),
      rc::gen::set(&Op::a, rc::gen::inRange<std::uint32_t>(0, 64)),
      rc::gen::set(&Op::b, rc::gen::inRange<std::uint32_t>(0, 64)));
}

/// Several daemons, a table and a service that counts the requests that it ran.
class Simulation {
 public:
  void Apply(const Op& op) {
    switch (op.kind) {
      case Op::Kind::kBegin:
        Begin(op.a % kDaemons, op.b % 4, op.b / 4 % 8 == 0);
        break;
      case Op::Kind::kStep:
        if (!calls_.empty()) {
          Step(calls_[op.a % calls_.size()], static_cast<WorkResult>(op.b % 4));
        }
        break;
      case Op::Kind::kCrash:
        Crash(op.a % kDaemons);
        break;
      case Op::Kind::kFault:
        tables_[op.a % kDaemons].SetFault(static_cast<TableFault>(op.b % 4));
        break;
      case Op::Kind::kApplyLateCommit:
        tables_[op.a % kDaemons].ApplyOneLateCommit(op.b);
        break;
      case Op::Kind::kAdvance:
        Advance(op.b);
        break;
      case Op::Kind::kSetClockSkew:
        clock_skews_[op.a % kDaemons] =
            std::chrono::milliseconds(static_cast<int>(op.b) * 78 - 2500);
        break;
      case Op::Kind::kSweep:
        Sweep(op.a % kDaemons);
        break;
    }
  }

  /// Ends all faults, completes all calls, then repeats the request of each
  /// key.
  void EndFaultsAndCheck() {
    for (FaultyTable& table : tables_) {
      table.SetFault(TableFault::kNone);
      table.ApplyLateCommits();
    }
    for (Call& call : calls_) {
      Finish(call);
    }
    for (std::uint32_t key = 0; key < 4; ++key) {
      calls_.clear();
      const std::string row = Begin(1, key, false);
      const bool was_answered = first_responses_.contains(row);
      const bool may_have_run = possibly_run_rows_.contains(row);
      Finish(calls_.back());
      const auto& reply = calls_.back().machine.reply();
      if (abandoned_rows_.contains(row)) {
        continue;
      }
      if (!may_have_run) {
        RC_ASSERT(!reply);
      } else if (was_answered && !other_body_rows_.contains(row)) {
        RC_ASSERT(reply && reply->replay);
      } else {
        RC_ASSERT(reply && (reply->replay || reply->refusal));
      }
    }
  }

 private:
  static constexpr std::size_t kDaemons = 3;

  std::string Begin(std::size_t daemon, std::uint32_t key, bool other_body) {
    ClaimKey claim_key;
    claim_key.customer = CustomerId(key < 2 ? "ringers" : "students");
    claim_key.key = key % 2 == 0 ? "k" : "l";
    Claim claim;
    claim.write_id = std::to_string(++last_id_);
    claim.digest =
        ClaimDigest("rota", "POST", "/", other_body ? "other" : "body");
    claim.deadline = WallOf(daemon) + kCallTimeout;
    std::string row = ClaimRowKey(claim_key);
    if (other_body) {
      other_body_rows_.insert(row);
    }
    calls_.emplace_back(daemon, row, claim);
    return row;
  }

  /// Advances the time by `amount` seconds, or by more than the retention.
  ///
  /// After the latter, and before each sweep, all late writes are applied: one
  /// that was applied after its claim was swept would block its key, although
  /// it could not cause a run.
  void Advance(std::uint32_t amount) {
    if (amount % 8 != 0) {
      now_ += std::chrono::seconds(amount);
      return;
    }
    now_ += kClaimRetention + std::chrono::hours(1);
    ApplyAllLateCommits();
  }

  void ApplyAllLateCommits() {
    for (FaultyTable& table : tables_) {
      table.ApplyLateCommits();
    }
  }

  WallClock::time_point WallOf(std::size_t daemon) const {
    return now_ + clock_skews_[daemon];
  }

  void Step(Call& call, WorkResult result) {
    const bool had_reply = call.machine.reply().has_value();
    switch (call.machine.step()) {
      case ClaimStep::kRead:
      case ClaimStep::kWrite: {
        ClaimStore store(tables_[call.daemon]);
        Run(Completed(store.Perform(call.machine, WallOf(call.daemon))));
        break;
      }
      case ClaimStep::kDispatch:
        Dispatch(call, result);
        break;
      case ClaimStep::kWait:
        RC_ASSERT(call.machine.OnWaited(SteadyClock().Now()).has_value());
        break;
      case ClaimStep::kEnd:
        break;
    }
    if (!had_reply) {
      CheckReply(call);
    }
  }

  void Dispatch(Call& call, WorkResult result) {
    RC_ASSERT(!call.is_dispatched);
    RC_ASSERT(!call.machine.reply());
    call.is_dispatched = true;
    switch (result) {
      case WorkResult::kAnswered: {
        CountRun(call);
        const StoredResponse response{200, "text",
                                      call.row_key + std::to_string(last_id_)};
        first_responses_.emplace(call.row_key, response);
        RC_ASSERT(
            call.machine.OnResponse(response, SteadyClock().Now()).has_value());
        break;
      }
      case WorkResult::kRanAnswerLost:
        CountRun(call);
        RC_ASSERT(call.machine.OnUnknown(SteadyClock().Now()).has_value());
        break;
      case WorkResult::kLostBeforeRun:
        possibly_run_rows_.insert(call.row_key);
        RC_ASSERT(call.machine.OnUnknown(SteadyClock().Now()).has_value());
        break;
      case WorkResult::kRefused:
        RC_ASSERT(call.machine.OnNotRun(SteadyClock().Now()).has_value());
        break;
    }
  }

  void CountRun(const Call& call) {
    possibly_run_rows_.insert(call.row_key);
    RC_ASSERT(++runs_[call.row_key] == 1);
  }

  /// A call that got a reply was never dispatched, and a replayed response is
  /// the first one.
  void CheckReply(const Call& call) {
    const auto& reply = call.machine.reply();
    if (!reply) {
      return;
    }
    RC_ASSERT(!call.is_dispatched);
    if (reply->replay && first_responses_.contains(call.row_key)) {
      RC_ASSERT(*reply->replay == first_responses_.at(call.row_key));
    }
  }

  void Finish(Call& call) {
    for (int i = 0; i < 50 && call.machine.step() != ClaimStep::kEnd; ++i) {
      Step(call, WorkResult::kAnswered);
    }
    RC_ASSERT(call.machine.step() == ClaimStep::kEnd);
  }

  void Crash(std::size_t daemon) {
    std::erase_if(calls_, [&](const Call& call) {
      const bool is_lost = call.daemon == daemon;
      if (is_lost && call.machine.step() != ClaimStep::kEnd) {
        abandoned_rows_.insert(call.row_key);
      }
      return is_lost;
    });
    tables_[daemon].SetFault(TableFault::kNone);
  }

  void Sweep(std::size_t daemon) {
    ApplyAllLateCommits();
    TableRead read;
    read.prefixes.emplace_back(kClaimPrefix);
    const auto rows = table_.Read(read);
    const TableTransaction expired = SweepClaims(rows, WallOf(daemon));
    for (const TableWrite& write : expired.writes) {
      RC_ASSERT(!write.value);
      // No claim is deleted within its retention.
      for (const TableRow& row : rows) {
        if (row.key == write.key) {
          RC_ASSERT(now_ >= ParseClaim(row.value)->deadline + kClaimRetention);
        }
      }
      runs_.erase(write.key);
      first_responses_.erase(write.key);
      possibly_run_rows_.erase(write.key);
    }
    table_.Commit(expired);
  }

  FakeTable table_;
  std::array<FaultyTable, kDaemons> tables_{
      FaultyTable(table_), FaultyTable(table_), FaultyTable(table_)};
  std::array<std::chrono::milliseconds, kDaemons> clock_skews_{};
  WallClock::time_point now_{std::chrono::hours(500'000)};
  std::vector<Call> calls_;
  std::uint64_t last_id_ = 0;
  std::map<std::string, int> runs_;
  std::map<std::string, StoredResponse> first_responses_;
  /// Rows whose request may have run.
  std::set<std::string> possibly_run_rows_;
  /// Rows that a crashed daemon may have left in state `kTaken`.
  std::set<std::string> abandoned_rows_;
  /// Rows that were also requested with another body.
  std::set<std::string> other_body_rows_;
};

TEST_CASE("claims of several daemons run each request at most once") {
  REQUIRE(rc::check(
      "at most one run, refused requests did not run, replays are equal", [] {
        const auto runs = *rc::gen::container<std::vector<std::vector<Op>>>(
            kRunsPerCase,
            rc::gen::scale(4.0, rc::gen::container<std::vector<Op>>(AnyOp())));
        for (const std::vector<Op>& ops : runs) {
          Simulation simulation;
          for (const Op& op : ops) {
            simulation.Apply(op);
          }
          simulation.EndFaultsAndCheck();
        }
      }));
}

Claim ClaimOf(const std::string& write_id, const std::string& service) {
  Claim claim;
  claim.write_id = write_id;
  claim.digest = ClaimDigest(service, "POST", "/", "body");
  claim.deadline = WallClock::now() + kCallTimeout;
  return claim;
}

/// Steps a machine to its end, and responds to the request when it may run.
///
/// \returns whether the request ran.
bool RunsWork(FaultyTable& table, ClaimMachine& machine) {
  ClaimStore store(table);
  bool ran = false;
  for (int i = 0; i < 50 && machine.step() != ClaimStep::kEnd; ++i) {
    if (machine.step() == ClaimStep::kDispatch) {
      REQUIRE_FALSE(ran);
      ran = true;
      REQUIRE(
          machine.OnResponse({200, "t", "x"}, SteadyClock().Now()).has_value());
    } else if (machine.step() == ClaimStep::kWait) {
      REQUIRE(machine.OnWaited(SteadyClock().Now()).has_value());
    } else {
      Run(Completed(store.Perform(machine, WallClock::now())));
    }
  }
  REQUIRE(machine.step() == ClaimStep::kEnd);
  return ran;
}

TEST_CASE("one or two failing table calls do not break a claim") {
  for (const TableFault fault :
       {TableFault::kUnavailable, TableFault::kAppliedAnswerLost,
        TableFault::kAppliedLate}) {
    for (std::size_t first = 0; first < 6; ++first) {
      for (std::size_t second = first; second < 8; ++second) {
        INFO("fault " << static_cast<int>(fault) << " at calls " << first
                      << " and " << second);
        FakeTable rows;
        FaultyTable table(rows);
        table.PlanFault(first, fault);
        table.PlanFault(second, fault);
        ClaimMachine machine("claim/a/k", ClaimOf("1", "rota"), kMaxStoreTime);
        const bool ran = RunsWork(table, machine);
        REQUIRE(ran != machine.reply().has_value());
        table.ApplyLateCommits();

        FaultyTable other(rows);
        ClaimMachine repeat("claim/a/k", ClaimOf("2", "rota"), kMaxStoreTime);
        const bool ran_again = RunsWork(other, repeat);
        // A request that was refused as not run can run now; the response of
        // one that ran is replayed.
        REQUIRE(ran_again != ran);
        if (ran) {
          REQUIRE(repeat.reply()->replay->body == "x");
        }
      }
    }
  }
}

TEST_CASE("requests that must not run are refused") {
  FakeTable rows;
  FaultyTable table(rows);
  ClaimMachine machine("claim/a/k", ClaimOf("1", "rota"), kMaxStoreTime);

  SECTION("the same key is used for another service") {
    REQUIRE(RunsWork(table, machine));
    ClaimMachine other("claim/a/k", ClaimOf("2", "shop"), kMaxStoreTime);
    REQUIRE_FALSE(RunsWork(table, other));
    REQUIRE(other.reply()->refusal->code == Errc::kIdempotencyKeyReused);
    REQUIRE(other.reply()->refusal->outcome == Outcome::kNotRun);
  }

  SECTION("the owner has crashed, as seen by daemons with different clocks") {
    ClaimStore store(table);
    Run(Completed(store.Perform(machine, WallClock::now())));
    REQUIRE(machine.step() == ClaimStep::kDispatch);
    const auto deadline = ClaimOf("", "").deadline;
    const auto code_at = [&](WallClock::time_point now) {
      ClaimMachine repeat("claim/a/k", ClaimOf("2", "rota"), kMaxStoreTime);
      for (int i = 0; i < 5 && !repeat.reply(); ++i) {
        Run(Completed(store.Perform(repeat, now)));
      }
      REQUIRE(repeat.reply().has_value());
      REQUIRE(repeat.reply()->refusal->outcome == Outcome::kUnknown);
      return repeat.reply()->refusal->code;
    };
    REQUIRE(code_at(deadline + kMaxClockSkew / 2) == Errc::kInProgress);
    REQUIRE(code_at(deadline + kMaxClockSkew * 2) == Errc::kOutcomeUnknown);
    // The claim of the crashed owner is never swept.
    TableRead all;
    all.prefixes.emplace_back(kClaimPrefix);
    REQUIRE(SweepClaims(rows.Read(all), deadline + kClaimRetention * 1000)
                .writes.empty());
  }

  SECTION("an event is not accepted in the current state") {
    REQUIRE(machine.OnNotRun({}).error().code == Errc::kUnexpectedEvent);
    REQUIRE(machine.OnWaited({}).error().code == Errc::kUnexpectedEvent);
    REQUIRE(machine.step() == ClaimStep::kWrite);
  }

  SECTION("a release that is applied late does not affect the next owner") {
    ClaimStore store(table);
    Run(Completed(store.Perform(machine, WallClock::now())));
    REQUIRE(machine.OnNotRun(SteadyClock().Now()).has_value());
    Run(Completed(store.Perform(machine, WallClock::now())));
    table.PlanFault(table.calls(), TableFault::kAppliedLate);
    REQUIRE_FALSE(RunsWork(table, machine));
    REQUIRE(machine.is_stored());

    ClaimMachine next("claim/a/k", ClaimOf("2", "rota"), kMaxStoreTime);
    Run(Completed(store.Take(next)));
    REQUIRE(next.step() == ClaimStep::kDispatch);
    table.ApplyLateCommits();
    ClaimMachine third("claim/a/k", ClaimOf("3", "rota"), kMaxStoreTime);
    REQUIRE_FALSE(RunsWork(table, third));
    REQUIRE(third.reply()->refusal->code == Errc::kInProgress);
  }

  SECTION("the final state cannot be stored in time") {
    ClaimStore store(table);
    Run(Completed(store.Perform(machine, WallClock::now())));
    const TimePoint now = SteadyClock().Now();
    REQUIRE(machine.OnResponse({200, "t", "x"}, now).has_value());
    table.SetFault(TableFault::kUnavailable);
    Run(Completed(store.Perform(machine, WallClock::now())));
    REQUIRE(machine.step() == ClaimStep::kWait);
    REQUIRE(machine.OnWaited(now + kMaxStoreTime).has_value());
    REQUIRE(machine.step() == ClaimStep::kEnd);
    REQUIRE_FALSE(machine.is_stored());
  }
}

TableTransaction TakeTransaction(const std::string& row,
                                 std::uint64_t version) {
  TableTransaction transaction;
  transaction.conditions.push_back({row, version});
  transaction.writes.push_back({row, "taken"});
  return transaction;
}

std::vector<Result<bool>> CommitConcurrently(
    FaultyTable& table,
    const std::vector<TableTransaction>& transactions) {
  ClaimBatchLimits limits;
  limits.interval = std::chrono::milliseconds(1);
  ClaimBatcher batcher(table, limits);
  boost::asio::io_context context;
  std::vector<Result<bool>> results(transactions.size(), false);
  std::size_t answered = 0;
  for (std::size_t i = 0; i < transactions.size(); ++i) {
    boost::asio::co_spawn(context, batcher.Commit(transactions[i]),
                          [&, i](const std::exception_ptr&, Result<bool> one) {
                            results[i] = std::move(one);
                            ++answered;
                          });
  }
  context.run();
  REQUIRE(answered == transactions.size());
  return results;
}

TEST_CASE("many claims are committed in one transaction") {
  FakeTable rows;
  FaultyTable table(rows);
  std::vector<TableTransaction> all;
  all.reserve(51);
  for (int i = 0; i < 50; ++i) {
    all.push_back(TakeTransaction("claim/" + std::to_string(i), 0));
  }

  SECTION("all conditions hold") {
    for (const auto& result : CommitConcurrently(table, all)) {
      REQUIRE(result.value());
    }
    REQUIRE(rows.commits() <= ClaimBatchLimits().burst + 2);
  }

  SECTION("a conflict fails only its own transaction") {
    rows.Commit(TakeTransaction("claim/7", 0));
    const auto results = CommitConcurrently(table, all);
    for (std::size_t i = 0; i < results.size(); ++i) {
      REQUIRE(results[i].value() == (i != 7));
    }
  }

  SECTION("two transactions write the same row") {
    all.push_back(TakeTransaction("claim/7", 0));
    const auto results = CommitConcurrently(table, all);
    REQUIRE(results[7].value() != results.back().value());
  }

  SECTION("one table call fails") {
    for (const TableFault fault :
         {TableFault::kUnavailable, TableFault::kAppliedAnswerLost,
          TableFault::kAppliedLate}) {
      for (std::size_t n = 0; n < 5; ++n) {
        FakeTable fresh;
        FaultyTable faulty(fresh);
        fresh.Commit(TakeTransaction("claim/7", 0));
        faulty.PlanFault(n, fault);
        const auto results = CommitConcurrently(faulty, all);
        for (std::size_t i = 0; i < results.size(); ++i) {
          TableRead read;
          read.keys.push_back(all[i].conditions.front().key);
          const bool is_there = !fresh.Read(read).empty();
          if (results[i]) {
            const bool took = *results[i];
            REQUIRE(took == (is_there && i != 7));
          } else if (results[i].error().code == Errc::kTableUnavailable) {
            REQUIRE((!is_there || i == 7));
          }
        }
        REQUIRE_FALSE((results[7] && *results[7]));
      }
    }
  }
}

}  // namespace
}  // namespace sycamoreford
