#include "impl/rollback_edits.h"

#include <algorithm>

namespace sycamoreford::impl {
namespace {

bool HaveSameContent(v1::Resource a, v1::Resource b) {
  a.clear_revision();
  b.clear_revision();
  return a.SerializeAsString() == b.SerializeAsString();
}

v1::Edit MakeEdit(v1::Edit::Verb verb, const v1::Resource& resource) {
  v1::Edit edit;
  edit.set_verb(verb);
  edit.set_kind(KindOf(resource));
  *edit.mutable_resource() = resource;
  return edit;
}

}  // namespace

Result<std::vector<v1::Edit>> RollbackEdits(const Configuration& current,
                                            Revision target,
                                            std::vector<v1::Change> changes) {
  std::sort(changes.begin(), changes.end(),
            [](const v1::Change& a, const v1::Change& b) {
              return a.revision() < b.revision();
            });
  Configuration restored;
  for (const v1::Change& change : changes) {
    auto next = restored.Apply(change);
    if (!next) {
      return Failure{.code = Errc::kNotFound, .where = "to_revision"};
    }
    restored = std::move(*next);
  }
  if (restored.revision() != target) {
    return Failure{.code = Errc::kNotFound, .where = "to_revision"};
  }
  std::vector<v1::Edit> edits;
  for (const v1::Resource* old : restored.List(v1::KIND_UNSPECIFIED)) {
    const v1::Resource* existing = current.Find(KindOf(*old), old->name());
    if (existing == nullptr || !HaveSameContent(*existing, *old)) {
      edits.push_back(MakeEdit(v1::Edit::VERB_PUT, *old));
    }
  }
  for (const v1::Resource* existing : current.List(v1::KIND_UNSPECIFIED)) {
    if (restored.Find(KindOf(*existing), existing->name()) == nullptr) {
      edits.push_back(MakeEdit(v1::Edit::VERB_DELETE, *existing));
    }
  }
  if (edits.empty()) {
    return Failure{.code = Errc::kInvalidChange, .where = "to_revision"};
  }
  return edits;
}

}  // namespace sycamoreford::impl
