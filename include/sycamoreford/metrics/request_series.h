#pragma once

#include <array>
#include <cstdint>

#include "sycamoreford/metrics/request_sample.h"

namespace sycamoreford {

/// Everything measured of one customer's requests in one priority class.
///
/// Thread safety: none.
struct RequestSeries {
  /// Requests by number of attempts from 0 on; the last bin counts all above.
  static constexpr std::size_t kAttemptBins = 8;

  /// Counts one request.
  void Record(const RequestSample& sample);
  /// Adds all counts of another series.
  void Add(const RequestSeries& other);

  TimeHistogram queueing;
  TimeHistogram first_token;
  TimeHistogram between_tokens;
  TimeHistogram duration;
  std::array<std::uint64_t, kAttemptBins> attempts{};
  std::array<std::uint64_t, kRequestOutcomes.size()> outcomes{};
};

}  // namespace sycamoreford
