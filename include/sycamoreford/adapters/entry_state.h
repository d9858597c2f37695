#pragma once

#include <atomic>

#include "sycamoreford/adapters/claim_service.h"
#include "sycamoreford/adapters/config_holder.h"
#include "sycamoreford/adapters/http_engine_client.h"
#include "sycamoreford/adapters/http_table_client.h"
#include "sycamoreford/adapters/serve_permit.h"
#include "sycamoreford/route/endpoint_table.h"
#include "sycamoreford/settings/settings.h"

namespace sycamoreford {

/// What the requests of one daemon share. Thread safe where it is not const.
struct EntryState {
  explicit EntryState(Settings the_settings);

  const Settings settings;
  ConfigHolder config;
  EndpointTable endpoints;
  HttpTableClient table;
  ClaimService claims{table};
  HttpEngineClient engines;
  /// Whether the configuration in force may be served on.
  ServePermit permit;
  SteadyClock clock;
  /// Set once a planned stop has begun.
  std::atomic<bool> draining{false};
  std::atomic<std::uint64_t> requests{0};
  std::atomic<std::uint64_t> failures{0};
};

/// A new identity, unique over all daemons.
[[nodiscard]] std::string NewUniqueId();

}  // namespace sycamoreford
