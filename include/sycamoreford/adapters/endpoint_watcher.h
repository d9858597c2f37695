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

/// Learns which endpoints are leaving and tells the endpoint table: reads the
/// platform's list of VMs, asks endpoints for their state within a budget, and
/// takes up what attempts have seen. Runs on a strand of its own.
///
/// The interfaces that it assumes are in docs/INTERFACES.md.
///
/// Thread safety: `Start` may be called from any thread, once.
class EndpointWatcher {
 public:
  /// Precondition: the arguments outlive this object.
  EndpointWatcher(boost::asio::io_context& context, EntryState& state);

  /// Starts to watch; goes on for as long as the context runs.
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
  /// What the endpoint table was last told, by endpoint.
  std::map<EndpointId, LeavingSources> published_;
  bool vm_list_was_readable_ = true;
};

}  // namespace sycamoreford
