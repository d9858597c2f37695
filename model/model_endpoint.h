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
  std::uint32_t read_tokens = 0;
};

/// An accelerator that processes waiting work in passes, with memory for layers
/// and for the tokens of requests.
///
/// Thread safety: none.
class ModelEndpoint {
 public:
  /// \param on_pass is called with the work of each pass at its end.
  /// Precondition: all references outlive this object.
  ModelEndpoint(Accelerator card,
                const EngineProfile& profile,
                const EngineCosts& costs,
                EventQueue& queue,
                std::function<void(const std::vector<WorkItem>&)> on_pass);

  ModelEndpoint(const ModelEndpoint&) = delete;
  ModelEndpoint& operator=(const ModelEndpoint&) = delete;

  [[nodiscard]] const Accelerator& card() const noexcept { return card_; }
  [[nodiscard]] bool is_alive() const noexcept { return is_alive_; }
  /// Layers that a chain may use; those that are loaded.
  [[nodiscard]] LayerRange layers() const noexcept { return card_.layers; }

  /// Whether tokens of a request over `used` layers fit beside the others.
  [[nodiscard]] bool HasRoom(std::uint32_t tokens,
                             std::uint32_t used) const noexcept;
  /// Takes and gives back memory of requests, in tokens times layers.
  void Hold(std::uint32_t tokens, std::uint32_t used) noexcept;
  void Release(std::uint32_t tokens, std::uint32_t used) noexcept;
  [[nodiscard]] bool is_over_memory() const noexcept;
  /// Memory of requests, and how much of it is taken, in MB.
  [[nodiscard]] double request_memory_mb() const noexcept;
  [[nodiscard]] double taken_mb() const noexcept;

  /// Adds work for a coming pass.
  void Add(WorkItem item);

  /// Reserves memory for a new range; the layers held before and after stay in
  /// use meanwhile.
  ///
  /// \returns layers that are to be loaded; 0 when none.
  std::uint32_t BeginLoad(LayerRange layers) noexcept;
  /// The range of the last `BeginLoad` is loaded.
  void EndLoad() noexcept { card_.layers = ordered_; }
  [[nodiscard]] LayerRange ordered() const noexcept { return ordered_; }

  /// Loses all work, memory and layers.
  void Crash() noexcept;
  /// Starts again, empty.
  void Restart() noexcept { is_alive_ = true; }
  /// Counts crashes: what was begun before one is void.
  [[nodiscard]] std::uint32_t run() const noexcept { return run_; }
  /// Multiplies all times; 1 is the normal speed.
  void SetSlowness(double factor) noexcept { slowness_ = factor; }
  [[nodiscard]] double slowness() const noexcept { return slowness_; }

 private:
  void Begin();
  [[nodiscard]] Duration TimeOf(const std::vector<WorkItem>& pass) const;

  Accelerator card_;
  const EngineProfile& profile_;
  const EngineCosts& costs_;
  EventQueue& queue_;
  std::function<void(const std::vector<WorkItem>&)> on_pass_;
  LayerRange ordered_;
  bool is_alive_ = true;
  bool is_busy_ = false;
  std::uint32_t run_ = 0;
  double slowness_ = 1;
  std::uint64_t token_layers_ = 0;
  std::vector<WorkItem> writers_;
  std::deque<WorkItem> readers_;
};

}  // namespace sycamoreford::model
