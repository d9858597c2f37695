// Goodput as a share of the maximum throughput (maximum flow through the
// stages), for loads below and above it. Prints lines
// `throughput choice=… load=… share=mean [min..max]`.
#include <cstdlib>

#include "support/bench_cluster.h"

namespace sycamoreford::bench {
namespace {

const std::vector<StageSpec> kStages = {
    {"a0", {0, 4}, 160}, {"a1", {4, 12}, 120}, {"b0", {0, 6}, 100},
    {"b1", {6, 12}, 60}, {"b2", {6, 12}, 40},  {"c", {0, 12}, 50},
};
constexpr std::uint32_t kDaemons = 3;
constexpr std::uint32_t kSlots = 12;

void Main(int runs) {
  std::map<std::pair<RoutingStrategy, double>, Samples> shares;
  const std::vector<double> loads = {0.5, 0.9, 1.2, 1.5};
  const std::vector<RoutingStrategy> strategies = {
      RoutingStrategy::kProduct, RoutingStrategy::kRoundRobin,
      RoutingStrategy::kRandom, RoutingStrategy::kLeastReported};
  for (int number = 0; number < runs; ++number) {
    for (const RoutingStrategy strategy : strategies) {
      BenchCluster cluster(kStages, {"all"}, kDaemons, kSlots);
      for (const double load : loads) {
        Workload workload;
        workload.strategy = strategy;
        workload.seed = static_cast<std::uint64_t>(number) + 1;
        workload.duration =
            std::chrono::milliseconds(load > 1.3 ? 6'000 : 3'000);
        workload.customers = {{"all", load * cluster.max_tokens_per_second() /
                                          workload.tokens_per_request}};
        const RunStats stats = cluster.Run(workload);
        const double share =
            stats.GoodTokensPerSecond() / cluster.max_tokens_per_second();
        shares[{strategy, load}].Add(share);
        const CustomerStats& customer = stats.customers.at("all");
        std::fprintf(stderr,
                     "run=%d choice=%s load=%.2f share=%.3f offered=%u "
                     "good=%u refused=%u failed=%u first_token_p50=%.3f "
                     "between_p50=%.4f\n",
                     number, ToString(strategy), load, share, customer.offered,
                     customer.good, customer.refused, customer.failed,
                     customer.first_token.Quantile(0.5),
                     customer.between_tokens.Quantile(0.5));
      }
    }
  }
  for (const auto& [key, share] : shares) {
    std::printf("throughput choice=%s load=%.2f share=%s runs=%zu\n",
                ToString(key.first), key.second, share.ToString().c_str(),
                share.size());
  }
  for (const RoutingStrategy strategy : strategies) {
    double peak = 0;
    for (const double load : loads) {
      peak = std::max(peak, shares.at({strategy, load}).Mean());
    }
    std::printf("throughput choice=%s peak=%.3f at_1.5_of_peak=%.3f\n",
                ToString(strategy), peak,
                shares.at({strategy, loads.back()}).Mean() / peak);
  }
}

}  // namespace
}  // namespace sycamoreford::bench

int main(int count, char** arguments) {
  sycamoreford::bench::Main(count > 1 ? std::atoi(arguments[1]) : 3);
}
