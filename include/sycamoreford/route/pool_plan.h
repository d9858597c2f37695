#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sycamoreford/core/layer_range.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/route/fleet_position.h"
#include "sycamoreford/v1/config.pb.h"

namespace sycamoreford {

/// An endpoint as a step of chains.
struct PlanStage {
  EndpointId endpoint;
  /// IP address and port.
  std::string address;
  LayerRange layers;
  /// Tokens each second that it and its link can pass.
  double rate = 0;
  /// Time that a token takes on its link, in seconds.
  double link_seconds = 0;
  /// Its part of the greatest flow, in tokens each second; never 0.
  double weight = 0;
  /// Requests that it runs at once.
  std::uint32_t slots = 0;
  /// Hash of its name.
  std::uint64_t hash = 0;
};

/// What can be worked out of a pool and a model version before any request:
/// the greatest flow through stages and links, and each endpoint's part of it.
/// Immutable; thread safe.
class PoolPlan {
 public:
  PoolPlan() = default;

  /// Works out the plan that one daemon uses.
  ///
  /// \param fleet decides which part of a large pool this daemon uses.
  [[nodiscard]] static PoolPlan Compute(const v1::Pool& pool,
                                        const v1::ModelVersion& version,
                                        const FleetPosition& fleet = {});

  /// Layers of the model version.
  [[nodiscard]] std::uint32_t layers() const noexcept { return layers_; }

  /// Steps in the order of their first layer.
  [[nodiscard]] const std::vector<PlanStage>& stages() const noexcept {
    return stages_;
  }

  /// Most tokens each second that the whole pool can generate.
  [[nodiscard]] double max_tokens_per_second() const noexcept {
    return max_tokens_per_second_;
  }

  /// Mean time of a token without load, along the greatest flow, in seconds.
  [[nodiscard]] double token_seconds() const noexcept { return token_seconds_; }

  /// Most requests that the whole pool can run at once.
  [[nodiscard]] double max_concurrency() const noexcept {
    return max_concurrency_;
  }

 private:
  std::uint32_t layers_ = 0;
  double max_tokens_per_second_ = 0;
  double max_concurrency_ = 0;
  double token_seconds_ = 0;
  std::vector<PlanStage> stages_;
};

}  // namespace sycamoreford
