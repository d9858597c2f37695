#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "model_endpoint.h"
#include "scenario.h"
#include "sycamoreford/relay/reported_load.h"
#include "sycamoreford/route/chain.h"

namespace sycamoreford::model {

/// What endpoints tell of a stream.
struct StreamObserver {
  /// An event is ready; the first one ends the reading.
  std::function<void(const StreamPtr&)> on_event;
  std::function<void(const StreamPtr&)> on_done;
  /// It was not run, as the endpoint at fault, if any, is dead or full.
  std::function<void(const StreamPtr&, const std::string& faulty_endpoint)>
      on_refused;
  /// It was cut off when it may have run.
  std::function<void(const StreamPtr&)> on_broken;
};

/// A request to send along a chain.
struct StreamRequest {
  std::size_t request_index = 0;
  Chain chain;
  std::uint32_t urgency = 5;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;
  /// Tokens of the answer that earlier sends have produced.
  std::uint32_t generated_tokens = 0;
};

/// All endpoints of a scenario: admission, passes, memory, preemption, loads
/// and faults.
///
/// Left out: links between cards and pipes between data centres, the start and
/// the end of connections, requests that are smaller than a pass.
///
/// Thread safety: none.
class FleetModel {
 public:
  /// Precondition: both outlive this object.
  FleetModel(const Scenario& scenario, EventQueue& queue);

  void SetObserver(StreamObserver observer) { observer_ = std::move(observer); }

  /// Sends a request along a chain.
  StreamPtr Send(const StreamRequest& request);
  /// The caller or the daemon gives a stream up.
  void Abort(const StreamPtr& stream);

  /// Orders an endpoint to hold layers.
  ///
  /// \param on_loaded is called when they are loaded, unless the endpoint is
  ///     lost meanwhile.
  /// An endpoint that is ordered to hold more than its memory crashes.
  ///
  /// \returns whether it took the order: it is alive and loads nothing else.
  bool OrderLayers(const std::string& endpoint,
                   LayerRange layers,
                   std::function<void()> on_loaded);

  /// Requests come from now on, and loads take their whole time.
  void BeginTraffic() { has_traffic_ = true; }

  void Crash(const std::string& endpoint);
  void Restart(const std::string& endpoint);
  void SetUnresponsive(const std::string& endpoint, bool is_unresponsive);
  void SetSlowness(const std::string& endpoint, double factor);

  [[nodiscard]] const std::map<std::string, std::unique_ptr<ModelEndpoint>>&
  endpoints() const noexcept {
    return endpoints_;
  }
  [[nodiscard]] ReportedLoad LoadOf(const std::string& first) const;
  /// Loads begun since `BeginTraffic`, and streams preempted.
  [[nodiscard]] std::uint32_t loads() const noexcept { return loads_; }
  [[nodiscard]] std::uint32_t preemptions() const noexcept {
    return preemptions_;
  }
  /// Orders that an endpoint's memory could not hold.
  [[nodiscard]] std::uint32_t overcommitted_orders() const noexcept {
    return overcommitted_orders_;
  }

 private:
  /// Requests of which an endpoint is the first of the chain.
  struct AdmissionQueue {
    std::uint32_t running = 0;
    std::deque<StreamPtr> waiting;
  };

  void OnPass(const std::vector<WorkItem>& pass);
  void OnPrefilled(const WorkItem& item);
  void OnDecoded(const StreamPtr& stream);
  void EmitEvent(const StreamPtr& stream, std::uint32_t tokens);
  bool TryStart(const StreamPtr& stream);
  void StartPrefill(const StreamPtr& stream);
  void AppendTokens(const StreamPtr& stream, std::uint32_t tokens);
  void Preempt(ModelEndpoint& endpoint);
  void RetryPrefill(const StreamPtr& stream, std::uint32_t epoch);
  void ReleaseMemory(ModelStream& stream);
  void End(const StreamPtr& stream);
  void Refuse(const StreamPtr& stream, const std::string& faulty_endpoint);
  void Break(const StreamPtr& stream);
  void AdmitWaiting(AdmissionQueue& admission_queue);
  /// Cuts what depends on an endpoint off, after the stall.
  void ScheduleStallTimeouts(const std::string& endpoint);
  [[nodiscard]] AdmissionQueue& AdmissionQueueOf(const ModelStream& stream);
  [[nodiscard]] bool UsesEndpoint(const ModelStream& stream,
                                  const ModelEndpoint* endpoint) const;

  const Scenario& scenario_;
  EventQueue& queue_;
  StreamObserver observer_;
  std::map<std::string, std::unique_ptr<ModelEndpoint>> endpoints_;
  std::map<std::string, AdmissionQueue> admission_queues_;
  std::map<std::string, bool> unresponsive_;
  /// By number, so that the newest is the last.
  std::map<std::uint64_t, StreamPtr> streams_;
  std::uint64_t streams_sent_ = 0;
  std::uint32_t loads_in_progress_ = 0;
  std::uint32_t loads_ = 0;
  std::uint32_t preemptions_ = 0;
  std::uint32_t overcommitted_orders_ = 0;
  bool has_traffic_ = false;
};

}  // namespace sycamoreford::model
