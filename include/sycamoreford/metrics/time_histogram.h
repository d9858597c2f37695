#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include <boost/histogram/axis/option.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/failure.h"

namespace sycamoreford {

/// A histogram of times with four bins to a power of ten from 0.1 ms to
/// 1000 s, and one bin below and one above. All have the same bins, so that
/// those of several daemons can be added up. Memory does not grow.
///
/// Thread safety: none.
class TimeHistogram {
 public:
  static constexpr std::size_t kInnerBins = 28;
  /// Inner bins and the two outer ones.
  static constexpr std::size_t kBins = kInnerBins + 2;
  /// Counts from the shortest times to the longest.
  using Counts = std::array<std::uint64_t, kBins>;

  TimeHistogram();

  /// Counts one time.
  void Record(Duration time);

  /// Adds all counts of another histogram.
  void Add(const TimeHistogram& other);

  [[nodiscard]] Counts counts() const;
  /// Number of times counted.
  [[nodiscard]] std::uint64_t count() const;
  /// Sum of the times counted, in seconds.
  [[nodiscard]] double sum_seconds() const noexcept { return sum_seconds_; }

  /// Upper edge of a bin in seconds. Precondition: `bin` is below `kBins - 1`.
  [[nodiscard]] static double UpperEdge(std::size_t bin);

  /// Rebuilds a histogram from what `counts` and `sum_seconds` gave.
  [[nodiscard]] static TimeHistogram FromCounts(const Counts& counts,
                                                double sum_seconds);

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Storage =
      boost::histogram::storage_adaptor<std::array<std::uint64_t, kBins>>;

  boost::histogram::histogram<std::tuple<Axis>, Storage> histogram_;
  double sum_seconds_ = 0;
};

}  // namespace sycamoreford
