#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/placement/placement_planner.h"

namespace sycamoreford {

/// Decides, round by round, which orders to give to the accelerators of a
/// service in all data centres, and remembers the orders under way.
///
/// Loads answered: accelerators that start together, are lost while others
/// still load, and loads that slow each other.
///
/// Thread safety: none.
class PlacementScheduler {
 public:
  /// The orders to give now; each counts as under way from here on.
  ///
  /// \param accelerators usable accelerators of all data centres with the
  /// layers that they
  ///     announce.
  /// \param in_use ids of accelerators that chains use now.
  [[nodiscard]] std::vector<PlacementChange> NextOrders(
      const EngineProfile& profile,
      std::vector<Accelerator> accelerators,
      const std::vector<std::string>& in_use,
      TimePoint now);

  /// An order was refused or could not be given: the accelerator is planned for
  /// again after a pause.
  void OnRefused(const std::string& accelerator_id, TimePoint now);

  /// An order was not given, since the accelerator turned out to be unfit for
  /// it: the next round plans without it.
  void OnOrderNotSent(const std::string& accelerator_id) {
    pending_.erase(accelerator_id);
  }

  /// Forgets the orders under way; for a daemon that no longer gives them.
  void ClearPendingOrders() { pending_.clear(); }

 private:
  /// An order whose effect the accelerator does not announce yet.
  struct PendingOrder {
    LayerRange layers;
    /// Forgotten then, and planned anew.
    TimePoint expires_at{};
  };

  /// Puts the layers ordered in place of those announced.
  void ApplyPending(std::vector<Accelerator>& accelerators, TimePoint now);
  /// Whether the list is complete enough for a first placement.
  [[nodiscard]] bool HasSettled(const std::vector<Accelerator>& accelerators,
                                TimePoint now);
  /// Accelerators that chains use or have used a moment ago.
  [[nodiscard]] std::vector<std::string> RecentlyUsed(
      const std::vector<std::string>& in_use,
      TimePoint now);

  std::map<std::string, PendingOrder> pending_;
  /// When chains used a accelerator last.
  std::map<std::string, TimePoint> last_used_at_;
  std::size_t last_accelerator_count_ = 0;
  TimePoint count_changed_at_{};
};

/// Accelerators by their data centre.
[[nodiscard]] std::map<std::string, std::vector<Accelerator>> GroupByDataCentre(
    std::vector<Accelerator> accelerators);

}  // namespace sycamoreford
