#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/orders/desired_engine.h"
#include "sycamoreford/orders/engine_state.h"

namespace sycamoreford {

/// Limits on the orders to the engines of one pool.
struct OrderLimits {
  /// Engines that may load at the same time; the others go on serving.
  std::uint32_t max_concurrent_loads = 1;
  /// Loads from the weight store per minute; every order counts as a load.
  std::uint32_t max_loads_per_minute = 6;
  /// An order that has had no effect is repeated after this time.
  std::chrono::milliseconds order_timeout{30'000};
  /// Time after acquiring the lease during which nothing is unloaded from
  /// engines that do not check fencing tokens: an order of the previous holder
  /// may still be in transit. Covers the TTL of its lease plus the longest time
  /// that sending an order can take.
  std::chrono::milliseconds unload_hold_off{40'000};
};

/// An order for an engine to enter a state. Orders are idempotent.
struct EngineOrder {
  EndpointId endpoint;
  std::string address;
  FencingToken fencing{};
  EngineState state;
};

/// Selects the next order to the engines of one pool. Does no I/O.
///
/// Orders are declarative: each contains the complete desired state. Only the
/// state that an engine reports shows whether an order took effect; therefore a
/// late order from a former lease holder that was paused is detected and
/// corrected.
///
/// Thread safety: none.
class OrderPlanner {
 public:
  explicit OrderPlanner(OrderLimits limits = {}) : limits_(limits) {}

  /// Records that this daemon holds the lease with this fencing token; no
  /// effect unless the token is higher than that of the last lease.
  void OnLeaseAcquired(FencingToken fencing, TimePoint now);

  /// Records the state that an engine reported.
  void OnState(const EndpointId& endpoint,
               const EngineState& state,
               TimePoint now);

  /// Returns the next order, and records it as sent.
  ///
  /// \param desired the desired states, from `DesiredEngines`.
  /// \param fencing fencing token of the lease; no order is returned unless it
  ///     is the one of the last `OnLeaseAcquired`.
  /// \returns `nullopt` if no engine needs an order or the limits do not permit
  ///     one yet.
  [[nodiscard]] std::optional<EngineOrder> Next(
      const std::vector<DesiredEngine>& desired,
      FencingToken fencing,
      TimePoint now);

 private:
  struct ObservedEngine {
    EngineState state;
    /// Until when the last order may still be in progress.
    TimePoint loading_until{};
  };

  [[nodiscard]] std::uint32_t CountLoading(
      const std::vector<DesiredEngine>& desired,
      TimePoint now) const;
  [[nodiscard]] bool CanOrder(const DesiredEngine& engine,
                              const ObservedEngine& observed,
                              TimePoint now) const;

  OrderLimits limits_;
  FencingToken fencing_{};
  TimePoint unload_allowed_at_{};
  std::map<EndpointId, ObservedEngine> observed_;
  /// Times of the orders of the last minute.
  std::deque<TimePoint> recent_loads_;
};

}  // namespace sycamoreford
