#pragma once

#include <cstdint>

namespace sycamoreford {

/// Position of this daemon among the live daemons.
struct FleetPosition {
  /// Index in the order of the daemons' names; less than `count`.
  std::uint32_t index = 0;
  /// Number of live daemons, this one included; at least 1.
  std::uint32_t count = 1;

  friend bool operator==(const FleetPosition&, const FleetPosition&) = default;
};

}  // namespace sycamoreford
