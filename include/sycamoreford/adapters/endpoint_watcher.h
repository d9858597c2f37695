#pragma once

#include <map>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include "sycamoreford/adapters/entry_state.h"
#include "sycamoreford/endpoints/leaving_tracker.h"
#include "sycamoreford/endpoints/probe_schedule.h"

namespace sycamoreford {

/// Detects which endpoints are leaving and updates the endpoint table. Sources
/// are the platform's list of VMs, rate-limited probes of the endpoints' state,
/// and refusals of attempts. The probes also update the load of the endpoints.
/// Runs on its own strand.
///
/// docs/INTERFACES.md specifies the interfaces of the platform and endpoints.
///
/// Thread safety: `Start` may be called from any thread, once.
class EndpointWatcher {
 public:
  /// Precondition: the arguments outlive this object.
  EndpointWatcher(boost::asio::io_context& context, EntryState& state);

  /// Starts watching; runs until the context stops.
  void Start();

 private:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

  boost::asio::awaitable<void> VmListLoop();
  boost::asio::awaitable<void> ReadVmList();
  boost::asio::awaitable<void> ProbeLoop();
  boost::asio::awaitable<void> Probe(WatchedEndpoint endpoint);
  void FollowConfiguration();
  void RecordRefusals();
  void Publish();

  Strand strand_;
  EntryState& state_;
  LeavingTracker tracker_;
  ProbeSchedule schedule_;
  ConfigurationPtr config_;
  std::vector<WatchedEndpoint> endpoints_;
  /// Sources behind the last update of the endpoint table, by endpoint.
  std::map<EndpointId, LeavingSources> published_;
  bool vm_list_was_readable_ = true;
};

}  // namespace sycamoreford
