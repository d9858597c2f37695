#include "fleet_model.h"

#include <algorithm>
#include <utility>

namespace sycamoreford::model {
namespace {

/// A preempted stream looks for memory again after this time; a few passes.
constexpr std::chrono::milliseconds kReadAgain{30};
/// A connection to a process that has ended is reset within this time.
constexpr std::chrono::milliseconds kReset{2};
/// Loads before the first request take a tenth of their time.
constexpr double kEarlyLoad = 0.1;

}  // namespace

FleetModel::FleetModel(const Scenario& scenario, EventQueue& queue)
    : scenario_(scenario), queue_(queue) {
  for (const DataCentreSpec& data_centre : scenario.data_centres) {
    for (const auto& [kind, count] : data_centre.cards) {
      for (std::uint32_t i = 0; i < count; ++i) {
        Accelerator card;
        card.id = data_centre.name + "/" + kind + "-" + std::to_string(i);
        card.address = card.id;
        card.data_centre = data_centre.name;
        card.kind = scenario.engine.kinds.at(kind);
        const std::string id = card.id;
        endpoints_[id] = std::make_unique<ModelEndpoint>(
            std::move(card), scenario.engine, scenario.costs, queue,
            [this](const std::vector<WorkItem>& pass) { OnPass(pass); });
      }
    }
  }
}

FleetModel::Door& FleetModel::DoorOf(const ModelStream& stream) {
  return doors_[stream.stages.front().endpoint->card().id];
}

bool FleetModel::Passes(const ModelStream& stream,
                        const ModelEndpoint* endpoint) const {
  return std::any_of(
      stream.stages.begin(), stream.stages.end(),
      [&](const ModelStream::Stage& it) { return it.endpoint == endpoint; });
}

ReportedLoad FleetModel::LoadOf(const std::string& first) const {
  const auto door = doors_.find(first);
  if (door == doors_.end()) {
    return {.slots = scenario_.engine.slots};
  }
  return {.running = door->second.running,
          .waiting = static_cast<std::uint32_t>(door->second.waiting.size()),
          .slots = scenario_.engine.slots};
}

StreamPtr FleetModel::Send(const StreamOrder& order) {
  auto stream = std::make_shared<ModelStream>();
  stream->number = ++sent_;
  stream->request = order.request;
  stream->urgency = order.urgency;
  stream->prompt_tokens = order.prompt_tokens;
  stream->answer_tokens = order.answer_tokens;
  stream->written = order.written;
  for (const ChainStage& stage : order.chain) {
    stream->stages.push_back(
        {endpoints_.at(stage.endpoint.value()).get(), stage.layers, 0});
  }
  streams_[stream->number] = stream;
  const auto& first = stream->stages.front().endpoint->card().id;
  if (!stream->stages.front().endpoint->is_alive()) {
    queue_.After(kReset, [this, stream, first] { Refuse(stream, first); });
    return stream;
  }
  if (is_dark_[first]) {
    return stream;
  }
  Door& door = doors_[first];
  if (door.running < scenario_.engine.slots) {
    queue_.After(Duration::zero(), [this, stream] {
      if (!stream->is_over && !TryRun(stream)) {
        Refuse(stream, "");
      }
    });
  } else if (door.waiting.size() < scenario_.costs.queue) {
    const auto place = std::find_if(
        door.waiting.begin(), door.waiting.end(),
        [&](const StreamPtr& it) { return it->urgency > stream->urgency; });
    door.waiting.insert(place, stream);
  } else {
    queue_.After(kReset, [this, stream] { Refuse(stream, ""); });
  }
  return stream;
}

bool FleetModel::TryRun(const StreamPtr& stream) {
  for (const ModelStream::Stage& stage : stream->stages) {
    ModelEndpoint& endpoint = *stage.endpoint;
    if (!endpoint.is_alive() || is_dark_[endpoint.card().id]) {
      queue_.After(scenario_.costs.stall, [this, stream, &endpoint] {
        Refuse(stream, endpoint.card().id);
      });
      return true;
    }
    const LayerRange held = endpoint.layers();
    if (stage.layers.first < held.first || held.end < stage.layers.end ||
        !endpoint.HasRoom(stream->context(), stage.layers.size())) {
      return false;
    }
  }
  ++DoorOf(*stream).running;
  stream->is_running = true;
  Run(stream);
  return true;
}

void FleetModel::Run(const StreamPtr& stream) {
  stream->held = stream->context();
  stream->to_read = stream->context();
  for (ModelStream::Stage& stage : stream->stages) {
    stage.read = 0;
    stage.endpoint->Hold(stream->held, stage.layers.size());
  }
  stream->stages.front().endpoint->Add(
      {stream, 0, stream->epoch, stream->to_read});
}

void FleetModel::OnPass(const std::vector<WorkItem>& pass) {
  for (const WorkItem& item : pass) {
    const StreamPtr& stream = item.stream;
    const std::string& at = stream->stages[item.stage].endpoint->card().id;
    if (stream->is_over || item.epoch != stream->epoch || is_dark_[at]) {
      continue;
    }
    const std::size_t next = item.stage + 1;
    if (item.read_tokens > 0) {
      stream->stages[item.stage].read += item.read_tokens;
    }
    if (next < stream->stages.size()) {
      ModelEndpoint& endpoint = *stream->stages[next].endpoint;
      if (!is_dark_[endpoint.card().id]) {
        endpoint.Add({stream, next, item.epoch, item.read_tokens});
      }
    } else if (item.read_tokens > 0) {
      OnRead(item);
    } else {
      OnWritten(stream);
    }
  }
}

void FleetModel::OnRead(const WorkItem& item) {
  if (item.stream->stages.back().read >= item.stream->to_read) {
    Emit(item.stream, 1);
  }
}

void FleetModel::OnWritten(const StreamPtr& stream) {
  Emit(stream, scenario_.costs.stride);
}

void FleetModel::Emit(const StreamPtr& stream, std::uint32_t tokens) {
  Grow(stream, std::min(tokens, stream->answer_tokens - stream->written));
  if (watcher_.on_event) {
    watcher_.on_event(stream);
  }
  if (stream->is_over) {
    return;
  }
  if (stream->written >= stream->answer_tokens) {
    End(stream);
    watcher_.on_done(stream);
    return;
  }
  // Preempted while it grew: it reads again first.
  if (stream->held > 0 &&
      !is_dark_[stream->stages.front().endpoint->card().id]) {
    stream->stages.front().endpoint->Add({stream, 0, stream->epoch, 0});
  }
}

void FleetModel::Grow(const StreamPtr& stream, std::uint32_t tokens) {
  stream->written += tokens;
  stream->held += tokens;
  for (const ModelStream::Stage& stage : stream->stages) {
    stage.endpoint->Hold(tokens, stage.layers.size());
  }
  for (const ModelStream::Stage& stage : stream->stages) {
    if (stage.endpoint->is_over_memory()) {
      Preempt(*stage.endpoint);
    }
  }
}

void FleetModel::Preempt(ModelEndpoint& endpoint) {
  const auto found =
      std::find_if(streams_.rbegin(), streams_.rend(), [&](const auto& it) {
        return it.second->held > 0 && Passes(*it.second, &endpoint);
      });
  if (found == streams_.rend()) {
    // Layers alone do not fit; the placement prevents that.
    return;
  }
  const StreamPtr newest = found->second;
  ++preemptions_;
  ReleaseMemory(*newest);
  ++newest->epoch;
  queue_.After(kReadAgain, [this, newest, epoch = newest->epoch] {
    ReadAgain(newest, epoch);
  });
}

void FleetModel::ReadAgain(const StreamPtr& stream, std::uint32_t epoch) {
  if (stream->is_over || stream->epoch != epoch) {
    return;
  }
  const bool has_room = std::all_of(
      stream->stages.begin(), stream->stages.end(),
      [&](const ModelStream::Stage& stage) {
        return stage.endpoint->HasRoom(stream->context(), stage.layers.size());
      });
  if (has_room) {
    Run(stream);
    return;
  }
  queue_.After(kReadAgain, [this, stream, epoch] { ReadAgain(stream, epoch); });
}

void FleetModel::ReleaseMemory(ModelStream& stream) {
  for (const ModelStream::Stage& stage : stream.stages) {
    if (stage.endpoint->is_alive()) {
      stage.endpoint->Release(stream.held, stage.layers.size());
    }
  }
  stream.held = 0;
}

void FleetModel::End(const StreamPtr& stream) {
  if (stream->is_over) {
    return;
  }
  stream->is_over = true;
  ReleaseMemory(*stream);
  Door& door = DoorOf(*stream);
  std::erase(door.waiting, stream);
  streams_.erase(stream->number);
  if (stream->is_running) {
    --door.running;
    Admit(door);
  }
}

void FleetModel::Admit(Door& door) {
  while (!door.waiting.empty() && door.running < scenario_.engine.slots) {
    const StreamPtr next = door.waiting.front();
    door.waiting.pop_front();
    if (!TryRun(next)) {
      Refuse(next, "");
    }
  }
}

void FleetModel::Abort(const StreamPtr& stream) {
  End(stream);
}

void FleetModel::Refuse(const StreamPtr& stream, const std::string& fault) {
  if (stream->is_over) {
    return;
  }
  End(stream);
  watcher_.on_refused(stream, fault);
}

void FleetModel::Break(const StreamPtr& stream) {
  if (stream->is_over) {
    return;
  }
  End(stream);
  watcher_.on_broken(stream);
}

bool FleetModel::Place(const std::string& id,
                       LayerRange layers,
                       std::function<void()> on_loaded) {
  ModelEndpoint& endpoint = *endpoints_.at(id);
  if (!endpoint.is_alive() || is_dark_[id] ||
      endpoint.ordered() != endpoint.layers()) {
    return false;
  }
  if (layers.size() * scenario_.engine.layer_mb >
      endpoint.card().kind.memory_mb) {
    ++overfilled_;
    Crash(id);
    return true;
  }
  const std::uint32_t added = endpoint.BeginLoad(layers);
  ++loading_;
  loads_ += has_traffic_ && added > 0 ? 1 : 0;
  const double crowd =
      std::max(1.0, static_cast<double>(loading_) /
                        std::max(1U, scenario_.costs.loads_at_once));
  const auto time = std::chrono::duration_cast<Duration>(
      scenario_.engine.load_time *
      (static_cast<double>(added) / scenario_.engine.layers * crowd *
       endpoint.slowness() * (has_traffic_ ? 1 : kEarlyLoad)));
  queue_.After(time, [this, &endpoint, run = endpoint.run(),
                      on_loaded = std::move(on_loaded)] {
    --loading_;
    if (endpoint.run() == run) {
      endpoint.EndLoad();
      on_loaded();
    }
  });
  return true;
}

void FleetModel::StallAll(const std::string& id) {
  const ModelEndpoint* endpoint = endpoints_.at(id).get();
  const bool is_reset = !endpoint->is_alive();
  for (const auto& [number, stream] : streams_) {
    if (!Passes(*stream, endpoint)) {
      continue;
    }
    const bool is_first = stream->stages.front().endpoint == endpoint;
    if (is_first && !is_reset) {
      continue;
    }
    queue_.After(is_first ? Duration(kReset) : Duration(scenario_.costs.stall),
                 [this, stream = stream] { Break(stream); });
  }
}

void FleetModel::Crash(const std::string& id) {
  endpoints_.at(id)->Crash();
  StallAll(id);
}

void FleetModel::Restart(const std::string& id) {
  endpoints_.at(id)->Restart();
}

void FleetModel::SetDark(const std::string& id, bool is_dark) {
  is_dark_[id] = is_dark;
  if (is_dark) {
    StallAll(id);
  }
}

void FleetModel::SetSlowness(const std::string& id, double factor) {
  endpoints_.at(id)->SetSlowness(factor);
}

}  // namespace sycamoreford::model
