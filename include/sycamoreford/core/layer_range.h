#pragma once

#include <compare>
#include <cstdint>

namespace sycamoreford {

/// Half-open range of model layers `[first, end)`.
struct LayerRange {
  std::uint32_t first = 0;
  std::uint32_t end = 0;

  /// Number of layers in the range.
  [[nodiscard]] constexpr std::uint32_t size() const noexcept {
    return end > first ? end - first : 0;
  }
  [[nodiscard]] constexpr bool is_empty() const noexcept { return size() == 0; }

  friend constexpr auto operator<=>(const LayerRange&,
                                    const LayerRange&) = default;
};

}  // namespace sycamoreford
