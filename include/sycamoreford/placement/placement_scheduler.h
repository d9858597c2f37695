#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/placement/placement_planner.h"

namespace sycamoreford {

/// Schedules placement orders for the accelerators of a service in all data
/// centres and tracks the pending ones.
///
/// Handles accelerators that start together or fail while others are still
/// loading, and limits concurrent loads, since they slow each other down.
///
/// Thread safety: none.
class PlacementScheduler {
 public:
  /// Returns the orders to send now and marks each of them as pending.
  ///
  /// \param accelerators usable accelerators of all data centres, with the
  ///     layers that they announce.
  /// \param in_use ids of accelerators that a chain currently uses.
  [[nodiscard]] std::vector<PlacementChange> NextOrders(
      const EngineProfile& profile,
      std::vector<Accelerator> accelerators,
      const std::vector<std::string>& in_use,
      TimePoint now);

  /// Called when an order was refused, lost, or could not be sent at present.
  /// The accelerator is included in planning again after a delay.
  void OnRefused(const std::string& accelerator_id, TimePoint now);

  /// Called instead of sending an order when the accelerator turned out to be
  /// unsuitable. The next call to `NextOrders` no longer counts the order.
  void CancelOrder(const std::string& accelerator_id) {
    pending_.erase(accelerator_id);
  }

  /// Drops all pending orders, for a daemon that no longer sends orders.
  void ClearPendingOrders() { pending_.clear(); }

 private:
  /// An order whose layers the accelerator does not announce yet.
  struct PendingOrder {
    LayerRange layers;
    /// When the order is dropped and the accelerator is planned for again.
    TimePoint expires_at{};
  };

  /// Replaces announced layers by the layers of pending orders and drops orders
  /// that took effect or expired.
  void ApplyPending(std::vector<Accelerator>& accelerators, TimePoint now);
  /// Whether the list of accelerators is stable enough for the initial
  /// placement.
  [[nodiscard]] bool HasSettled(const std::vector<Accelerator>& accelerators,
                                TimePoint now);
  /// Ids of accelerators that chains use or used until recently.
  [[nodiscard]] std::vector<std::string> RecentlyUsed(
      const std::vector<std::string>& in_use,
      TimePoint now);

  std::map<std::string, PendingOrder> pending_;
  /// When a chain last used an accelerator, by accelerator id.
  std::map<std::string, TimePoint> last_used_at_;
  std::size_t last_accelerator_count_ = 0;
  TimePoint count_changed_at_{};
};

[[nodiscard]] std::map<std::string, std::vector<Accelerator>> GroupByDataCentre(
    std::vector<Accelerator> accelerators);

}  // namespace sycamoreford
