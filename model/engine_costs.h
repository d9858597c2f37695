#pragma once

#include <chrono>
#include <cstdint>

namespace sycamoreford::model {

/// Times of an engine beyond those that the router's decisions use. All are
/// those of a whole model on an accelerator with factors of 1.
struct EngineCosts {
  /// Added to a step for each request that writes, and for each 1,000 tokens of
  /// its context.
  std::chrono::duration<double, std::milli> per_decoding_request{0.00714};
  std::chrono::duration<double, std::milli> per_thousand_context_tokens{
      0.00956};
  /// Tokens of prompts read in a second.
  double prefill_tokens_per_second = 105'000;
  /// Reading a million pairs of a token and any earlier token.
  std::chrono::duration<double, std::milli> per_million_attention_pairs{0.309};
  /// Most tokens of prompts that are read within a step.
  std::uint32_t prefill_chunk_tokens = 512;
  /// Steps of a pass with writers; the tokens of an event.
  std::uint32_t decode_steps_per_pass = 3;
  /// Requests that wait at the first endpoint when its slots are taken.
  std::uint32_t max_waiting_requests = 96;
  /// After this time work that depends on a lost endpoint is cut off.
  std::chrono::milliseconds stall_timeout{2'000};
  /// Loads that run at the same time without slowing each other.
  std::uint32_t max_full_speed_loads = 5;
};

}  // namespace sycamoreford::model
