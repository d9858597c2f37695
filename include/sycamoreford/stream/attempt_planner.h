#pragma once

#include <memory>
#include <set>

#include "sycamoreford/route/chain_planner.h"
#include "sycamoreford/stream/answer_order.h"

namespace sycamoreford {

/// Plans the chain of one attempt at an order; models `ChainSource`.
///
/// Uses the order's plan while the pool is still the order's, and works one out
/// otherwise. Precondition: `order` and `loads` outlive it. Thread safety:
/// none.
template <LoadSource Loads>
class AttemptPlanner {
 public:
  AttemptPlanner(const AnswerOrder& order,
                 const v1::Pool& pool,
                 Attempt attempt,
                 const Loads& loads)
      : loads_(loads),
        plan_(HasPlanOf(order, pool)
                  ? order.plan
                  : std::make_shared<const PoolPlan>(
                        PoolPlan::Compute(pool, order.version))),
        wish_(order.wish) {
    wish_.random += attempt.value();
  }

  [[nodiscard]] Result<Chain> operator()(
      const std::set<EndpointId>& avoid) const {
    ChainOptions wish = wish_;
    wish.avoid = avoid;
    return PlanChain(*plan_, loads_, wish);
  }

 private:
  static bool HasPlanOf(const AnswerOrder& order, const v1::Pool& pool) {
    return order.plan != nullptr &&
           (&pool == &order.pool ||
            pool.SerializeAsString() == order.pool.SerializeAsString());
  }

  const Loads& loads_;
  std::shared_ptr<const PoolPlan> plan_;
  ChainOptions wish_;
};

}  // namespace sycamoreford
