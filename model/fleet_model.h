#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "scenario.h"
#include "simulated_endpoint.h"
#include "sycamoreford/relay/reported_load.h"
#include "sycamoreford/route/chain.h"

namespace sycamoreford::model {

/// Callbacks for what happens to streams.
struct StreamObserver {
  /// The stream produced an event; the first one ends the prefill.
  std::function<void(const StreamPtr&)> on_event;
  std::function<void(const StreamPtr&)> on_done;
  /// The stream was not run. `faulty_endpoint` names an endpoint that is dead
  /// or unresponsive; it is empty when an endpoint lacks slots, memory or
  /// layers.
  std::function<void(const StreamPtr&, const std::string& faulty_endpoint)>
      on_refused;
  /// The stream was cut off; it may have run.
  std::function<void(const StreamPtr&)> on_broken;
};

/// A request to send along a chain.
struct StreamRequest {
  std::size_t request_index = 0;
  Chain chain;
  std::uint32_t urgency = 5;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  /// Output tokens that earlier sends have produced.
  std::uint32_t generated_tokens = 0;
};

/// Simulates all endpoints of a scenario: admission, passes, memory,
/// preemption, layer loads and faults.
///
/// Not simulated: links between accelerators and between data centres, opening
/// and closing of connections, and requests that are smaller than a pass.
///
/// Thread safety: none.
class FleetModel {
 public:
  /// Precondition: both outlive this object.
  FleetModel(const Scenario& scenario, EventQueue& queue);

  void SetObserver(StreamObserver observer) { observer_ = std::move(observer); }

  /// Sends a request along a chain.
  StreamPtr Send(const StreamRequest& request);
  /// Ends a stream on behalf of the caller or the daemon.
  void Abort(const StreamPtr& stream);

  /// Orders an endpoint to hold layers. An endpoint that is ordered to hold
  /// more than fits its memory crashes.
  ///
  /// \param on_loaded is called when they are loaded, unless the endpoint
  ///     crashes before.
  /// \returns whether the endpoint accepted the order: it is alive, responsive
  ///     and not loading other layers.
  bool OrderLayers(const std::string& id,
                   LayerRange layers,
                   std::function<void()> on_loaded);

  /// Ends the warm-up: layer loads take their full time from now on.
  void BeginTraffic() { has_traffic_ = true; }

  void Crash(const std::string& id);
  void Restart(const std::string& id);
  void SetUnresponsive(const std::string& id, bool is_unresponsive);
  void SetSlowness(const std::string& id, double factor);

  [[nodiscard]] const std::map<std::string, std::unique_ptr<SimulatedEndpoint>>&
  endpoints() const noexcept {
    return endpoints_;
  }
  /// Load of the chains that start at endpoint `first`.
  [[nodiscard]] ReportedLoad LoadOf(const std::string& first) const;
  /// Layer loads begun since `BeginTraffic`.
  [[nodiscard]] std::uint32_t loads() const noexcept { return loads_; }
  [[nodiscard]] std::uint32_t preemptions() const noexcept {
    return preemptions_;
  }
  /// Orders of more layers than fit the endpoint's memory.
  [[nodiscard]] std::uint32_t overcommitted_orders() const noexcept {
    return overcommitted_orders_;
  }

 private:
  /// Requests of the chains that start at one endpoint.
  struct AdmissionQueue {
    std::uint32_t running = 0;
    std::deque<StreamPtr> waiting;
  };

  void OnPass(const std::vector<WorkItem>& pass);
  void OnPrefilled(const WorkItem& item);
  void OnDecoded(const StreamPtr& stream);
  void EmitEvent(const StreamPtr& stream, std::uint32_t tokens);
  /// Starts the prefill, or schedules a refusal when an endpoint is lost.
  ///
  /// \returns false when an endpoint lacks layers or memory for the stream.
  bool TryStart(const StreamPtr& stream);
  void StartPrefill(const StreamPtr& stream);
  /// Adds generated tokens; preempts the newest stream of each endpoint whose
  /// memory they exceed.
  void AppendTokens(const StreamPtr& stream, std::uint32_t tokens);
  void Preempt(SimulatedEndpoint& endpoint);
  void RetryPrefill(const StreamPtr& stream, std::uint32_t epoch);
  void ReleaseMemory(SimulatedStream& stream);
  void End(const StreamPtr& stream);
  void Refuse(const StreamPtr& stream, const std::string& faulty_endpoint);
  void Break(const StreamPtr& stream);
  void AdmitWaiting(AdmissionQueue& admission_queue);
  /// Schedules the cut-off of the streams that use a lost endpoint. Those that
  /// start at a crashed one are reset at once, those that use it as a later
  /// stage end after the stall timeout. Those that start at an unresponsive
  /// endpoint are not cut off: nothing tells the daemon of its loss.
  void ScheduleStallTimeouts(const std::string& id);
  [[nodiscard]] AdmissionQueue& AdmissionQueueOf(const SimulatedStream& stream);
  [[nodiscard]] bool UsesEndpoint(const SimulatedStream& stream,
                                  const SimulatedEndpoint* endpoint) const;

  const Scenario& scenario_;
  EventQueue& queue_;
  StreamObserver observer_;
  std::map<std::string, std::unique_ptr<SimulatedEndpoint>> endpoints_;
  std::map<std::string, AdmissionQueue> admission_queues_;
  std::map<std::string, bool> unresponsive_;
  /// By sequence number, so that the newest stream is last.
  std::map<std::uint64_t, StreamPtr> streams_;
  std::uint64_t streams_sent_ = 0;
  std::uint32_t loads_in_progress_ = 0;
  std::uint32_t loads_ = 0;
  std::uint32_t preemptions_ = 0;
  std::uint32_t overcommitted_orders_ = 0;
  bool has_traffic_ = false;
};

}  // namespace sycamoreford::model
