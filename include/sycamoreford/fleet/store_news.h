#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sycamoreford/fleet/endpoint_record.h"
#include "sycamoreford/fleet/store_position.h"

namespace sycamoreford {

/// What a daemon that reads the store tells the others.
struct StoreNews {
  /// Position in the feed of endpoints that the sender has read up to. Era 0 if
  /// the sender does not know eras.
  StorePosition position;
  /// `ListedEndpoints::digest` at this position.
  std::uint64_t digest = 0;
  /// Revision of the configuration in force at the sender.
  std::uint64_t revision = 0;
  /// Whether the store does not answer the sender; if so, nothing but
  /// `revision` is set.
  bool is_store_lost = false;
  /// Whether endpoints that were removed may be announced again soon, since the
  /// store was unreachable.
  bool may_return = false;
  /// Entries that have changed lately, and ids of those that were removed.
  std::vector<EndpointRecord> changed;
  std::vector<std::string> removed;
};

}  // namespace sycamoreford
