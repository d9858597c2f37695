#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "sycamoreford/core/layer_range.h"

namespace sycamoreford::model {

class ModelEndpoint;

/// One send of a request along a chain, as the endpoints see it.
struct ModelStream {
  struct Stage {
    ModelEndpoint* endpoint = nullptr;
    LayerRange layers;
    /// Tokens that this stage has read since the reading began.
    std::uint32_t prefilled_tokens = 0;
  };

  /// Grows with each send; the newest is preempted first.
  std::uint64_t sequence = 0;
  /// Request of the caller that it belongs to.
  std::size_t request_index = 0;
  std::vector<Stage> stages;
  std::uint32_t urgency = 5;
  std::uint32_t prompt_tokens = 0;
  /// Tokens of the answer at its end, and so far; those of earlier sends are
  /// among them.
  std::uint32_t output_tokens = 0;
  std::uint32_t generated_tokens = 0;
  /// Tokens to be read before writing goes on.
  std::uint32_t tokens_to_prefill = 0;
  /// Tokens that it holds memory for on each stage; 0 while it waits.
  std::uint32_t reserved_tokens = 0;
  /// Work queued with an older epoch is void.
  std::uint32_t epoch = 0;
  bool is_running = false;
  bool is_over = false;

  [[nodiscard]] std::uint32_t context() const noexcept {
    return prompt_tokens + generated_tokens;
  }
};

using StreamPtr = std::shared_ptr<ModelStream>;

}  // namespace sycamoreford::model
