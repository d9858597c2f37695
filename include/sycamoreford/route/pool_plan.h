#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sycamoreford/core/layer_range.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/route/fleet_position.h"
#include "sycamoreford/v1/config.pb.h"

namespace sycamoreford {

/// An endpoint as a possible stage of chains.
struct PlanStage {
  EndpointId endpoint;
  /// IP address and port.
  std::string address;
  LayerRange layers;
  /// Maximum rate, limited by the endpoint and its link to the next stage, in
  /// tokens per second.
  double rate = 0;
  /// Transfer time of one token over this link, in seconds; 0 for the last
  /// stage or if unknown.
  double link_seconds = 0;
  /// Its share of the maximum flow, in tokens per second; never 0.
  double weight = 0;
  /// Maximum number of concurrent requests.
  std::uint32_t slots = 0;
  /// Hash of the endpoint's name.
  std::uint64_t hash = 0;
};

/// Routing data computed in advance from a pool and a model version: the
/// maximum flow through stages and links, and the share of each endpoint.
/// Immutable; thread safe.
class PoolPlan {
 public:
  PoolPlan() = default;

  /// Computes the plan of one daemon.
  ///
  /// \param fleet position of the daemon, which determines the subset of a
  ///     large pool that it uses.
  [[nodiscard]] static PoolPlan Compute(const v1::Pool& pool,
                                        const v1::ModelVersion& version,
                                        const FleetPosition& fleet = {});

  /// Number of layers of the model version.
  [[nodiscard]] std::uint32_t layers() const noexcept { return layers_; }

  /// Possible stages, sorted by first layer.
  [[nodiscard]] const std::vector<PlanStage>& stages() const noexcept {
    return stages_;
  }

  /// Maximum rate of the whole pool, in generated tokens per second.
  [[nodiscard]] double max_tokens_per_second() const noexcept {
    return max_tokens_per_second_;
  }

  /// Mean time per token along the maximum flow without load, in seconds.
  [[nodiscard]] double token_seconds() const noexcept { return token_seconds_; }

  /// Maximum number of concurrent requests of the whole pool.
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
