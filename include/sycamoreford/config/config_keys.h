#pragma once

#include <string>

#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// Row that holds the newest revision, in decimal.
inline constexpr const char* kConfigHeadKey = "config/head";
/// Row that holds a whole snapshot, as protobuf JSON.
inline constexpr const char* kConfigSnapshotKey = "config/snapshot";
/// Prefix of the rows that hold one change each, as protobuf JSON.
inline constexpr const char* kConfigChangePrefix = "config/change/";

/// Row of the change that made `revision`; keys sort by revision.
[[nodiscard]] std::string ConfigChangeKey(Revision revision);

}  // namespace sycamoreford
