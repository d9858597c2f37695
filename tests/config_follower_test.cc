// ConfigFollower puts only complete, valid and higher revisions in force.
#include <catch2/catch.hpp>

#include "support/config_changes.h"
#include "sycamoreford/config/config_follower.h"
#include "sycamoreford/config/config_keys.h"

namespace sycamoreford {
namespace {

using support::ChangeRow;
using support::HeadRow;
using support::MakeChanges;

const TimePoint kStart{std::chrono::hours(1)};

TEST_CASE("A follower applies only complete and higher revisions") {
  const std::vector<v1::Change> changes = MakeChanges(5);
  ConfigFollower follower;

  SECTION("a read older than the revision in force confirms nothing") {
    REQUIRE(follower.OfferChange(changes[0]) == OfferResult::kApplied);
    REQUIRE(follower.OfferChange(changes[1]) == OfferResult::kApplied);
    REQUIRE(follower.OfferRows({HeadRow(1)}, kStart).has_value());
    REQUIRE_FALSE(follower.confirmed_at().has_value());
    REQUIRE(follower.current()->revision() == Revision(2));
    REQUIRE(follower.OfferRows({}, kStart).has_value());
    REQUIRE_FALSE(follower.confirmed_at().has_value());
  }

  SECTION("a read older than a revision known from a peer confirms nothing") {
    follower.ObserveRevision(Revision(3));
    REQUIRE(follower.OfferRows({HeadRow(1), ChangeRow(changes[0])}, kStart)
                .value() == Revision(1));
    REQUIRE_FALSE(follower.confirmed_at().has_value());
  }

  SECTION("a read that shows the revision in force as the head confirms it") {
    REQUIRE(follower.OfferRows({HeadRow(1), ChangeRow(changes[0])}, kStart)
                .has_value());
    REQUIRE(follower.confirmed_at() == kStart);
    SECTION("and a read begun earlier does not move the time back") {
      const TimePoint earlier = kStart - std::chrono::seconds(1);
      REQUIRE(follower.OfferRows({HeadRow(1)}, earlier).has_value());
      REQUIRE(follower.confirmed_at() == kStart);
    }
  }

  SECTION("the changes before a corrupted one are applied") {
    TableRow broken = ChangeRow(changes[2]);
    broken.value = "{\"revision\":";
    REQUIRE(follower
                .OfferRows({HeadRow(3), ChangeRow(changes[0]),
                            ChangeRow(changes[1]), broken},
                           kStart)
                .error()
                .code == Errc::kMalformed);
    REQUIRE(follower.current()->revision() == Revision(2));
    REQUIRE_FALSE(follower.confirmed_at().has_value());
    SECTION("and the snapshot row replaces the corrupted change") {
      const TableRead next = follower.NextRead();
      REQUIRE(std::find(next.keys.begin(), next.keys.end(),
                        kConfigSnapshotKey) != next.keys.end());
      const Configuration latest = support::Replay(changes, 5);
      REQUIRE(follower
                  .OfferRows({HeadRow(5),
                              broken,
                              {kConfigSnapshotKey,
                               ToTableJson(latest.ToSnapshot()), 9}},
                             kStart)
                  .value() == Revision(5));
      REQUIRE(follower.current()->digest() == latest.digest());
      REQUIRE(follower.confirmed_at() == kStart);
    }
  }

  SECTION("a corrupted snapshot row is skipped and the changes are applied") {
    REQUIRE(follower
                .OfferRows({HeadRow(1),
                            {kConfigSnapshotKey, "{", 4},
                            ChangeRow(changes[0])},
                           kStart)
                .value() == Revision(1));
    REQUIRE(follower.current()->revision() == Revision(1));
    REQUIRE(follower.confirmed_at() == kStart);
  }

  SECTION("changes newer than the snapshot are applied on top of it") {
    const Configuration second = support::Replay(changes, 2);
    REQUIRE(follower
                .OfferRows(
                    {HeadRow(4),
                     {kConfigSnapshotKey, ToTableJson(second.ToSnapshot()), 3},
                     ChangeRow(changes[0]),
                     ChangeRow(changes[1]),
                     ChangeRow(changes[2]),
                     ChangeRow(changes[3])},
                    kStart)
                .value() == Revision(4));
    REQUIRE(follower.current()->revision() == Revision(4));
  }

  SECTION("a change in the row of another revision is rejected") {
    TableRow moved = ChangeRow(changes[0]);
    moved.key = ConfigChangeKey(Revision(2));
    REQUIRE_FALSE(follower.OfferRows({HeadRow(2), moved}, kStart).has_value());
    REQUIRE(follower.current()->revision() == Revision());
  }

  SECTION("old, duplicate, non-consecutive and forged changes have no effect") {
    REQUIRE(follower.OfferChange(changes[0]) == OfferResult::kApplied);
    REQUIRE(follower.OfferChange(changes[1]) == OfferResult::kApplied);
    REQUIRE(follower.OfferChange(changes[0]) == OfferResult::kUnchanged);
    REQUIRE(follower.OfferChange(changes[1]) == OfferResult::kUnchanged);
    REQUIRE(follower.OfferChange(changes[3]) == OfferResult::kGap);
    REQUIRE(follower.OfferSnapshot(support::Replay(changes, 1).ToSnapshot()) ==
            OfferResult::kUnchanged);
    v1::Change forged = changes[2];
    forged.mutable_edits(0)->mutable_resource()->mutable_priority()->set_rank(
        77);
    REQUIRE(follower.OfferChange(forged) == OfferResult::kInvalid);
    REQUIRE(follower.current()->revision() == Revision(2));
  }

  SECTION("a snapshot with a duplicate resource is rejected") {
    v1::Snapshot snapshot = support::Replay(changes, 3).ToSnapshot();
    *snapshot.add_resources() = snapshot.resources(0);
    REQUIRE(follower.OfferSnapshot(snapshot) == OfferResult::kInvalid);
  }
}

}  // namespace
}  // namespace sycamoreford
