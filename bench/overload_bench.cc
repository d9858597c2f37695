// Goodput and attempts per request when one stage slows down to a tenth of its
// speed, and when one stage refuses all requests. Prints lines `overload case=…
// choice=…`.
#include <cstdlib>

#include "support/bench_cluster.h"

namespace sycamoreford::bench {
namespace {

const std::vector<StageSpec> kStages = {{"a0", {0, 6}, 120},
                                        {"a1", {6, 12}, 120},
                                        {"b0", {0, 6}, 120},
                                        {"b1", {6, 12}, 120},
                                        {"c", {0, 12}, 80}};
constexpr std::uint32_t kDaemons = 3;
constexpr std::uint32_t kSlots = 12;

struct Scenario {
  const char* name;
  /// Share of the maximum throughput that remains with the fault.
  double remaining_throughput;
  std::function<void(BenchCluster&)> inject_fault;
};

void Main(int runs) {
  const std::vector<Scenario> scenarios = {
      {"slow_stage", 0.6625,
       [](BenchCluster& cluster) { cluster.SetSpeed("b1", 12); }},
      {"refusing_stages", 0.625,
       [](BenchCluster& cluster) {
         cluster.SetFault("b0", fakes::StageFault::kRefuse);
       }},
  };
  for (const Scenario& scenario : scenarios) {
    for (const RoutingStrategy strategy :
         {RoutingStrategy::kProduct, RoutingStrategy::kNoRetryBudget,
          RoutingStrategy::kRoundRobin, RoutingStrategy::kRandom,
          RoutingStrategy::kLeastReported}) {
      Samples share;
      Samples attempts;
      for (int number = 0; number < runs; ++number) {
        BenchCluster cluster(kStages, {"all"}, kDaemons, kSlots);
        Workload workload;
        workload.strategy = strategy;
        workload.seed = static_cast<std::uint64_t>(number) + 1;
        workload.duration = std::chrono::seconds(1);
        workload.customers = {{"all", 0.5 * cluster.max_tokens_per_second() /
                                          workload.tokens_per_request}};
        (void)cluster.Run(workload);
        scenario.inject_fault(cluster);
        workload.duration = std::chrono::seconds(6);
        const RunStats stats = cluster.Run(workload);
        share.Add(stats.GoodTokensPerSecond() /
                  (0.5 * cluster.max_tokens_per_second()));
        attempts.Add(stats.AttemptsPerRequest());
      }
      std::printf(
          "overload case=%s choice=%s load=0.5 bound_left=%.3f "
          "served=%s attempts=%s\n",
          scenario.name, ToString(strategy), scenario.remaining_throughput,
          share.ToString().c_str(), attempts.ToString().c_str());
    }
  }
}

}  // namespace
}  // namespace sycamoreford::bench

int main(int count, char** arguments) {
  sycamoreford::bench::Main(count > 1 ? std::atoi(arguments[1]) : 3);
}
