#include "sycamoreford/metrics/time_histogram.h"

namespace sycamoreford {

namespace {

constexpr double kMinSeconds = 1e-4;
constexpr double kMaxSeconds = 1e3;

}  // namespace

TimeHistogram::TimeHistogram()
    : histogram_(std::make_tuple(Axis(kInnerBins, kMinSeconds, kMaxSeconds)),
                 Storage()) {}

void TimeHistogram::Record(Duration time) {
  const double seconds = std::chrono::duration<double>(time).count();
  histogram_(seconds);
  sum_seconds_ += seconds;
}

void TimeHistogram::Add(const TimeHistogram& other) {
  histogram_ += other.histogram_;
  sum_seconds_ += other.sum_seconds_;
}

TimeHistogram::Counts TimeHistogram::counts() const {
  Counts counts{};
  for (std::size_t i = 0; i < kBins; ++i) {
    counts[i] = histogram_.at(static_cast<int>(i) - 1);
  }
  return counts;
}

std::uint64_t TimeHistogram::count() const {
  std::uint64_t sum = 0;
  for (const std::uint64_t count : counts()) {
    sum += count;
  }
  return sum;
}

double TimeHistogram::UpperEdge(std::size_t bin) {
  static const Axis axis(kInnerBins, kMinSeconds, kMaxSeconds);
  return axis.value(static_cast<double>(bin));
}

TimeHistogram TimeHistogram::FromCounts(const Counts& counts,
                                        double sum_seconds) {
  TimeHistogram histogram;
  for (std::size_t i = 0; i < kBins; ++i) {
    histogram.histogram_.at(static_cast<int>(i) - 1) = counts[i];
  }
  histogram.sum_seconds_ = sum_seconds;
  return histogram;
}

}  // namespace sycamoreford
