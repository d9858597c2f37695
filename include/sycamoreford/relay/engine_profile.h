#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace sycamoreford {

/// One kind of accelerator.
struct AcceleratorKind {
  /// Memory for layers and for requests, in MB.
  double memory_mb = 0;
  /// Factor on the time of a token step.
  double decode_factor = 1;
  /// Factor on the time of reading prompts.
  double prefill_factor = 1;
};

/// What the endpoints of a service can run, as operators declare it.
struct EngineProfile {
  std::string model;
  std::uint32_t layers = 0;
  /// Memory of one layer's weights, in MB.
  double layer_mb = 0;
  /// Memory of one token over all layers, in bytes.
  double kv_bytes_per_token = 0;
  /// Requests that an endpoint takes at once as the first of a chain.
  std::uint32_t slots = 0;
  /// Time of a token step over all layers at a step factor of 1.
  std::chrono::duration<double, std::milli> decode_step_time{0};
  /// Time to load all layers.
  std::chrono::duration<double> load_time{0};
  /// Mean tokens of a prompt and of an answer.
  double mean_prompt_tokens = 0;
  double mean_output_tokens = 0;
  std::map<std::string, AcceleratorKind> kinds;

  /// Memory of one token in one layer, in MB.
  [[nodiscard]] double kv_mb_per_token_layer() const noexcept {
    constexpr double kBytesPerMb = 1e6;
    return layers == 0 ? 0 : kv_bytes_per_token / kBytesPerMb / layers;
  }
};

}  // namespace sycamoreford
