// Tests that retries are limited per customer and per endpoint.
#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "sycamoreford/admission/retry_budget.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const EndpointId kEndpoint("e");

TEST_CASE("retries are charged to budgets") {
  RetryBudgets budgets;
  TimePoint now{seconds(100)};
  const auto spend_retries = [&](const std::string& customer,
                                 const std::string& endpoint,
                                 bool resumes = false) {
    int allowed = 0;
    while (allowed < 100 &&
           budgets.MayRetry(CustomerId(customer), {EndpointId(endpoint)},
                            resumes, now)) {
      ++allowed;
    }
    return allowed;
  };

  SECTION("each customer has its own budget") {
    REQUIRE(spend_retries("a", "x") == 10);
    REQUIRE(spend_retries("b", "y") == 10);
  }

  SECTION("an endpoint has one budget for all customers") {
    REQUIRE(spend_retries("a", "x") == 10);
    REQUIRE(spend_retries("b", "x") == 0);
  }

  SECTION("requests and time refill the budget") {
    spend_retries("a", "x");
    for (int i = 0; i < 10; ++i) {
      budgets.OnRequest(CustomerId("a"), now);
    }
    REQUIRE(spend_retries("a", "y") == 1);
    now += seconds(4);
    REQUIRE(spend_retries("a", "z") == 2);
  }

  SECTION("a resumed stream may overdraw the budget") {
    REQUIRE(spend_retries("a", "x", true) == 100);
    REQUIRE(spend_retries("a", "y") == 0);
    now += seconds(21);
    REQUIRE(spend_retries("a", "y") == 0);
    now += seconds(2);
    REQUIRE(spend_retries("a", "y") == 1);
  }
}

TEST_CASE("retries are bounded by requests and time") {
  const bool holds = rc::check([] {
    RetryBudgets budgets;
    const TimePoint start{seconds(100)};
    TimePoint now = start;
    int requests = 0;
    int retries = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000));
    for (const int step : steps) {
      if (step < 300) {
        budgets.OnRequest(CustomerId("a"), now);
        ++requests;
      } else if (step < 900) {
        retries +=
            budgets.MayRetry(CustomerId("a"), {kEndpoint}, false, now) ? 1 : 0;
      } else {
        now += milliseconds(step - 900);
      }
      const std::chrono::duration<double> elapsed = now - start;
      RC_ASSERT(retries <= 10 + 0.1 * requests + 0.5 * elapsed.count() + 1e-3);
    }
    now += std::chrono::minutes(5);
    budgets.OnRequest(CustomerId("b"), now);
    RC_ASSERT(budgets.size() == 0U);
  });
  REQUIRE(holds);
}

}  // namespace
}  // namespace sycamoreford
