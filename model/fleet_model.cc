#include "fleet_model.h"

#include <algorithm>
#include <utility>

namespace sycamoreford::model {
namespace {

/// Interval at which a preempted stream tries to get memory again; it spans a
/// few passes.
constexpr std::chrono::milliseconds kPrefillRetryInterval{30};
/// Time until a connection to a process that has ended is reset.
constexpr std::chrono::milliseconds kConnectionResetDelay{2};
/// Layer loads during the warm-up take a tenth of their time.
constexpr double kWarmUpLoadFactor = 0.1;

}  // namespace

FleetModel::FleetModel(const Scenario& scenario, EventQueue& queue)
    : scenario_(scenario), queue_(queue) {
  for (const DataCentreSpec& data_centre : scenario.data_centres) {
    for (const auto& [kind, count] : data_centre.accelerators) {
      for (std::uint32_t i = 0; i < count; ++i) {
        Accelerator accelerator;
        accelerator.id =
            data_centre.name + "/" + kind + "-" + std::to_string(i);
        accelerator.address = accelerator.id;
        accelerator.data_centre = data_centre.name;
        accelerator.kind = scenario.engine.kinds.at(kind);
        const std::string id = accelerator.id;
        endpoints_[id] = std::make_unique<SimulatedEndpoint>(
            std::move(accelerator), scenario.engine, scenario.costs, queue,
            [this](const std::vector<WorkItem>& pass) { OnPass(pass); });
      }
    }
  }
}

FleetModel::AdmissionQueue& FleetModel::AdmissionQueueOf(
    const SimulatedStream& stream) {
  return admission_queues_[stream.stages.front().endpoint->accelerator().id];
}

bool FleetModel::UsesEndpoint(const SimulatedStream& stream,
                              const SimulatedEndpoint* endpoint) const {
  return std::any_of(stream.stages.begin(), stream.stages.end(),
                     [&](const SimulatedStream::Stage& it) {
                       return it.endpoint == endpoint;
                     });
}

ReportedLoad FleetModel::LoadOf(const std::string& first) const {
  const auto admission_queue = admission_queues_.find(first);
  if (admission_queue == admission_queues_.end()) {
    return {.slots = scenario_.engine.slots};
  }
  return {.running = admission_queue->second.running,
          .waiting = static_cast<std::uint32_t>(
              admission_queue->second.waiting.size()),
          .slots = scenario_.engine.slots};
}

StreamPtr FleetModel::Send(const StreamRequest& request) {
  auto stream = std::make_shared<SimulatedStream>();
  stream->sequence = ++streams_sent_;
  stream->request_index = request.request_index;
  stream->urgency = request.urgency;
  stream->prompt_tokens = request.prompt_tokens;
  stream->output_tokens = request.output_tokens;
  stream->generated_tokens = request.generated_tokens;
  for (const ChainStage& stage : request.chain) {
    stream->stages.push_back(
        {endpoints_.at(stage.endpoint.value()).get(), stage.layers, 0});
  }
  streams_[stream->sequence] = stream;
  const auto& first = stream->stages.front().endpoint->accelerator().id;
  if (!stream->stages.front().endpoint->is_alive()) {
    queue_.Schedule(kConnectionResetDelay,
                    [this, stream, first] { Refuse(stream, first); });
    return stream;
  }
  if (unresponsive_[first]) {
    return stream;
  }
  AdmissionQueue& admission_queue = admission_queues_[first];
  if (admission_queue.running < scenario_.engine.slots) {
    queue_.Schedule(Duration::zero(), [this, stream] {
      if (!stream->is_over && !TryStart(stream)) {
        Refuse(stream, "");
      }
    });
  } else if (admission_queue.waiting.size() <
             scenario_.costs.max_waiting_requests) {
    const auto position = std::find_if(
        admission_queue.waiting.begin(), admission_queue.waiting.end(),
        [&](const StreamPtr& it) { return it->urgency > stream->urgency; });
    admission_queue.waiting.insert(position, stream);
  } else {
    queue_.Schedule(kConnectionResetDelay,
                    [this, stream] { Refuse(stream, ""); });
  }
  return stream;
}

bool FleetModel::TryStart(const StreamPtr& stream) {
  for (const SimulatedStream::Stage& stage : stream->stages) {
    SimulatedEndpoint& endpoint = *stage.endpoint;
    if (!endpoint.is_alive() || unresponsive_[endpoint.accelerator().id]) {
      queue_.Schedule(scenario_.costs.stall_timeout, [this, stream, &endpoint] {
        Refuse(stream, endpoint.accelerator().id);
      });
      return true;
    }
    const LayerRange held = endpoint.layers();
    if (stage.layers.first < held.first || held.end < stage.layers.end ||
        !endpoint.HasMemoryFor(stream->context(), stage.layers.size())) {
      return false;
    }
  }
  ++AdmissionQueueOf(*stream).running;
  stream->is_running = true;
  StartPrefill(stream);
  return true;
}

void FleetModel::StartPrefill(const StreamPtr& stream) {
  stream->reserved_tokens = stream->context();
  stream->tokens_to_prefill = stream->context();
  for (SimulatedStream::Stage& stage : stream->stages) {
    stage.prefilled_tokens = 0;
    stage.endpoint->ReserveRequestMemory(stream->reserved_tokens,
                                         stage.layers.size());
  }
  stream->stages.front().endpoint->AddWork(
      {stream, 0, stream->epoch, stream->tokens_to_prefill});
}

void FleetModel::OnPass(const std::vector<WorkItem>& pass) {
  for (const WorkItem& item : pass) {
    const StreamPtr& stream = item.stream;
    const std::string& at =
        stream->stages[item.stage].endpoint->accelerator().id;
    if (stream->is_over || item.epoch != stream->epoch || unresponsive_[at]) {
      continue;
    }
    const std::size_t next = item.stage + 1;
    if (item.prefill_tokens > 0) {
      stream->stages[item.stage].prefilled_tokens += item.prefill_tokens;
    }
    if (next < stream->stages.size()) {
      SimulatedEndpoint& endpoint = *stream->stages[next].endpoint;
      if (!unresponsive_[endpoint.accelerator().id]) {
        endpoint.AddWork({stream, next, item.epoch, item.prefill_tokens});
      }
    } else if (item.prefill_tokens > 0) {
      OnPrefilled(item);
    } else {
      OnDecoded(stream);
    }
  }
}

void FleetModel::OnPrefilled(const WorkItem& item) {
  if (item.stream->stages.back().prefilled_tokens >=
      item.stream->tokens_to_prefill) {
    EmitEvent(item.stream, 1);
  }
}

void FleetModel::OnDecoded(const StreamPtr& stream) {
  EmitEvent(stream, scenario_.costs.decode_steps_per_pass);
}

void FleetModel::EmitEvent(const StreamPtr& stream, std::uint32_t tokens) {
  AppendTokens(stream, std::min(tokens, stream->output_tokens -
                                            stream->generated_tokens));
  if (observer_.on_event) {
    observer_.on_event(stream);
  }
  if (stream->is_over) {
    return;
  }
  if (stream->generated_tokens >= stream->output_tokens) {
    End(stream);
    observer_.on_done(stream);
    return;
  }
  // A stream that was preempted by its own growth starts with prefill again.
  if (stream->reserved_tokens > 0 &&
      !unresponsive_[stream->stages.front().endpoint->accelerator().id]) {
    stream->stages.front().endpoint->AddWork({stream, 0, stream->epoch, 0});
  }
}

void FleetModel::AppendTokens(const StreamPtr& stream, std::uint32_t tokens) {
  stream->generated_tokens += tokens;
  stream->reserved_tokens += tokens;
  for (const SimulatedStream::Stage& stage : stream->stages) {
    stage.endpoint->ReserveRequestMemory(tokens, stage.layers.size());
  }
  for (const SimulatedStream::Stage& stage : stream->stages) {
    if (stage.endpoint->is_over_memory()) {
      Preempt(*stage.endpoint);
    }
  }
}

void FleetModel::Preempt(SimulatedEndpoint& endpoint) {
  const auto found =
      std::find_if(streams_.rbegin(), streams_.rend(), [&](const auto& it) {
        return it.second->reserved_tokens > 0 &&
               UsesEndpoint(*it.second, &endpoint);
      });
  if (found == streams_.rend()) {
    // The layers alone exceed the memory; the placement prevents that.
    return;
  }
  const StreamPtr newest = found->second;
  ++preemptions_;
  ReleaseMemory(*newest);
  ++newest->epoch;
  queue_.Schedule(kPrefillRetryInterval, [this, newest, epoch = newest->epoch] {
    RetryPrefill(newest, epoch);
  });
}

void FleetModel::RetryPrefill(const StreamPtr& stream, std::uint32_t epoch) {
  if (stream->is_over || stream->epoch != epoch) {
    return;
  }
  const bool has_memory =
      std::all_of(stream->stages.begin(), stream->stages.end(),
                  [&](const SimulatedStream::Stage& stage) {
                    return stage.endpoint->HasMemoryFor(stream->context(),
                                                        stage.layers.size());
                  });
  if (has_memory) {
    StartPrefill(stream);
    return;
  }
  queue_.Schedule(kPrefillRetryInterval,
                  [this, stream, epoch] { RetryPrefill(stream, epoch); });
}

void FleetModel::ReleaseMemory(SimulatedStream& stream) {
  for (const SimulatedStream::Stage& stage : stream.stages) {
    if (stage.endpoint->is_alive()) {
      stage.endpoint->ReleaseRequestMemory(stream.reserved_tokens,
                                           stage.layers.size());
    }
  }
  stream.reserved_tokens = 0;
}

void FleetModel::End(const StreamPtr& stream) {
  if (stream->is_over) {
    return;
  }
  stream->is_over = true;
  ReleaseMemory(*stream);
  AdmissionQueue& admission_queue = AdmissionQueueOf(*stream);
  std::erase(admission_queue.waiting, stream);
  streams_.erase(stream->sequence);
  if (stream->is_running) {
    --admission_queue.running;
    AdmitWaiting(admission_queue);
  }
}

void FleetModel::AdmitWaiting(AdmissionQueue& admission_queue) {
  while (!admission_queue.waiting.empty() &&
         admission_queue.running < scenario_.engine.slots) {
    const StreamPtr next = admission_queue.waiting.front();
    admission_queue.waiting.pop_front();
    if (!TryStart(next)) {
      Refuse(next, "");
    }
  }
}

void FleetModel::Abort(const StreamPtr& stream) {
  End(stream);
}

void FleetModel::Refuse(const StreamPtr& stream,
                        const std::string& faulty_endpoint) {
  if (stream->is_over) {
    return;
  }
  End(stream);
  observer_.on_refused(stream, faulty_endpoint);
}

void FleetModel::Break(const StreamPtr& stream) {
  if (stream->is_over) {
    return;
  }
  End(stream);
  observer_.on_broken(stream);
}

bool FleetModel::OrderLayers(const std::string& id,
                             LayerRange layers,
                             std::function<void()> on_loaded) {
  SimulatedEndpoint& endpoint = *endpoints_.at(id);
  if (!endpoint.is_alive() || unresponsive_[id] ||
      endpoint.ordered_layers() != endpoint.layers()) {
    return false;
  }
  if (layers.size() * scenario_.engine.layer_mb >
      endpoint.accelerator().kind.memory_mb) {
    ++overcommitted_orders_;
    Crash(id);
    return true;
  }
  const std::uint32_t added = endpoint.BeginLoad(layers);
  ++loads_in_progress_;
  loads_ += has_traffic_ && added > 0 ? 1 : 0;
  const double contention =
      std::max(1.0, static_cast<double>(loads_in_progress_) /
                        std::max(1U, scenario_.costs.max_full_speed_loads));
  const auto time = std::chrono::duration_cast<Duration>(
      scenario_.engine.load_time *
      (static_cast<double>(added) / scenario_.engine.layers * contention *
       endpoint.slowness() * (has_traffic_ ? 1 : kWarmUpLoadFactor)));
  queue_.Schedule(time, [this, &endpoint, incarnation = endpoint.incarnation(),
                         on_loaded = std::move(on_loaded)] {
    --loads_in_progress_;
    if (endpoint.incarnation() == incarnation) {
      endpoint.EndLoad();
      on_loaded();
    }
  });
  return true;
}

void FleetModel::ScheduleStallTimeouts(const std::string& id) {
  const SimulatedEndpoint* endpoint = endpoints_.at(id).get();
  const bool is_reset = !endpoint->is_alive();
  for (const auto& [sequence, stream] : streams_) {
    if (!UsesEndpoint(*stream, endpoint)) {
      continue;
    }
    const bool is_first = stream->stages.front().endpoint == endpoint;
    if (is_first && !is_reset) {
      continue;
    }
    queue_.Schedule(is_first ? Duration(kConnectionResetDelay)
                             : Duration(scenario_.costs.stall_timeout),
                    [this, stream = stream] { Break(stream); });
  }
}

void FleetModel::Crash(const std::string& id) {
  endpoints_.at(id)->Crash();
  ScheduleStallTimeouts(id);
}

void FleetModel::Restart(const std::string& id) {
  endpoints_.at(id)->Restart();
}

void FleetModel::SetUnresponsive(const std::string& id, bool is_unresponsive) {
  unresponsive_[id] = is_unresponsive;
  if (is_unresponsive) {
    ScheduleStallTimeouts(id);
  }
}

void FleetModel::SetSlowness(const std::string& id, double factor) {
  endpoints_.at(id)->SetSlowness(factor);
}

}  // namespace sycamoreford::model
