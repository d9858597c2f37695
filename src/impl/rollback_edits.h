#pragma once

#include <vector>

#include "sycamoreford/config/configuration.h"

namespace sycamoreford::impl {

/// Computes the edits that restore the content of revision `target`.
///
/// \param current the configuration to change.
/// \param changes all changes from revision 1 to `target`, in any order.
/// \returns the edits, `kNotFound` when changes are missing, or
///     `kInvalidChange` when the contents are already equal.
[[nodiscard]] Result<std::vector<v1::Edit>> RollbackEdits(
    const Configuration& current,
    Revision target,
    std::vector<v1::Change> changes);

}  // namespace sycamoreford::impl
