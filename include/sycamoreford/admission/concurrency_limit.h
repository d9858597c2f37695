#pragma once

#include <cstdint>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Number of requests that a daemon runs in a pool at once.
///
/// While requests wait it rises, up to a bound above the daemon's even part of
/// the pool, for as long as a unit of work takes little longer than it does
/// without load: by one for each request served until units first take longer,
/// then slowly. It falls by a tenth to a half, down to a quarter of the part,
/// when units take much longer than without load or endpoints refuse. So it
/// stays near what keeps all stages busy, whatever their slots. Not thread
/// safe.
class ConcurrencyLimit {
 public:
  /// Takes over the value to start with, the daemon's even part, the upper
  /// bound, and the declared time of a unit without load, in seconds, or 0
  /// when it is not known. A change of part or bound starts anew.
  void Configure(std::uint32_t initial,
                 std::uint32_t share,
                 std::uint32_t max,
                 double unit_seconds) noexcept;

  /// A request was served.
  ///
  /// \param has_waiting whether others wait.
  /// \param unit_seconds time that one unit of its work took; positive.
  /// \param holding usual time that a place is held; it falls at most once in
  ///     this time.
  void OnServed(bool has_waiting,
                double unit_seconds,
                Duration service_time,
                TimePoint now) noexcept;

  /// Endpoints had no place.
  void OnRefused(Duration service_time, TimePoint now) noexcept;

  [[nodiscard]] std::uint32_t value() const noexcept;

 private:
  [[nodiscard]] double UnloadedUnitSeconds() const noexcept;
  void Decrease(double factor, Duration service_time, TimePoint now) noexcept;

  std::uint32_t share_ = 0;
  std::uint32_t max_ = 0;
  double declared_unit_seconds_ = 0;
  double limit_ = 0;
  bool is_slow_start_ = true;
  /// Smoothed time of a unit, and the least that it was, in seconds.
  double smoothed_unit_seconds_ = 0;
  double min_unit_seconds_ = 0;
  TimePoint decreased_at_{};
};

}  // namespace sycamoreford
