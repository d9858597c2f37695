#pragma once

#include <map>
#include <string>
#include <vector>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/endpoints/leaving_sources.h"
#include "sycamoreford/endpoints/listed_vm.h"
#include "sycamoreford/endpoints/watched_endpoint.h"

namespace sycamoreford {

/// Tracks which endpoints are leaving and must get no new work.
///
/// An endpoint is leaving while operators, the platform's list of VMs or the
/// endpoint itself report so. A source can withdraw only its own report: an
/// outdated list cannot bring back an endpoint that reported its own leaving.
/// Responses may arrive late and out of order; the time at which a response was
/// requested decides which one is newer.
///
/// Thread safety: none.
class LeavingTracker {
 public:
  /// Replaces the configured endpoints. Reports about an endpoint that is
  /// removed, or whose address changes, are discarded.
  void SetEndpoints(const std::vector<WatchedEndpoint>& endpoints);

  /// Replaces the list of VMs. An endpoint that is not on the new list is no
  /// longer reported as leaving by the list.
  ///
  /// \param requested_at when the list was requested; a list that was requested
  ///     earlier than the current one is ignored.
  void OnVmList(const std::vector<ListedVm>& vms, TimePoint requested_at);

  /// Updates whether an endpoint reports itself as leaving.
  ///
  /// \param address address that the state was requested from; the report is
  ///     ignored unless the endpoint is still configured with it.
  /// \param requested_at when the state was requested; an earlier report than
  ///     the last one is ignored. At equal times, leaving takes precedence.
  void OnState(const EndpointId& id,
               const std::string& address,
               bool leaving,
               TimePoint requested_at);

  /// Records that an endpoint refused an attempt because it is leaving.
  void OnRefusal(const EndpointId& id, TimePoint refused_at);

  /// Sources that report the endpoint as leaving; none if it is unknown.
  [[nodiscard]] LeavingSources SourcesOf(const EndpointId& id) const;

 private:
  struct Entry {
    std::string address;
    LeavingSources sources;
    /// When the state behind `sources.endpoint` was requested.
    TimePoint state_requested_at{};
  };

  [[nodiscard]] bool IsListedAsLeaving(const std::string& address) const;

  std::map<EndpointId, Entry> entries_;
  /// Addresses on the last list, and whether they are leaving.
  std::map<std::string, bool> listed_leaving_;
  TimePoint list_requested_at_{};
};

}  // namespace sycamoreford
