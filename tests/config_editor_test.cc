// Operators' changes: accepted only when durable, whatever the table does.
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

/// One daemon's editor and follower over its own link to the table.
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
  request.expected = expected;
  return request;
}

/// What the table holds in truth.
ConfigFollower Truth(FakeTable& shared) {
  Daemon reader(shared);
  ChangeRequest probe = Put(999);
  probe.dry_run = true;
  REQUIRE(reader.Apply(probe, "probe", "probe").has_value());
  return reader.follower;
}

bool Contains(const ConfigFollower& truth, const std::string& write_id) {
  const auto& changes = truth.recent_changes();
  return std::any_of(
      changes.begin(), changes.end(),
      [&](const v1::Change& change) { return change.write_id() == write_id; });
}

TEST_CASE("An accepted change is durable and a refused one never appears") {
  FakeTable shared;
  Daemon ada(shared);
  Daemon bea(shared);
  REQUIRE(ada.Apply(Put(1), "ada", "a1").value().revision() == 1);

  SECTION("of two operators who looked at the same revision one is refused") {
    REQUIRE(bea.Apply(Put(2, Revision(1)), "bea", "b1").has_value());
    const auto late = ada.Apply(Put(3, Revision(1)), "ada", "a2");
    REQUIRE(late.error().code == Errc::kConflict);
    SECTION("and learns who came first, with what") {
      REQUIRE(ada.follower.recent_changes().back().author() == "bea");
      REQUIRE(ada.follower.recent_changes().back().edits_size() == 1);
    }
  }

  SECTION("the n-th call of the table fails in each way, for every n") {
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
              REQUIRE(Contains(Truth(table), "a2"));
              REQUIRE(daemon.follower.current()->revision() == Revision(2));
            } else if (accepted.error().outcome == Outcome::kNotRun) {
              REQUIRE_FALSE(Contains(Truth(table), "a2"));
            }
          }
        }
      }
    }
  }

  SECTION("a single fault of any call never leaves the outcome unknown") {
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

  SECTION("a lost answer followed by a lost fence is settled as not accepted") {
    // Calls: 0 catch up, 1 commit, 2 read back, 3 fence.
    ada.table.PlanFault(ada.table.calls() + 1, TableFault::kAppliedLate);
    ada.table.PlanFault(ada.table.calls() + 3, TableFault::kAppliedAnswerLost);
    const auto refused = ada.Apply(Put(2), "ada", "a2");
    REQUIRE(refused.error().code == Errc::kTableUnavailable);
    ada.table.ApplyLateCommits();
    REQUIRE_FALSE(Contains(Truth(shared), "a2"));
  }

  SECTION("an unknown outcome can be settled once the table is back") {
    ada.table.PlanFault(ada.table.calls() + 1, TableFault::kAppliedAnswerLost);
    for (std::size_t i = 2; i < 20; ++i) {
      ada.table.PlanFault(ada.table.calls() + i, TableFault::kUnavailable);
    }
    const auto unknown = ada.Apply(Put(2), "ada", "a2");
    REQUIRE(unknown.error().code == Errc::kTableAnswerLost);
    REQUIRE(unknown.error().outcome == Outcome::kUnknown);
    while (Run(ada.table.Read({})).has_error()) {
    }
    REQUIRE(Run(ada.editor.Settle(ada.follower, kNow)).value().write_id() ==
            "a2");
  }

  SECTION("a write id used twice does not pass off one change as the other") {
    ada.table.PlanFault(ada.table.calls() + 1, TableFault::kAppliedLate);
    for (std::size_t i = 2; i < 5; ++i) {
      ada.table.PlanFault(ada.table.calls() + i, TableFault::kUnavailable);
    }
    REQUIRE(ada.Apply(Put(9), "ada", "same").error().outcome ==
            Outcome::kUnknown);
    REQUIRE(bea.Apply(Put(7), "bea", "same").has_value());
    REQUIRE(Run(ada.editor.Settle(ada.follower, kNow)).error().code ==
            Errc::kConflict);
    ada.table.ApplyLateCommits();
    REQUIRE(Truth(shared).current()->revision() == Revision(2));
  }

  SECTION("a daemon that a peer brought ahead writes on the newest revision") {
    const auto second = bea.Apply(Put(2), "bea", "b1").value();
    REQUIRE(ada.follower.OfferChange(second) == OfferResult::kApplied);
    REQUIRE(ada.Apply(Put(3), "ada", "a2").value().revision() == 3);
  }

  SECTION("a history longer than one read is read whole") {
    for (std::uint32_t i = 0; i < 300; ++i) {
      REQUIRE(
          bea.Apply(Put(i + 2), "bea", "b" + std::to_string(i)).has_value());
    }
    Daemon fresh(shared);
    REQUIRE(fresh.Apply(Put(5), "cia", "c1").value().revision() == 302);
    REQUIRE(fresh.follower.current()->digest() ==
            Truth(shared).current()->digest());
  }
}

}  // namespace
}  // namespace sycamoreford
