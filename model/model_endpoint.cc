#include "model_endpoint.h"

#include <algorithm>
#include <utility>

namespace sycamoreford::model {
namespace {

bool IsVoid(const WorkItem& item) {
  return item.stream->is_over || item.epoch != item.stream->epoch;
}

}  // namespace

ModelEndpoint::ModelEndpoint(
    Accelerator card,
    const EngineProfile& profile,
    const EngineCosts& costs,
    EventQueue& queue,
    std::function<void(const std::vector<WorkItem>&)> on_pass)
    : card_(std::move(card)),
      profile_(profile),
      costs_(costs),
      queue_(queue),
      on_pass_(std::move(on_pass)) {}

bool ModelEndpoint::HasRoom(std::uint32_t tokens,
                            std::uint32_t used) const noexcept {
  return taken_mb() + static_cast<double>(tokens) * used *
                          profile_.kv_mb_per_token_layer() <=
         request_memory_mb();
}

double ModelEndpoint::request_memory_mb() const noexcept {
  const std::uint32_t layers = std::max(card_.layers.size(), ordered_.size());
  return card_.kind.memory_mb - layers * profile_.layer_mb;
}

double ModelEndpoint::taken_mb() const noexcept {
  return static_cast<double>(token_layers_) * profile_.kv_mb_per_token_layer();
}

void ModelEndpoint::Hold(std::uint32_t tokens, std::uint32_t used) noexcept {
  token_layers_ += static_cast<std::uint64_t>(tokens) * used;
}

void ModelEndpoint::Release(std::uint32_t tokens, std::uint32_t used) noexcept {
  token_layers_ -=
      std::min(token_layers_, static_cast<std::uint64_t>(tokens) * used);
}

bool ModelEndpoint::is_over_memory() const noexcept {
  return !HasRoom(0, 0);
}

void ModelEndpoint::Add(WorkItem item) {
  if (!is_alive_) {
    return;
  }
  if (item.read_tokens > 0) {
    readers_.push_back(std::move(item));
  } else {
    writers_.push_back(std::move(item));
  }
  // The rest of the present moment's work joins the same pass.
  if (!is_busy_) {
    is_busy_ = true;
    queue_.After(Duration::zero(), [this, run = run_] {
      if (run == run_) {
        Begin();
      }
    });
  }
}

void ModelEndpoint::Begin() {
  std::vector<WorkItem> pass = std::exchange(writers_, {});
  std::erase_if(pass, IsVoid);
  std::uint32_t left = costs_.chunk_tokens * (pass.empty() ? 1 : costs_.stride);
  while (left > 0 && !readers_.empty()) {
    WorkItem& item = readers_.front();
    if (IsVoid(item)) {
      readers_.pop_front();
      continue;
    }
    WorkItem part = item;
    part.read_tokens = std::min(left, item.read_tokens);
    left -= part.read_tokens;
    item.read_tokens -= part.read_tokens;
    if (item.read_tokens == 0) {
      readers_.pop_front();
    }
    pass.push_back(std::move(part));
  }
  is_busy_ = !pass.empty();
  if (!is_busy_) {
    return;
  }
  const Duration time = TimeOf(pass);
  queue_.After(time, [this, run = run_, pass = std::move(pass)] {
    if (run != run_) {
      return;
    }
    on_pass_(pass);
    if (run == run_) {
      Begin();
    }
  });
}

Duration ModelEndpoint::TimeOf(const std::vector<WorkItem>& pass) const {
  constexpr double kThousand = 1e3;
  constexpr double kMillion = 1e6;
  double widest = 0;
  double step = 0;
  double reading = 0;
  bool has_writers = false;
  for (const WorkItem& item : pass) {
    const ModelStream::Stage& stage = item.stream->stages[item.stage];
    const double share =
        static_cast<double>(stage.layers.size()) / profile_.layers;
    widest = std::max(widest, share);
    if (item.read_tokens == 0) {
      has_writers = true;
      step += share * (costs_.per_writer.count() +
                       costs_.per_thousand_context.count() *
                           item.stream->context() / kThousand);
      continue;
    }
    const double pairs =
        item.read_tokens * (stage.read + item.read_tokens / 2.0);
    reading += share * (item.read_tokens / costs_.read_per_second * kThousand +
                        costs_.per_million_pairs.count() * pairs / kMillion);
  }
  step += widest * profile_.decode_step_time.count();
  const double steps = has_writers ? costs_.stride : 1;
  const double milliseconds =
      slowness_ * (steps * step * card_.kind.decode_factor +
                   reading * card_.kind.prefill_factor);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

std::uint32_t ModelEndpoint::BeginLoad(LayerRange layers) noexcept {
  std::uint32_t added = 0;
  for (std::uint32_t layer = layers.first; layer < layers.end; ++layer) {
    added += layer < card_.layers.first || layer >= card_.layers.end ? 1 : 0;
  }
  // What is given up is gone at once; what stays serves on.
  const LayerRange kept = {std::max(card_.layers.first, layers.first),
                           std::min(card_.layers.end, layers.end)};
  card_.layers = kept.is_empty() ? LayerRange{} : kept;
  ordered_ = layers;
  return added;
}

void ModelEndpoint::Crash() noexcept {
  is_alive_ = false;
  is_busy_ = false;
  ++run_;
  card_.layers = {};
  ordered_ = {};
  token_layers_ = 0;
  writers_.clear();
  readers_.clear();
}

}  // namespace sycamoreford::model
