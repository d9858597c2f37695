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

/// What is to be answered.
struct AnswerOrder {
  RequestId request;
  std::string model;
  v1::ModelVersion version;
  std::string adapter;
  v1::Pool pool;
  std::string messages;
  std::uint32_t max_tokens = 0;
  std::uint32_t priority = 0;
  TimePoint deadline{};
  /// The pool as of now, for attempts after the first; nothing when it no
  /// longer serves this version. May be empty.
  std::function<std::optional<v1::Pool>()> current_pool{};
  /// Plan of `pool` and `version`; without one each attempt works it out.
  std::shared_ptr<const PoolPlan> plan{};
  /// Wishes for the chains, but for what to avoid.
  ChainOptions wish{};
  /// Whether a further attempt over a chain may be made; `resumes` when tokens
  /// were delivered. Empty allows all.
  std::function<bool(const Chain& chain, bool resumes)> may_retry{};
};

}  // namespace sycamoreford
