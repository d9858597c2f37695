#pragma once

#include <cstdint>

#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// Identifies a request that waits to be admitted or was admitted.
using AdmissionId = StrongId<struct AdmissionIdTag, std::uint64_t>;

}  // namespace sycamoreford
