#pragma once

#include <compare>
#include <cstdint>

namespace sycamoreford {

/// A position in the store's feed of changes.
///
/// Versions are ordered within an era only: a store that comes back from an
/// older copy begins a new era and gives out some versions again. Every
/// position of a later era comes after those of an earlier one.
struct StorePosition {
  /// 0 if the store states none.
  std::uint64_t era = 0;
  std::uint64_t version = 0;

  friend auto operator<=>(const StorePosition&, const StorePosition&) = default;
};

}  // namespace sycamoreford
