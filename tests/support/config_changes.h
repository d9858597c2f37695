#pragma once

#include <string>
#include <vector>

#include "sycamoreford/config/config_follower.h"
#include "sycamoreford/config/config_keys.h"

namespace sycamoreford::support {

/// An edit that creates or replaces the priority `name` with this rank.
inline v1::Edit PutPriority(const std::string& name, std::uint32_t rank) {
  v1::Edit edit;
  edit.set_verb(v1::Edit::VERB_PUT);
  edit.set_kind(v1::KIND_PRIORITY);
  edit.mutable_resource()->set_name(name);
  edit.mutable_resource()->mutable_priority()->set_rank(rank);
  return edit;
}

/// Valid changes with revisions 1 to `count`, each based on the previous one.
inline std::vector<v1::Change> MakeChanges(std::uint64_t count) {
  std::vector<v1::Change> changes;
  Configuration current;
  for (std::uint64_t i = 1; i <= count; ++i) {
    v1::Change change;
    change.set_revision(i);
    change.set_write_id("w" + std::to_string(i));
    *change.add_edits() =
        PutPriority("p" + std::to_string(i % 3), static_cast<std::uint32_t>(i));
    current = current.Apply(change).value();
    change.set_digest(current.digest());
    changes.push_back(change);
  }
  return changes;
}

/// The configuration after the first `count` changes.
inline Configuration Replay(const std::vector<v1::Change>& changes,
                            std::size_t count) {
  Configuration current;
  for (std::size_t i = 0; i < count; ++i) {
    current = current.Apply(changes[i]).value();
  }
  return current;
}

/// The table's head row at a revision.
inline TableRow HeadRow(std::uint64_t revision) {
  return {kConfigHeadKey, std::to_string(revision), revision + 1};
}

/// The table row of a change.
inline TableRow ChangeRow(const v1::Change& change) {
  return {ConfigChangeKey(Revision(change.revision())), ToTableJson(change), 1};
}

}  // namespace sycamoreford::support
