#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "scenario.h"

namespace sycamoreford::model {

/// What became of one request of a caller.
struct RequestRecord {
  std::size_t kind = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  /// From the start of the load.
  Duration arrived{0};
  Duration first_event{0};
  Duration longest_pause{0};
  bool is_served = false;
  bool was_refused = false;
  bool is_broken = false;
};

/// What callers got on a day, in the terms of payoff.
///
/// Payoff is the worth of a request that is answered in time, a smaller one
/// when it is late, times its size against the mean, at most four times.
struct RunResult {
  std::uint32_t requests = 0;
  /// Parts of the requests.
  double served = 0;
  double on_time = 0;
  double refused = 0;
  double broken = 0;
  /// Payoff earned over owed: the whole day, the mean of the two worst
  /// windows, and the worst kind of request.
  double payoff = 0;
  double worst_windows = 0;
  double worst_kind = 0;
  std::chrono::milliseconds first_event_median{0};
  std::chrono::milliseconds first_event_p99{0};
  std::chrono::milliseconds pause_median{0};
  /// Time in which data centres had no chain, summed over them.
  std::chrono::milliseconds time_without_chain{0};
  std::uint32_t resumes = 0;
  std::uint32_t loads = 0;
  std::uint32_t preemptions = 0;
  /// Orders to hold more layers than a card's memory holds; each one crashed.
  std::uint32_t overcommitted_orders = 0;
  /// Largest part of the cards' request memory that was taken at one time.
  double peak_memory_share = 0;

  /// Sums up records; `windows` are consecutive spans of `window`.
  static RunResult FromRecords(const Scenario& scenario,
                               const std::vector<RequestRecord>& records,
                               std::chrono::milliseconds window);
};

}  // namespace sycamoreford::model
