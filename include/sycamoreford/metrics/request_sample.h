#pragma once

#include <cstdint>
#include <optional>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/errc.h"
#include "sycamoreford/metrics/request_outcome.h"
#include "sycamoreford/metrics/time_histogram.h"

namespace sycamoreford {

/// Measurements of one finished request.
struct RequestSample {
  /// Time from arrival until the request was first sent to an endpoint; empty
  /// if it never was.
  std::optional<Duration> queueing;
  /// Time from arrival to the first token; empty if there was none.
  std::optional<Duration> first_token;
  /// Times between consecutive tokens.
  TimeHistogram between_tokens;
  /// Time from arrival to end.
  Duration duration{};
  std::uint32_t attempts = 0;
  RequestOutcome outcome = RequestOutcome::kAnswered;
  /// The error; empty if the request was answered.
  std::optional<Errc> error;
};

}  // namespace sycamoreford
