#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "sycamoreford/core/clock.h"
#include "sycamoreford/core/strong_id.h"
#include "sycamoreford/route/chain_planner.h"

namespace sycamoreford {

/// A request for an answer of a model.
struct AnswerRequest {
  RequestId request_id;
  std::string model;
  v1::ModelVersion version;
  /// Name of the adapter applied to the answer; empty if there is none.
  std::string adapter;
  v1::Pool pool;
  /// The caller's messages, as JSON text.
  std::string messages;
  std::uint32_t max_tokens = 0;
  /// Lower values are served first.
  std::uint32_t priority = 0;
  TimePoint deadline{};
  /// Returns the current pool, for attempts after the first, or `nullopt` if
  /// the pool no longer serves this version. If the function is empty or
  /// returns `nullopt`, `pool` is used.
  std::function<std::optional<v1::Pool>()> current_pool{};
  /// Plan of `pool` and `version`; if null, each attempt computes one.
  std::shared_ptr<const PoolPlan> plan{};
  /// Options for planning chains; its `avoid` is ignored.
  ChainOptions chain_options{};
  /// Called once before each retry; returns whether the retry over `chain` is
  /// allowed. `resumes` is true if tokens were delivered. If the function is
  /// empty, all retries are allowed.
  std::function<bool(const Chain& chain, bool resumes)> may_retry{};
};

}  // namespace sycamoreford
