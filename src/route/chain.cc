#include "sycamoreford/route/chain.h"

namespace sycamoreford {

bool CoversAllLayers(const Chain& chain, std::uint32_t layers) noexcept {
  std::uint32_t next = 0;
  for (const ChainStage& stage : chain) {
    if (stage.layers.first != next || stage.layers.is_empty()) {
      return false;
    }
    next = stage.layers.end;
  }
  return next == layers && layers > 0;
}

}  // namespace sycamoreford
