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

/// Which endpoints take no new work, as the union of all that is known.
///
/// An endpoint leaves when the operators, the platform's list or the endpoint
/// itself say so. Each source takes back only its own word: a list that lags
/// can not bring back an endpoint that said of itself that it leaves. Messages
/// may come late and crossed; the time at which a question was asked decides
/// which answer is newer.
///
/// Thread safety: none.
class LeavingTracker {
 public:
  /// Takes over the configured endpoints. One that is gone, or that has moved
  /// to another address, is forgotten.
  void SetEndpoints(const std::vector<WatchedEndpoint>& endpoints);

  /// Takes over a whole list. An endpoint that it does not name keeps no word
  /// of the list.
  ///
  /// \param asked_at when the list was asked for; older lists are ignored.
  void OnVmList(const std::vector<ListedVm>& vms, TimePoint asked_at);

  /// Takes over what an endpoint says of itself in its state.
  ///
  /// \param address where it was asked; ignored unless still configured so.
  /// \param asked_at when it was asked; answers older than its last word are
  ///     ignored.
  void OnState(const EndpointId& id,
               const std::string& address,
               bool leaving,
               TimePoint asked_at);

  /// Notes that an endpoint refused an attempt because it is leaving.
  void OnRefusal(const EndpointId& id, TimePoint refused_at);

  /// Who says that it is leaving; nobody for an unknown endpoint.
  [[nodiscard]] LeavingSources SourcesOf(const EndpointId& id) const;

 private:
  struct Entry {
    std::string address;
    LeavingSources sources;
    /// When the question behind the endpoint's own word was asked.
    TimePoint state_asked_at{};
  };

  [[nodiscard]] bool IsListedAsLeaving(const std::string& address) const;

  std::map<EndpointId, Entry> entries_;
  /// Addresses that the last list names as leaving.
  std::map<std::string, bool> listed_leaving_;
  TimePoint list_asked_at_{};
};

}  // namespace sycamoreford
