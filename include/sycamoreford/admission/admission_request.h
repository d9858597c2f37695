#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// Scheduling parameters and limits of a customer at one daemon.
struct CustomerPolicy {
  /// Priority; lower ranks are served first.
  std::uint32_t rank = 0;
  /// Weight relative to other customers of the same rank; positive.
  double weight = 1;
  /// Maximum number of waiting and running requests; 0 means unlimited.
  std::uint32_t max_in_flight = 0;
  /// Maximum rate of requests; 0 means unlimited.
  double max_requests_per_second = 0;
  /// Maximum time that a request may wait in the queue.
  std::chrono::milliseconds max_wait{0};
};

/// A request to be admitted to a pool.
struct AdmissionRequest {
  /// Name of the pool.
  std::string pool;
  /// This daemon's equal share of the pool's concurrency; positive.
  std::uint32_t concurrency_share = 1;
  /// Maximum concurrency that this daemon may try while other daemons leave
  /// capacity unused; at least `concurrency_share`.
  std::uint32_t max_concurrency = 1;
  /// Concurrency to start with, before the capacity of the pool is known;
  /// positive, at most `concurrency_share`.
  std::uint32_t initial_concurrency = 1;
  /// Declared time of one unit of work, for example a token, in an unloaded
  /// pool, in seconds; 0 if unknown.
  double unit_seconds = 0;
  CustomerId customer;
  CustomerPolicy policy;
  TimePoint deadline{};
};

}  // namespace sycamoreford
