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

/// Histogram of durations on a logarithmic scale: four bins per power of ten
/// from 0.1 ms to 1000 s, plus an underflow and an overflow bin. The bins are
/// fixed, so that the histograms of several daemons can be added, and memory
/// use is constant.
///
/// Thread safety: none.
class TimeHistogram {
 public:
  static constexpr std::size_t kInnerBins = 28;
  /// Inner bins plus the underflow and overflow bins.
  static constexpr std::size_t kBins = kInnerBins + 2;
  /// Counts per bin, in ascending order of duration.
  using Counts = std::array<std::uint64_t, kBins>;

  TimeHistogram();

  /// Records a duration.
  void Record(Duration time);

  /// Adds the counts of `other` to these.
  void Add(const TimeHistogram& other);

  [[nodiscard]] Counts counts() const;
  /// Number of recorded durations.
  [[nodiscard]] std::uint64_t count() const;
  /// Sum of the recorded durations, in seconds.
  [[nodiscard]] double sum_seconds() const noexcept { return sum_seconds_; }

  /// Upper edge of a bin, in seconds. Precondition: `bin < kBins - 1`.
  [[nodiscard]] static double UpperEdge(std::size_t bin);

  /// Restores a histogram from the values of `counts()` and `sum_seconds()`.
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
