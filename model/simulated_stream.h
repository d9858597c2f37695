#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "sycamoreford/core/layer_range.h"

namespace sycamoreford::model {

class SimulatedEndpoint;

/// One send of a request along a chain, as the endpoints see it.
struct SimulatedStream {
  struct Stage {
    SimulatedEndpoint* endpoint = nullptr;
    LayerRange layers;
    /// Tokens that this stage has processed in the current prefill.
    std::uint32_t prefilled_tokens = 0;
  };

  /// Increases with each send; the newest stream is preempted first.
  std::uint64_t sequence = 0;
  /// The caller's request that this stream belongs to.
  std::size_t request_index = 0;
  std::vector<Stage> stages;
  std::uint32_t urgency = 5;
  std::uint32_t prompt_tokens = 0;
  /// Output tokens of the complete request, and those generated so far; both
  /// include the tokens of earlier sends.
  std::uint32_t output_tokens = 0;
  std::uint32_t generated_tokens = 0;
  /// Tokens to prefill before decoding can go on.
  std::uint32_t tokens_to_prefill = 0;
  /// Tokens for which it has memory on each stage; 0 while it waits.
  std::uint32_t reserved_tokens = 0;
  /// Increases with each preemption; queued work of an older epoch is stale.
  std::uint32_t epoch = 0;
  bool is_running = false;
  bool is_over = false;

  [[nodiscard]] std::uint32_t context() const noexcept {
    return prompt_tokens + generated_tokens;
  }
};

using StreamPtr = std::shared_ptr<SimulatedStream>;

}  // namespace sycamoreford::model
