#pragma once

#include <cstdint>

namespace sycamoreford {

/// Load of an endpoint as it states it with an answer.
struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

}  // namespace sycamoreford
