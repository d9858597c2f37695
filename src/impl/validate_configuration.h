#pragma once

#include <optional>

#include "sycamoreford/core/failure.h"

namespace sycamoreford {
class Configuration;

namespace impl {

/// Checks that every resource has valid fields and that all resources it refers
/// to exist.
///
/// \returns the first error found, with the invalid field in `where`, or
///     nothing.
[[nodiscard]] std::optional<Failure> ValidateConfiguration(
    const Configuration& configuration);

}  // namespace impl
}  // namespace sycamoreford
