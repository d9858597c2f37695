#include "simulated_endpoint.h"

#include <algorithm>
#include <utility>

namespace sycamoreford::model {
namespace {

bool IsStale(const WorkItem& item) {
  return item.stream->is_over || item.epoch != item.stream->epoch;
}

}  // namespace

SimulatedEndpoint::SimulatedEndpoint(
    Accelerator accelerator,
    const EngineProfile& profile,
    const EngineCosts& costs,
    EventQueue& queue,
    std::function<void(const std::vector<WorkItem>&)> on_pass)
    : accelerator_(std::move(accelerator)),
      profile_(profile),
      costs_(costs),
      queue_(queue),
      on_pass_(std::move(on_pass)) {}

bool SimulatedEndpoint::HasMemoryFor(std::uint32_t tokens,
                                     std::uint32_t layer_count) const noexcept {
  return used_request_memory_mb() + static_cast<double>(tokens) * layer_count *
                                        profile_.kv_mb_per_token_layer() <=
         request_memory_mb();
}

double SimulatedEndpoint::request_memory_mb() const noexcept {
  const std::uint32_t layers =
      std::max(accelerator_.layers.size(), ordered_layers_.size());
  return accelerator_.kind.memory_mb - layers * profile_.layer_mb;
}

double SimulatedEndpoint::used_request_memory_mb() const noexcept {
  return static_cast<double>(token_layers_) * profile_.kv_mb_per_token_layer();
}

void SimulatedEndpoint::ReserveRequestMemory(
    std::uint32_t tokens,
    std::uint32_t layer_count) noexcept {
  token_layers_ += static_cast<std::uint64_t>(tokens) * layer_count;
}

void SimulatedEndpoint::ReleaseRequestMemory(
    std::uint32_t tokens,
    std::uint32_t layer_count) noexcept {
  token_layers_ -=
      std::min(token_layers_, static_cast<std::uint64_t>(tokens) * layer_count);
}

bool SimulatedEndpoint::is_over_memory() const noexcept {
  return !HasMemoryFor(0, 0);
}

void SimulatedEndpoint::AddWork(WorkItem item) {
  if (!is_alive_) {
    return;
  }
  if (item.prefill_tokens > 0) {
    prefill_work_.push_back(std::move(item));
  } else {
    decode_work_.push_back(std::move(item));
  }
  // Defers the pass so that work added at the same virtual time joins it.
  if (!is_busy_) {
    is_busy_ = true;
    queue_.Schedule(Duration::zero(), [this, incarnation = incarnation_] {
      if (incarnation == incarnation_) {
        StartPass();
      }
    });
  }
}

void SimulatedEndpoint::StartPass() {
  std::vector<WorkItem> pass = std::exchange(decode_work_, {});
  std::erase_if(pass, IsStale);
  std::uint32_t left = costs_.prefill_chunk_tokens *
                       (pass.empty() ? 1 : costs_.decode_steps_per_pass);
  while (left > 0 && !prefill_work_.empty()) {
    WorkItem& item = prefill_work_.front();
    if (IsStale(item)) {
      prefill_work_.pop_front();
      continue;
    }
    WorkItem chunk = item;
    chunk.prefill_tokens = std::min(left, item.prefill_tokens);
    left -= chunk.prefill_tokens;
    item.prefill_tokens -= chunk.prefill_tokens;
    if (item.prefill_tokens == 0) {
      prefill_work_.pop_front();
    }
    pass.push_back(std::move(chunk));
  }
  is_busy_ = !pass.empty();
  if (!is_busy_) {
    return;
  }
  const Duration time = PassTime(pass);
  queue_.Schedule(time,
                  [this, incarnation = incarnation_, pass = std::move(pass)] {
                    if (incarnation != incarnation_) {
                      return;
                    }
                    on_pass_(pass);
                    if (incarnation == incarnation_) {
                      StartPass();
                    }
                  });
}

Duration SimulatedEndpoint::PassTime(const std::vector<WorkItem>& pass) const {
  constexpr double kThousand = 1e3;
  constexpr double kMillion = 1e6;
  double max_share = 0;
  double step_time = 0;
  double prefill_time = 0;
  bool has_decode = false;
  for (const WorkItem& item : pass) {
    const SimulatedStream::Stage& stage = item.stream->stages[item.stage];
    const double share =
        static_cast<double>(stage.layers.size()) / profile_.layers;
    max_share = std::max(max_share, share);
    if (item.prefill_tokens == 0) {
      has_decode = true;
      step_time += share * (costs_.per_decoding_request.count() +
                            costs_.per_thousand_context_tokens.count() *
                                item.stream->context() / kThousand);
      continue;
    }
    const double pairs = item.prefill_tokens *
                         (stage.prefilled_tokens + item.prefill_tokens / 2.0);
    prefill_time +=
        share *
        (item.prefill_tokens / costs_.prefill_tokens_per_second * kThousand +
         costs_.per_million_attention_pairs.count() * pairs / kMillion);
  }
  step_time += max_share * profile_.decode_step_time.count();
  const double steps = has_decode ? costs_.decode_steps_per_pass : 1;
  const double milliseconds =
      slowness_ * (steps * step_time * accelerator_.kind.decode_factor +
                   prefill_time * accelerator_.kind.prefill_factor);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

std::uint32_t SimulatedEndpoint::BeginLoad(LayerRange layers) noexcept {
  std::uint32_t added = 0;
  for (std::uint32_t layer = layers.first; layer < layers.end; ++layer) {
    added +=
        layer < accelerator_.layers.first || layer >= accelerator_.layers.end
            ? 1
            : 0;
  }
  // Dropped layers are gone at once; those in both ranges stay in use.
  const LayerRange kept = {std::max(accelerator_.layers.first, layers.first),
                           std::min(accelerator_.layers.end, layers.end)};
  accelerator_.layers = kept.is_empty() ? LayerRange{} : kept;
  ordered_layers_ = layers;
  return added;
}

void SimulatedEndpoint::Crash() noexcept {
  is_alive_ = false;
  is_busy_ = false;
  ++incarnation_;
  accelerator_.layers = {};
  ordered_layers_ = {};
  token_layers_ = 0;
  decode_work_.clear();
  prefill_work_.clear();
}

}  // namespace sycamoreford::model
