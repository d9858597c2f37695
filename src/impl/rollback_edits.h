#pragma once

#include <vector>

#include "sycamoreford/config/configuration.h"

namespace sycamoreford::impl {

/// The edits that bring `current` back to the content of an older revision.
///
/// \param changes all changes from 1 to `target`, in any order.
/// \returns the edits, or `kNotFound` when changes are missing, or
///     `kInvalidChange` when there is nothing to change.
[[nodiscard]] Result<std::vector<v1::Edit>> RollbackEdits(
    const Configuration& current,
    Revision target,
    std::vector<v1::Change> changes);

}  // namespace sycamoreford::impl
