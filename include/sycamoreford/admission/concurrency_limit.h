#pragma once

#include <cstdint>

#include "sycamoreford/core/clock.h"

namespace sycamoreford {

/// Adaptive limit on the number of requests that a daemon runs in a pool at
/// once.
///
/// The limit increases while requests wait and a unit of work takes little
/// longer than in an unloaded pool: by one for each request served in slow
/// start, which ends when units first take longer or a request is refused, and
/// by the inverse of the limit after that. It decreases by a tenth to a half
/// when units take much longer than in an unloaded pool, or by a tenth when
/// endpoints refuse requests. Decreases stop at a quarter of the daemon's equal
/// share of the pool, but at least at 1; increases stop at a maximum that may
/// exceed the share. The limit thus settles near the concurrency that keeps all
/// stages busy, however many slots they have. Not thread safe.
class ConcurrencyLimit {
 public:
  /// Sets the parameters. A changed `share` or `max` resets the limit to
  /// `initial` and restarts slow start.
  ///
  /// \param share the daemon's equal share of the pool.
  /// \param unit_seconds declared time of one unit of work in an unloaded
  ///     pool; 0 if unknown.
  void Configure(std::uint32_t initial,
                 std::uint32_t share,
                 std::uint32_t max,
                 double unit_seconds) noexcept;

  /// Records a served request.
  ///
  /// \param has_waiting whether other requests wait.
  /// \param unit_seconds time that one unit of its work took; positive.
  /// \param service_time typical time that a request runs; the limit decreases
  ///     at most once in this time.
  void OnServed(bool has_waiting,
                double unit_seconds,
                Duration service_time,
                TimePoint now) noexcept;

  /// Records that the endpoints had no free slot for a request.
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
  /// Smoothed time of a unit, and the minimum of the smoothed time.
  double smoothed_unit_seconds_ = 0;
  double min_unit_seconds_ = 0;
  TimePoint decreased_at_{};
};

}  // namespace sycamoreford
