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
  /// Works out the plans; a plan whose pool, model version and fleet are as in
  /// `previous` is taken over.
  [[nodiscard]] static std::shared_ptr<const PlanSet> Compute(
      ConfigurationPtr config,
      const FleetPosition& fleet,
      const PlanSet* previous);

  /// The plan of a route; null when the configuration has none of this name.
  [[nodiscard]] PoolPlanPtr Find(const std::string& route) const;

  [[nodiscard]] Revision revision() const { return config_->revision(); }
  [[nodiscard]] const FleetPosition& fleet() const noexcept { return fleet_; }

 private:
  /// What a plan was worked out of: the names and revisions of pool and model
  /// version.
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

/// The plans of the newest configuration, worked out once for each revision.
///
/// Thread safe. Holds its own lock only while it works out plans.
class PlanCache {
 public:
  /// The plans of `config` for a daemon at this place. A request that still
  /// runs on an older configuration than the newest gets plans of its own.
  [[nodiscard]] std::shared_ptr<const PlanSet> Get(
      const ConfigurationPtr& config,
      const FleetPosition& fleet);

 private:
  std::mutex mutex_;
  std::shared_ptr<const PlanSet> newest_;
};

}  // namespace sycamoreford
