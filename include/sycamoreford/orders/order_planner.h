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

/// Bounds of the orders to one pool.
struct OrderLimits {
  /// Engines that load at once; the others go on serving.
  std::uint32_t max_concurrent_loads = 1;
  /// Orders that load from the weight store, each minute.
  std::uint32_t max_loads_per_minute = 6;
  /// After this long without effect an order is given again.
  std::chrono::milliseconds order_timeout{30'000};
  /// After the lease is gained, nothing is unloaded at engines that ignore the
  /// fencing number until an order of the holder before can no longer be under
  /// way: its TTL and its longest send.
  std::chrono::milliseconds unload_hold_off{40'000};
};

/// A state that an engine is told to be in; repeating it changes nothing.
struct EngineOrder {
  EndpointId endpoint;
  std::string address;
  FencingToken fencing{};
  EngineState state;
};

/// Decides which order to give next to the engines of one pool.
///
/// Orders are declarative: each tells the whole desired state. What engines
/// report is the only evidence that an order took effect, so an order that a
/// paused former holder sends late is seen and corrected. No I/O.
///
/// Thread safety: none.
class OrderPlanner {
 public:
  explicit OrderPlanner(OrderLimits limits = {}) : limits_(limits) {}

  /// This daemon became the holder, under this number.
  void OnLeaseAcquired(FencingToken fencing, TimePoint now);

  /// An engine has told its state.
  void OnState(const EndpointId& endpoint,
               const EngineState& state,
               TimePoint now);

  /// The next order to give now; counts as given.
  ///
  /// \param desired what the configuration wants, from `DesiredEngines`.
  /// \returns nothing when all is as desired, or the limits say wait.
  [[nodiscard]] std::optional<EngineOrder> Next(
      const std::vector<DesiredEngine>& desired,
      FencingToken fencing,
      TimePoint now);

 private:
  struct ObservedEngine {
    EngineState state;
    /// Until when a given order may still be loading.
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
  /// When the loads of the last minute were ordered.
  std::deque<TimePoint> recent_loads_;
};

}  // namespace sycamoreford
