#pragma once

#include <chrono>
#include <cstdint>

namespace sycamoreford::model {

/// Costs and limits of a simulated engine, which the router's decisions do not
/// use. Times are those of all layers of the model on an accelerator whose
/// decode and prefill factors are 1.
struct EngineCosts {
  /// Added to a decode step for each request in it, and for each 1,000 tokens
  /// of that request's context.
  std::chrono::duration<double, std::milli> per_decoding_request{0.00714};
  std::chrono::duration<double, std::milli> per_thousand_context_tokens{
      0.00956};
  double prefill_tokens_per_second = 105'000;
  /// Attention cost of prefill: the time for a million pairs of a token and an
  /// earlier token.
  std::chrono::duration<double, std::milli> per_million_attention_pairs{0.309};
  /// Max prompt tokens that are prefilled within one decode step.
  std::uint32_t prefill_chunk_tokens = 512;
  /// Decode steps of a pass that has decode work; also the max number of tokens
  /// of an event.
  std::uint32_t decode_steps_per_pass = 3;
  /// Max requests that wait at the first endpoint of a chain for a free slot.
  std::uint32_t max_waiting_requests = 96;
  /// Time after which streams that depend on a lost endpoint are cut off.
  std::chrono::milliseconds stall_timeout{2'000};
  /// Max layer loads that run at the same time without slowing each other.
  std::uint32_t max_full_speed_loads = 5;
};

}  // namespace sycamoreford::model
