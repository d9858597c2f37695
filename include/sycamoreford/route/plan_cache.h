#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "sycamoreford/config/configuration.h"
#include "sycamoreford/route/fleet_position.h"
#include "sycamoreford/route/pool_plan.h"

namespace sycamoreford {

/// A shared, immutable plan.
using PoolPlanPtr = std::shared_ptr<const PoolPlan>;

/// The plans of all routes of one configuration. Immutable; thread safe.
class PlanSet {
 public:
  /// Computes the plans. A plan of `previous` is reused if its pool, model
  /// version and fleet position are the same.
  [[nodiscard]] static std::shared_ptr<const PlanSet> Compute(
      ConfigurationPtr config,
      const FleetPosition& fleet,
      const PlanSet* previous);

  /// Returns the plan of a route, or null if there is no route of this name.
  [[nodiscard]] PoolPlanPtr Find(const std::string& route) const;

  [[nodiscard]] Revision revision() const { return config_->revision(); }
  [[nodiscard]] const FleetPosition& fleet() const noexcept { return fleet_; }

 private:
  /// Names and revisions of the pool and the model version that a plan was
  /// computed from.
  struct Source {
    std::string pool;
    std::uint64_t pool_revision = 0;
    std::string version;
    std::uint64_t version_revision = 0;

    friend auto operator<=>(const Source&, const Source&) = default;
  };

  ConfigurationPtr config_;
  FleetPosition fleet_;
  std::map<Source, PoolPlanPtr> plans_;
  std::map<std::string, PoolPlanPtr> routes_;
};

/// Caches the plans of the newest configuration, computed once per revision.
///
/// Thread safe. Computes plans while it holds its lock.
class PlanCache {
 public:
  /// Returns the plans of `config` for a daemon at position `fleet`. For a
  /// configuration older than the newest, plans are computed without caching.
  [[nodiscard]] std::shared_ptr<const PlanSet> Get(
      const ConfigurationPtr& config,
      const FleetPosition& fleet);

 private:
  std::mutex mutex_;
  std::shared_ptr<const PlanSet> newest_;
};

}  // namespace sycamoreford
