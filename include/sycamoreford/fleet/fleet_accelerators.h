#pragma once

#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/fleet/endpoint_directory.h"
#include "sycamoreford/placement/accelerator.h"
#include "sycamoreford/relay/manifest.h"

namespace sycamoreford {

/// The accelerators that can run layers of a service.
///
/// \param only_usable whether to omit endpoints that are not usable at `now`,
///     for example because they are suspected or leaving.
/// Precondition: the service has an engine.
/// Thread safety: as that of `directory`.
[[nodiscard]] std::vector<Accelerator> AcceleratorsOf(
    const EndpointDirectory& directory,
    const RelayService& service,
    TimePoint now,
    bool only_usable);

}  // namespace sycamoreford
