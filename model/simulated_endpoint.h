#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "engine_costs.h"
#include "event_queue.h"
#include "simulated_stream.h"
#include "sycamoreford/placement/accelerator.h"

namespace sycamoreford::model {

/// Work of one stream at one stage.
struct WorkItem {
  StreamPtr stream;
  std::size_t stage = 0;
  std::uint32_t epoch = 0;
  /// Tokens to prefill; 0 for decode work.
  std::uint32_t prefill_tokens = 0;
};

/// Simulates an accelerator with memory for layers and for the tokens of
/// requests. It processes the waiting work in batches, called passes.
///
/// Thread safety: none.
class SimulatedEndpoint {
 public:
  /// \param on_pass is called with the work of each pass when it ends.
  /// Precondition: all references outlive this object.
  SimulatedEndpoint(Accelerator accelerator,
                    const EngineProfile& profile,
                    const EngineCosts& costs,
                    EventQueue& queue,
                    std::function<void(const std::vector<WorkItem>&)> on_pass);

  SimulatedEndpoint(const SimulatedEndpoint&) = delete;
  SimulatedEndpoint& operator=(const SimulatedEndpoint&) = delete;

  [[nodiscard]] const Accelerator& accelerator() const noexcept {
    return accelerator_;
  }
  [[nodiscard]] bool is_alive() const noexcept { return is_alive_; }
  /// Loaded layers, which chains may use.
  [[nodiscard]] LayerRange layers() const noexcept {
    return accelerator_.layers;
  }

  /// Whether the free memory fits `tokens` of a request in `layer_count`
  /// layers.
  [[nodiscard]] bool HasMemoryFor(std::uint32_t tokens,
                                  std::uint32_t layer_count) const noexcept;
  /// Reserve and release memory for `tokens` in `layer_count` layers.
  void ReserveRequestMemory(std::uint32_t tokens,
                            std::uint32_t layer_count) noexcept;
  void ReleaseRequestMemory(std::uint32_t tokens,
                            std::uint32_t layer_count) noexcept;
  [[nodiscard]] bool is_over_memory() const noexcept;
  /// Memory beside the layers, in MB: all of it, and the part that requests
  /// use.
  [[nodiscard]] double request_memory_mb() const noexcept;
  [[nodiscard]] double used_request_memory_mb() const noexcept;

  /// Adds work for one of the next passes.
  void AddWork(WorkItem item);

  /// Starts to load a new range and reserves memory for it. Layers that are in
  /// both the old and the new range stay in use.
  ///
  /// \returns number of layers to load.
  std::uint32_t BeginLoad(LayerRange layers) noexcept;
  /// Completes the last `BeginLoad`.
  void EndLoad() noexcept { accelerator_.layers = ordered_layers_; }
  [[nodiscard]] LayerRange ordered_layers() const noexcept {
    return ordered_layers_;
  }

  /// Loses all work, memory and layers.
  void Crash() noexcept;
  /// Starts again without layers.
  void Restart() noexcept { is_alive_ = true; }
  /// Number of crashes; identifies actions that were scheduled before a crash.
  [[nodiscard]] std::uint32_t incarnation() const noexcept {
    return incarnation_;
  }
  /// Sets the factor on the time of passes and loads; 1 is the normal speed.
  void SetSlowness(double factor) noexcept { slowness_ = factor; }
  [[nodiscard]] double slowness() const noexcept { return slowness_; }

 private:
  void StartPass();
  [[nodiscard]] Duration PassTime(const std::vector<WorkItem>& pass) const;

  Accelerator accelerator_;
  const EngineProfile& profile_;
  const EngineCosts& costs_;
  EventQueue& queue_;
  std::function<void(const std::vector<WorkItem>&)> on_pass_;
  LayerRange ordered_layers_;
  bool is_alive_ = true;
  bool is_busy_ = false;
  std::uint32_t incarnation_ = 0;
  double slowness_ = 1;
  /// Reserved tokens times the layers they are held in.
  std::uint64_t token_layers_ = 0;
  std::vector<WorkItem> decode_work_;
  std::deque<WorkItem> prefill_work_;
};

}  // namespace sycamoreford::model
