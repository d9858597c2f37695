#pragma once

#include <optional>

#include "sycamoreford/core/failure.h"

namespace sycamoreford {
class Configuration;

namespace impl {

/// Checks that every resource is complete and that all names it refers to
/// exist.
///
/// \returns the first fault found, with its place, or nothing.
[[nodiscard]] std::optional<Failure> ValidateConfiguration(
    const Configuration& configuration);

}  // namespace impl
}  // namespace sycamoreford
