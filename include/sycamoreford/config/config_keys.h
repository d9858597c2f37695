#pragma once

#include <string>

#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// Key of the row that holds the newest revision, in decimal.
inline constexpr const char* kConfigHeadKey = "config/head";
/// Key of the row that holds a complete snapshot, as protobuf JSON.
inline constexpr const char* kConfigSnapshotKey = "config/snapshot";
/// Key prefix of the rows that hold one change each, as protobuf JSON.
inline constexpr const char* kConfigChangePrefix = "config/change/";

/// Key of the row with the change that created `revision`. The revision has
/// leading zeros, so that keys sort by revision.
[[nodiscard]] std::string ConfigChangeKey(Revision revision);

}  // namespace sycamoreford
