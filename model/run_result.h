#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "scenario.h"

namespace sycamoreford::model {

/// Outcome of one request of a caller.
struct RequestRecord {
  /// Index into `Scenario::requests`.
  std::size_t kind = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  /// Arrival, from the start of the load.
  Duration arrived{0};
  /// Time from arrival to the first event.
  Duration first_event{0};
  /// Longest time between two events.
  Duration longest_pause{0};
  /// Whether the complete output was delivered.
  bool is_served = false;
  /// Whether it was refused at least once, also if a retry was served.
  bool was_refused = false;
  /// Whether its stream ended incomplete after the first event.
  bool is_broken = false;
};

/// Results of one run of a scenario.
///
/// The payoff of a request depends on whether it is served on time or late, and
/// grows with its size relative to the mean of its kind, up to four times.
struct RunResult {
  std::uint32_t requests = 0;
  /// Shares of the requests: served, served within the target latency and the
  /// max pause, refused and never served, and broken.
  double served = 0;
  double on_time = 0;
  double refused = 0;
  double broken = 0;
  /// Earned over possible payoff: of all requests, the mean of the two worst
  /// time windows, and that of the worst kind of request.
  double payoff = 0;
  double worst_windows = 0;
  double worst_kind = 0;
  /// Over the served requests: time to the first event, and longest pause of
  /// each request.
  std::chrono::milliseconds first_event_median{0};
  std::chrono::milliseconds first_event_p99{0};
  std::chrono::milliseconds pause_median{0};
  /// Total time without a chain, summed over the data centres.
  std::chrono::milliseconds time_without_chain{0};
  /// Sends that resumed a stream after its first event.
  std::uint32_t resumes = 0;
  /// Layer loads begun under traffic.
  std::uint32_t loads = 0;
  std::uint32_t preemptions = 0;
  /// Orders to hold more layers than an accelerator's memory has room for; each
  /// of them crashed the endpoint.
  std::uint32_t overcommitted_orders = 0;
  /// Peak share of the accelerators' request memory that was in use.
  double peak_memory_share = 0;

  /// Computes the results that follow from the records.
  ///
  /// \param window length of the time windows for `worst_windows`.
  static RunResult FromRecords(const Scenario& scenario,
                               const std::vector<RequestRecord>& records,
                               std::chrono::milliseconds window);
};

}  // namespace sycamoreford::model
