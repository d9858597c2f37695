#pragma once

#include <string>

#include "sycamoreford/placement/accelerator.h"

namespace sycamoreford::support {

/// Profile of a model with 80 layers on three kinds of accelerators.
inline EngineProfile SampleEngine() {
  EngineProfile engine;
  engine.model = "m";
  engine.layers = 80;
  engine.layer_mb = 1'750;
  engine.kv_bytes_per_token = 918'000;
  engine.slots = 192;
  engine.decode_step_time = std::chrono::duration<double, std::milli>(1.02);
  engine.load_time = std::chrono::duration<double>(14);
  engine.mean_prompt_tokens = 774;
  engine.mean_output_tokens = 203;
  engine.kinds = {{"large", {72'000, 2.4, 3.2}},
                  {"medium", {43'200, 5.6, 2.7}},
                  {"small", {21'600, 16, 8.2}}};
  return engine;
}

/// An accelerator of a kind defined in `SampleEngine`, with `layers` loaded.
inline Accelerator SampleAccelerator(const std::string& id,
                                     const std::string& kind,
                                     LayerRange layers = {}) {
  Accelerator accelerator;
  accelerator.id = id;
  accelerator.address = "10.0.0.1:" + id;
  accelerator.data_centre = "north";
  accelerator.kind = SampleEngine().kinds.at(kind);
  accelerator.layers = layers;
  return accelerator;
}

}  // namespace sycamoreford::support
