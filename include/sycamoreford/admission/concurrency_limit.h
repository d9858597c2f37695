#pragma once

#include <cstdint>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Number of requests that a daemon runs in a pool at once.
///
/// It lies between the daemon's even part of the pool and an upper bound: it
/// rises slowly while requests wait and endpoints take them, and falls by a
/// tenth when they refuse, so that daemons that get more than their part of the
/// traffic may use what others leave. Not thread safe.
class ConcurrencyLimit {
 public:
  /// Takes over the daemon's even part and the bound; a change starts anew.
  void SetPlaces(std::uint32_t places, std::uint32_t most) noexcept;

  /// A request was served. \param has_waiting whether others wait.
  void OnServed(bool has_waiting) noexcept;

  /// Endpoints had no place. \param holding usual time that a place is held;
  /// refusals within it count once.
  void OnRefused(TimePoint now, Duration holding) noexcept;

  [[nodiscard]] std::uint32_t value() const noexcept;

 private:
  std::uint32_t places_ = 0;
  std::uint32_t most_ = 0;
  double limit_ = 0;
  TimePoint fell_at_{};
};

}  // namespace sycamoreford
