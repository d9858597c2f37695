#pragma once

#include <atomic>
#include <vector>

#include "sycamoreford/adapters/claim_service.h"
#include "sycamoreford/adapters/config_holder.h"
#include "sycamoreford/adapters/drain_hook.h"
#include "sycamoreford/adapters/entry_policy.h"
#include "sycamoreford/adapters/http_engine_client.h"
#include "sycamoreford/adapters/http_table_client.h"
#include "sycamoreford/adapters/lease_views.h"
#include "sycamoreford/adapters/serve_permit.h"
#include "sycamoreford/drain/drain_state.h"
#include "sycamoreford/metrics/request_metrics.h"
#include "sycamoreford/route/endpoint_table.h"
#include "sycamoreford/settings/settings.h"

namespace sycamoreford {

/// State shared by the requests of one daemon. All non-const members are
/// thread safe, except `drain_hooks`.
struct EntryState {
  explicit EntryState(Settings the_settings);

  const Settings settings;
  ConfigHolder config;
  EndpointTable endpoints;
  EntryPolicy policy{endpoints};
  HttpTableClient table;
  ClaimService claims{table};
  HttpEngineClient engines;
  /// Permits new requests while the configuration in force is confirmed.
  ServePermit permit;
  SteadyClock clock;
  RequestMetrics metrics;
  LeaseViews leases;
  /// Set when a planned stop starts.
  std::atomic<bool> draining{false};
  std::atomic<DrainState> drain_state{DrainState::kServing};
  /// Latest end of the current drain state.
  std::atomic<TimePoint> drain_deadline{TimePoint::max()};
  /// Not thread safe; hooks must be added before the daemon runs.
  std::vector<DrainHook> drain_hooks;
  std::atomic<std::uint64_t> requests{0};
  std::atomic<std::uint64_t> failures{0};
};

/// Returns a random UUID.
[[nodiscard]] std::string NewUniqueId();

}  // namespace sycamoreford
