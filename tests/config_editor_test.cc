// ConfigEditor reports a change as accepted only when it is durable in the
// table, and as not accepted only when it can never appear there, whichever
// table calls fail or lose their answers.
#include <catch2/catch.hpp>

#include "fakes/faulty_table.h"
#include "support/config_changes.h"
#include "support/run.h"
#include "sycamoreford/config/config_editor.h"

namespace sycamoreford {
namespace {

using fakes::FakeTable;
using fakes::FaultyTable;
using fakes::TableFault;
using support::PutPriority;
using support::Run;

const TimePoint kNow{std::chrono::hours(1)};

/// One daemon's editor and follower with its own connection to the table.
struct Daemon {
  explicit Daemon(FakeTable& shared) : table(shared), editor(table) {}

  Result<v1::Change> Apply(const ChangeRequest& request,
                           const std::string& author,
                           const std::string& write_id) {
    return Run(editor.Apply(
        follower, request,
        {.author = author, .time = {}, .note = {}, .write_id = write_id},
        kNow));
  }

  FaultyTable table;
  ConfigEditor<FaultyTable> editor;
  ConfigFollower follower;
};

ChangeRequest Put(std::uint32_t rank, Revision expected = {}) {
  ChangeRequest request;
  request.edits = {PutPriority("standard", rank)};
  request.expected_revision = expected;
  return request;
}

/// A follower that has read the current content of the table.
ConfigFollower CaughtUpFollower(FakeTable& shared) {
  Daemon reader(shared);
  ChangeRequest probe = Put(999);
  probe.dry_run = true;
  REQUIRE(reader.Apply(probe, "probe", "probe").has_value());
  return reader.follower;
}

bool HasChange(const ConfigFollower& follower, const std::string& write_id) {
  const auto& changes = follower.recent_changes();
  return std::any_of(
      changes.begin(), changes.end(),
      [&](const v1::Change& change) { return change.write_id() == write_id; });
}

TEST_CASE("An accepted change is durable and a rejected one never appears") {
  FakeTable shared;
  Daemon daemon_a(shared);
  Daemon daemon_b(shared);
  REQUIRE(daemon_a.Apply(Put(1), "ada", "a1").value().revision() == 1);

  SECTION(
      "of two changes based on the same revision the second is a conflict") {
    REQUIRE(daemon_b.Apply(Put(2, Revision(1)), "bea", "b1").has_value());
    const auto late = daemon_a.Apply(Put(3, Revision(1)), "ada", "a2");
    REQUIRE(late.error().code == Errc::kConflict);
    SECTION("and its daemon has the change that was accepted first") {
      REQUIRE(daemon_a.follower.recent_changes().back().author() == "bea");
      REQUIRE(daemon_a.follower.recent_changes().back().edits_size() == 1);
    }
  }

  SECTION("any two table calls fail in any combination of ways") {
    const TableFault faults[] = {TableFault::kUnavailable,
                                 TableFault::kAppliedAnswerLost,
                                 TableFault::kAppliedLate};
    for (const TableFault first : faults) {
      for (const TableFault second : faults) {
        for (std::size_t n = 0; n < 8; ++n) {
          for (std::size_t m = n; m < 8; ++m) {
            FakeTable table;
            REQUIRE(Daemon(table).Apply(Put(1), "ada", "a1").has_value());
            Daemon daemon(table);
            daemon.table.PlanFault(n, first);
            daemon.table.PlanFault(m, second);
            const auto accepted = daemon.Apply(Put(2), "ada", "a2");
            daemon.table.ApplyLateCommits();
            CAPTURE(n, m, static_cast<int>(first), static_cast<int>(second));
            if (accepted.has_value()) {
              REQUIRE(HasChange(CaughtUpFollower(table), "a2"));
              REQUIRE(daemon.follower.current()->revision() == Revision(2));
            } else if (accepted.error().outcome == Outcome::kNotRun) {
              REQUIRE_FALSE(HasChange(CaughtUpFollower(table), "a2"));
            }
          }
        }
      }
    }
  }

  SECTION("a single failed call never leaves the outcome unknown") {
    for (const TableFault fault :
         {TableFault::kUnavailable, TableFault::kAppliedAnswerLost,
          TableFault::kAppliedLate}) {
      for (std::size_t n = 0; n < 6; ++n) {
        FakeTable table;
        Daemon daemon(table);
        daemon.table.PlanFault(n, fault);
        const auto accepted = daemon.Apply(Put(2), "ada", "a2");
        CAPTURE(n, static_cast<int>(fault));
        REQUIRE((accepted.has_value() ||
                 accepted.error().outcome == Outcome::kNotRun));
      }
    }
  }

  SECTION(
      "losing the answers of commit and fencing write resolves to rejected") {
    // Calls: 0 catch up, 1 commit, 2 read back, 3 fencing write.
    daemon_a.table.PlanFault(daemon_a.table.calls() + 1,
                             TableFault::kAppliedLate);
    daemon_a.table.PlanFault(daemon_a.table.calls() + 3,
                             TableFault::kAppliedAnswerLost);
    const auto rejected = daemon_a.Apply(Put(2), "ada", "a2");
    REQUIRE(rejected.error().code == Errc::kTableUnavailable);
    daemon_a.table.ApplyLateCommits();
    REQUIRE_FALSE(HasChange(CaughtUpFollower(shared), "a2"));
  }

  SECTION("an unknown outcome can be resolved once the table is available") {
    daemon_a.table.PlanFault(daemon_a.table.calls() + 1,
                             TableFault::kAppliedAnswerLost);
    for (std::size_t i = 2; i < 20; ++i) {
      daemon_a.table.PlanFault(daemon_a.table.calls() + i,
                               TableFault::kUnavailable);
    }
    const auto unknown = daemon_a.Apply(Put(2), "ada", "a2");
    REQUIRE(unknown.error().code == Errc::kTableAnswerLost);
    REQUIRE(unknown.error().outcome == Outcome::kUnknown);
    while (Run(daemon_a.table.Read({})).has_error()) {
    }
    REQUIRE(Run(daemon_a.editor.ResolveOutcome(daemon_a.follower, kNow))
                .value()
                .write_id() == "a2");
  }

  SECTION("two changes with the same write id are told apart") {
    daemon_a.table.PlanFault(daemon_a.table.calls() + 1,
                             TableFault::kAppliedLate);
    for (std::size_t i = 2; i < 5; ++i) {
      daemon_a.table.PlanFault(daemon_a.table.calls() + i,
                               TableFault::kUnavailable);
    }
    REQUIRE(daemon_a.Apply(Put(9), "ada", "same").error().outcome ==
            Outcome::kUnknown);
    REQUIRE(daemon_b.Apply(Put(7), "bea", "same").has_value());
    REQUIRE(Run(daemon_a.editor.ResolveOutcome(daemon_a.follower, kNow))
                .error()
                .code == Errc::kConflict);
    daemon_a.table.ApplyLateCommits();
    REQUIRE(CaughtUpFollower(shared).current()->revision() == Revision(2));
  }

  SECTION("a daemon updated by a peer writes on top of the newest revision") {
    const auto second = daemon_b.Apply(Put(2), "bea", "b1").value();
    REQUIRE(daemon_a.follower.OfferChange(second) == OfferResult::kApplied);
    REQUIRE(daemon_a.Apply(Put(3), "ada", "a2").value().revision() == 3);
  }

  SECTION("a history longer than one read is read completely") {
    for (std::uint32_t i = 0; i < 300; ++i) {
      REQUIRE(daemon_b.Apply(Put(i + 2), "bea", "b" + std::to_string(i))
                  .has_value());
    }
    Daemon new_daemon(shared);
    REQUIRE(new_daemon.Apply(Put(5), "cia", "c1").value().revision() == 302);
    REQUIRE(new_daemon.follower.current()->digest() ==
            CaughtUpFollower(shared).current()->digest());
  }
}

}  // namespace
}  // namespace sycamoreford
