#pragma once

#include <array>
#include <cstdint>

#include "sycamoreford/metrics/request_sample.h"

namespace sycamoreford {

/// Metrics of one customer's requests in one priority class.
///
/// Thread safety: none.
struct RequestSeries {
  /// Number of bins of `attempts`. Bin `i` counts requests with `i` attempts;
  /// the last bin also counts requests with more.
  static constexpr std::size_t kAttemptBins = 8;

  /// Records a finished request.
  void Record(const RequestSample& sample);
  /// Adds the counts of `other` to these.
  void Add(const RequestSeries& other);

  TimeHistogram queueing;
  TimeHistogram first_token;
  TimeHistogram between_tokens;
  TimeHistogram duration;
  std::array<std::uint64_t, kAttemptBins> attempts{};
  std::array<std::uint64_t, kRequestOutcomes.size()> outcomes{};
};

}  // namespace sycamoreford
