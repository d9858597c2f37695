#pragma once

#include <functional>
#include <string>
#include <utility>

#include "sycamoreford/fleet/endpoint_directory.h"
#include "sycamoreford/fleet/leaving_run.h"
#include "sycamoreford/fleet/leaving_source.h"
#include "sycamoreford/relay/relay_metrics.h"
#include "sycamoreford/relay/relay_request.h"

namespace sycamoreford {

/// Records in the directory which endpoints say that they leave, logs and
/// counts it, and has the other daemons told. What the list says is not
/// recorded here.
///
/// Thread safety: none; runs on the thread of the `RelayState`.
class LeavingRecorder {
 public:
  /// Precondition: `directory` and `metrics` outlive this object.
  LeavingRecorder(EndpointDirectory& directory, RelayMetrics& metrics)
      : directory_(directory), metrics_(metrics) {}

  /// Sets the function that tells other daemons that an endpoint is leaving.
  void SetNotifier(std::function<void(const LeavingRun&)> notify) {
    notify_ = std::move(notify);
  }

  /// Sets the function that asks an endpoint which run it is; it is called with
  /// the id. A response does not state its run.
  void SetIdentifier(std::function<void(const std::string&)> identify) {
    identify_ = std::move(identify);
  }

  /// Called with the head of each response to a request.
  ///
  /// \param sender id of the endpoint, or address of the daemon, that sent it.
  void OnHead(const ResponseHead& head,
              const std::string& sender,
              const std::string& request_id,
              LeavingSource source);

  /// Called when an endpoint has said that it leaves together with its start.
  void OnStated(const EndpointRunId& run, LeavingSource source);

  /// Called when another daemon told of an endpoint.
  void OnTold(const LeavingRun& leaving);

 private:
  /// \returns whether it was not known.
  bool Record(LeavingRun leaving, LeavingSource source);
  /// Has the other daemons told if this one did not know.
  void RecordAndTell(const LeavingRun& leaving, LeavingSource source);

  EndpointDirectory& directory_;
  RelayMetrics& metrics_;
  std::function<void(const LeavingRun&)> notify_;
  std::function<void(const std::string&)> identify_;
};

}  // namespace sycamoreford
