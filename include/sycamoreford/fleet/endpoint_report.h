#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sycamoreford/core/layer_range.h"

namespace sycamoreford {

/// A request that waits for a stage that does not respond.
struct StalledRequest {
  std::string request_id;
  /// Address of the stage.
  std::string address;
};

/// Status that an endpoint reports on request.
struct EndpointReport {
  LayerRange layers;
  /// Number of orders that the endpoint has accepted so far.
  std::uint64_t order_sequence = 0;
  /// Whether the endpoint is carrying out an order.
  bool is_busy = false;
  /// As `EndpointRecord::started_at_ms`.
  std::uint64_t started_at_ms = 0;
  std::uint32_t queued = 0;
  std::uint32_t in_flight = 0;
  /// As `KnownEndpoint::slowness`.
  double slowness = 1;
  /// As `ResponseHead::request_limit`.
  std::optional<double> request_limit;
  /// Whether the endpoint states that it will stop soon.
  bool is_leaving = false;
  std::vector<StalledRequest> stalled;
};

}  // namespace sycamoreford
