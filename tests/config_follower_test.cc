// What a daemon has in force: only whole, valid and higher revisions.
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

TEST_CASE("A follower takes only whole and higher revisions") {
  const std::vector<v1::Change> changes = MakeChanges(5);
  ConfigFollower follower;

  SECTION("a read that is older than what is in force confirms nothing") {
    REQUIRE(follower.OfferChange(changes[0]) == OfferResult::kApplied);
    REQUIRE(follower.OfferChange(changes[1]) == OfferResult::kApplied);
    REQUIRE(follower.OfferRows({HeadRow(1)}, kStart).has_value());
    REQUIRE_FALSE(follower.confirmed_at().has_value());
    REQUIRE(follower.current()->revision() == Revision(2));
    REQUIRE(follower.OfferRows({}, kStart).has_value());
    REQUIRE_FALSE(follower.confirmed_at().has_value());
  }

  SECTION("a read older than a revision heard of confirms nothing") {
    follower.ObserveRevision(Revision(3));
    REQUIRE(follower.OfferRows({HeadRow(1), ChangeRow(changes[0])}, kStart)
                .value() == Revision(1));
    REQUIRE_FALSE(follower.confirmed_at().has_value());
  }

  SECTION("a read that shows the revision in force as the head confirms it") {
    REQUIRE(follower.OfferRows({HeadRow(1), ChangeRow(changes[0])}, kStart)
                .has_value());
    REQUIRE(follower.confirmed_at() == kStart);
    SECTION("and a read begun earlier does not take that back") {
      const TimePoint earlier = kStart - std::chrono::seconds(1);
      REQUIRE(follower.OfferRows({HeadRow(1)}, earlier).has_value());
      REQUIRE(follower.confirmed_at() == kStart);
    }
  }

  SECTION("a corrupted change stops it there, with those before in force") {
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
    SECTION("and the snapshot row leads past it") {
      const TableRead next = follower.NextRead();
      REQUIRE(std::find(next.keys.begin(), next.keys.end(),
                        kConfigSnapshotKey) != next.keys.end());
      const Configuration whole = support::Replay(changes, 5);
      REQUIRE(follower
                  .OfferRows({HeadRow(5),
                              broken,
                              {kConfigSnapshotKey,
                               ToTableJson(whole.ToSnapshot()), 9}},
                             kStart)
                  .value() == Revision(5));
      REQUIRE(follower.current()->digest() == whole.digest());
      REQUIRE(follower.confirmed_at() == kStart);
    }
  }

  SECTION("a corrupted snapshot row leaves the changes to go by") {
    REQUIRE(follower
                .OfferRows({HeadRow(1),
                            {kConfigSnapshotKey, "{", 4},
                            ChangeRow(changes[0])},
                           kStart)
                .value() == Revision(1));
    REQUIRE(follower.current()->revision() == Revision(1));
    REQUIRE(follower.confirmed_at() == kStart);
  }

  SECTION("a snapshot older than the changes is passed over by them") {
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

  SECTION("a change under the row of another revision is not taken") {
    TableRow moved = ChangeRow(changes[0]);
    moved.key = ConfigChangeKey(Revision(2));
    REQUIRE_FALSE(follower.OfferRows({HeadRow(2), moved}, kStart).has_value());
    REQUIRE(follower.current()->revision() == Revision());
  }

  SECTION("old, doubled and skipping changes of peers change nothing") {
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

  SECTION("a snapshot with two resources of one name is not taken") {
    v1::Snapshot snapshot = support::Replay(changes, 3).ToSnapshot();
    *snapshot.add_resources() = snapshot.resources(0);
    REQUIRE(follower.OfferSnapshot(snapshot) == OfferResult::kInvalid);
  }
}

}  // namespace
}  // namespace sycamoreford
