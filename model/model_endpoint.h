#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "engine_costs.h"
#include "event_queue.h"
#include "model_stream.h"
#include "sycamoreford/placement/accelerator.h"

namespace sycamoreford::model {

/// Work of one stream at one stage.
struct WorkItem {
  StreamPtr stream;
  std::size_t stage = 0;
  std::uint32_t epoch = 0;
  /// Tokens to read; 0 for a writer.
  std::uint32_t prefill_tokens = 0;
};

/// An accelerator that processes waiting work in passes, with memory for layers
/// and for the tokens of requests.
///
/// Thread safety: none.
class ModelEndpoint {
 public:
  /// \param on_pass is called with the work of each pass at its end.
  /// Precondition: all references outlive this object.
  ModelEndpoint(Accelerator accelerator,
                const EngineProfile& profile,
                const EngineCosts& costs,
                EventQueue& queue,
                std::function<void(const std::vector<WorkItem>&)> on_pass);

  ModelEndpoint(const ModelEndpoint&) = delete;
  ModelEndpoint& operator=(const ModelEndpoint&) = delete;

  [[nodiscard]] const Accelerator& accelerator() const noexcept {
    return accelerator_;
  }
  [[nodiscard]] bool is_alive() const noexcept { return is_alive_; }
  /// Layers that a chain may use; those that are loaded.
  [[nodiscard]] LayerRange layers() const noexcept {
    return accelerator_.layers;
  }

  /// Whether tokens of a request over `used` layers fit beside the others.
  [[nodiscard]] bool HasMemoryFor(std::uint32_t tokens,
                                  std::uint32_t layer_count) const noexcept;
  /// Takes and gives back memory of requests, in tokens times layers.
  void ReserveRequestMemory(std::uint32_t tokens,
                            std::uint32_t layer_count) noexcept;
  void ReleaseRequestMemory(std::uint32_t tokens,
                            std::uint32_t layer_count) noexcept;
  [[nodiscard]] bool is_over_memory() const noexcept;
  /// Memory of requests, and how much of it is taken, in MB.
  [[nodiscard]] double request_memory_mb() const noexcept;
  [[nodiscard]] double used_request_memory_mb() const noexcept;

  /// Adds work for a coming pass.
  void AddWork(WorkItem item);

  /// Reserves memory for a new range; the layers held before and after stay in
  /// use meanwhile.
  ///
  /// \returns layers that are to be loaded; 0 when none.
  std::uint32_t BeginLoad(LayerRange layers) noexcept;
  /// The range of the last `BeginLoad` is loaded.
  void EndLoad() noexcept { accelerator_.layers = ordered_layers_; }
  [[nodiscard]] LayerRange ordered_layers() const noexcept {
    return ordered_layers_;
  }

  /// Loses all work, memory and layers.
  void Crash() noexcept;
  /// Starts again, empty.
  void Restart() noexcept { is_alive_ = true; }
  /// Counts crashes: what was begun before one is void.
  [[nodiscard]] std::uint32_t incarnation() const noexcept {
    return incarnation_;
  }
  /// Multiplies all times; 1 is the normal speed.
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
  std::uint64_t token_layers_ = 0;
  std::vector<WorkItem> decode_work_;
  std::deque<WorkItem> prefill_work_;
};

}  // namespace sycamoreford::model
