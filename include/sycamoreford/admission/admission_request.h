#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"

namespace sycamoreford {

/// What a customer may have of one daemon.
struct CustomerPolicy {
  /// Lower is served first.
  std::uint32_t rank = 0;
  /// Share relative to other customers of the same rank; positive.
  double weight = 1;
  /// Most requests at once, waiting ones included; 0 is unlimited.
  std::uint32_t max_in_flight = 0;
  /// Most requests each second; 0 is unlimited.
  double max_requests_per_second = 0;
  /// Longest time that a request may wait for a place.
  std::chrono::milliseconds max_wait{0};
};

/// A request that asks for a place.
struct AdmissionRequest {
  /// Pool whose places are shared.
  std::string pool;
  /// This daemon's even part of what the pool runs at once; positive.
  std::uint32_t concurrency_share = 1;
  /// Most that this daemon may try to run there while others leave room; not
  /// below `places`.
  std::uint32_t max_concurrency = 1;
  /// Places to begin with, before it is known what the pool takes; positive,
  /// not above `places`.
  std::uint32_t initial_concurrency = 1;
  /// Declared time of one unit of work, for example a token, without load, in
  /// seconds; 0 when it is not known.
  double unit_seconds = 0;
  CustomerId customer;
  CustomerPolicy policy;
  TimePoint deadline{};
};

}  // namespace sycamoreford
