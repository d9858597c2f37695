#pragma once

#include <cstdint>

namespace sycamoreford {

/// Place of this daemon among the live ones.
struct FleetPosition {
  /// Position in the order of the daemons' names; below `count`.
  std::uint32_t index = 0;
  /// Number of live daemons, this one included; at least 1.
  std::uint32_t count = 1;

  friend bool operator==(const FleetPosition&, const FleetPosition&) = default;
};

}  // namespace sycamoreford
