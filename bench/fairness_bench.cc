// Fairness at about twice the maximum throughput: served share and token
// latencies of one large customer and nine small ones. Prints lines `fairness
// choice=… customer=…`.
#include <cstdlib>

#include "support/bench_cluster.h"

namespace sycamoreford::bench {
namespace {

const std::vector<StageSpec> kStages = {{"a0", {0, 6}, 150},
                                        {"a1", {6, 12}, 150},
                                        {"b", {0, 12}, 100}};
constexpr std::uint32_t kDaemons = 3;
constexpr std::uint32_t kSlots = 12;
constexpr int kSmallCustomers = 9;
/// Demand of a customer as a share of the maximum throughput.
constexpr double kLargeDemand = 1.6;
constexpr double kSmallDemand = 0.05;

void Print(RoutingStrategy strategy,
           const std::string& name,
           const CustomerStats& customer) {
  std::printf(
      "fairness choice=%s customer=%s offered=%u good=%u refused=%u failed=%u "
      "first_token_p50=%.3f first_token_p99=%.3f between_p50=%.4f "
      "between_p99=%.4f refusal_p99=%.3f\n",
      ToString(strategy), name.c_str(), customer.offered, customer.good,
      customer.refused, customer.failed, customer.first_token.Quantile(0.5),
      customer.first_token.Quantile(0.99),
      customer.between_tokens.Quantile(0.5),
      customer.between_tokens.Quantile(0.99), customer.refusal.Quantile(0.99));
}

void Main(int runs) {
  for (const RoutingStrategy strategy :
       {RoutingStrategy::kProduct, RoutingStrategy::kRoundRobin}) {
    Samples mean_shares;
    Samples min_shares;
    for (int number = 0; number < runs; ++number) {
      std::vector<std::string> names = {"large"};
      for (int i = 1; i <= kSmallCustomers; ++i) {
        names.push_back("small" + std::to_string(i));
      }
      BenchCluster cluster(kStages, names, kDaemons, kSlots);
      Workload workload;
      workload.strategy = strategy;
      workload.seed = static_cast<std::uint64_t>(number) + 1;
      workload.duration = std::chrono::seconds(6);
      for (const std::string& name : names) {
        const double share = name == "large" ? kLargeDemand : kSmallDemand;
        workload.customers.push_back(
            {name, share * cluster.max_tokens_per_second() /
                       workload.tokens_per_request});
      }
      const RunStats stats = cluster.Run(workload);
      double min_share = 1;
      double mean_share = 0;
      for (const auto& [name, customer] : stats.customers) {
        // Not computed from `offered`, which includes the requests of the
        // ramp-up; `good_tokens` does not.
        const double demanded_tokens =
            kSmallDemand * cluster.max_tokens_per_second() * stats.seconds;
        if (name != "large") {
          const double share =
              static_cast<double>(customer.good_tokens) / demanded_tokens;
          min_share = std::min(min_share, share);
          mean_share += share / kSmallCustomers;
        }
        if (number == 0) {
          Print(strategy, name, customer);
        }
      }
      mean_shares.Add(mean_share);
      min_shares.Add(min_share);
    }
    std::printf(
        "fairness choice=%s small_served=%s least_served_small=%s runs=%d\n",
        ToString(strategy), mean_shares.ToString().c_str(),
        min_shares.ToString().c_str(), runs);
  }
}

}  // namespace
}  // namespace sycamoreford::bench

int main(int count, char** arguments) {
  sycamoreford::bench::Main(count > 1 ? std::atoi(arguments[1]) : 3);
}
