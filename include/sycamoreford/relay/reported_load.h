#pragma once

#include <cstdint>

namespace sycamoreford {

/// Load that an endpoint reports with a response, in requests.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

}  // namespace sycamoreford
