#pragma once

#include <cstdint>
#include <optional>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/errc.h"
#include "sycamoreford/metrics/request_outcome.h"
#include "sycamoreford/metrics/time_histogram.h"

namespace sycamoreford {

/// What was measured of one request.
struct RequestSample {
  /// Time until it was first sent to an endpoint; nothing when it never was.
  std::optional<Duration> queueing;
  /// Time until the first token; nothing when there was none.
  std::optional<Duration> first_token;
  /// Times between tokens.
  TimeHistogram between_tokens;
  /// Time from its arrival to its end.
  Duration duration{};
  std::uint32_t attempts = 0;
  RequestOutcome outcome = RequestOutcome::kAnswered;
  /// The error; nothing when it was answered.
  std::optional<Errc> error;
};

}  // namespace sycamoreford
