#pragma once

#include <memory>
#include <set>

#include "sycamoreford/route/chain_planner.h"
#include "sycamoreford/stream/answer_request.h"

namespace sycamoreford {

/// Plans the chain of one attempt at a request; models `ChainSource`.
///
/// Uses the plan of the request if `pool` equals the pool of the request, and
/// computes a plan otherwise. Precondition: `request` and `loads` outlive this
/// object. Not thread safe.
template <LoadSource Loads>
class AttemptPlanner {
 public:
  AttemptPlanner(const AnswerRequest& request,
                 const v1::Pool& pool,
                 Attempt attempt,
                 const Loads& loads)
      : loads_(loads),
        plan_(IsPlannedFor(request, pool)
                  ? request.plan
                  : std::make_shared<const PoolPlan>(
                        PoolPlan::Compute(pool, request.version))),
        chain_options_(request.chain_options) {
    chain_options_.random += attempt.value();
  }

  [[nodiscard]] Result<Chain> operator()(
      const std::set<EndpointId>& avoid) const {
    ChainOptions options = chain_options_;
    options.avoid = avoid;
    return PlanChain(*plan_, loads_, options);
  }

 private:
  static bool IsPlannedFor(const AnswerRequest& request, const v1::Pool& pool) {
    return request.plan != nullptr &&
           (&pool == &request.pool ||
            pool.SerializeAsString() == request.pool.SerializeAsString());
  }

  const Loads& loads_;
  std::shared_ptr<const PoolPlan> plan_;
  ChainOptions chain_options_;
};

}  // namespace sycamoreford
