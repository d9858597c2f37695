#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace sycamoreford {

/// Memory and relative speed of one kind of accelerator.
struct AcceleratorKind {
  /// Memory for layer weights and KV cache, in MB.
  double memory_mb = 0;
  /// Factor on the time of a decode step.
  double decode_factor = 1;
  /// Factor on the time of prefill.
  double prefill_factor = 1;
};

/// The model that the endpoints of a service run and the resources that it
/// needs, as declared by operators.
struct EngineProfile {
  std::string model;
  std::uint32_t layers = 0;
  /// Memory of one layer's weights, in MB.
  double layer_mb = 0;
  /// KV cache size of one token over all layers, in bytes.
  double kv_bytes_per_token = 0;
  /// Maximum number of concurrent requests of an endpoint that is the first
  /// stage of a chain.
  std::uint32_t slots = 0;
  /// Time of one decode step over all layers at a decode factor of 1.
  std::chrono::duration<double, std::milli> decode_step_time{0};
  /// Time to load the weights of all layers.
  std::chrono::duration<double> load_time{0};
  /// Mean number of tokens of a prompt and of a response.
  double mean_prompt_tokens = 0;
  double mean_output_tokens = 0;
  std::map<std::string, AcceleratorKind> kinds;

  /// KV cache size of one token in one layer, in MB; 0 without layers.
  [[nodiscard]] double kv_mb_per_token_layer() const noexcept {
    constexpr double kBytesPerMb = 1e6;
    return layers == 0 ? 0 : kv_bytes_per_token / kBytesPerMb / layers;
  }
};

}  // namespace sycamoreford
