// Throughput as a share of the max-flow bound at rising load and beyond it.
// Prints lines `throughput choice=… load=… share=mean [least..greatest]`.
#include <cstdlib>

#include "support/world.h"

namespace sycamoreford::bench {
namespace {

const std::vector<StageSpec> kStages = {
    {"a0", {0, 4}, 160}, {"a1", {4, 12}, 120}, {"b0", {0, 6}, 100},
    {"b1", {6, 12}, 60}, {"b2", {6, 12}, 40},  {"c", {0, 12}, 50},
};
constexpr std::uint32_t kDaemons = 3;
constexpr std::uint32_t kSlots = 12;

void Main(int runs) {
  std::map<std::pair<Choice, double>, Series> shares;
  const std::vector<double> loads = {0.5, 0.9, 1.2, 1.5};
  const std::vector<Choice> choices = {Choice::kProduct, Choice::kRoundRobin,
                                       Choice::kRandom, Choice::kLeastReported};
  for (int number = 0; number < runs; ++number) {
    for (const Choice choice : choices) {
      World world(kStages, {"all"}, kDaemons, kSlots);
      for (const double load : loads) {
        Load wanted;
        wanted.choice = choice;
        wanted.seed = static_cast<std::uint64_t>(number) + 1;
        wanted.length = std::chrono::milliseconds(load > 1.3 ? 6'000 : 3'000);
        wanted.customers = {{"all", load * world.bound() / wanted.tokens}};
        const Figures figures = world.Run(wanted);
        const double share = figures.GoodTokensPerSecond() / world.bound();
        shares[{choice, load}].Add(share);
        const CustomerFigures& seen = figures.customers.at("all");
        std::fprintf(stderr,
                     "run=%d choice=%s load=%.2f share=%.3f offered=%u "
                     "good=%u refused=%u failed=%u first_token_p50=%.3f "
                     "between_p50=%.4f\n",
                     number, NameOf(choice), load, share, seen.offered,
                     seen.good, seen.refused, seen.failed,
                     seen.first_token.Quantile(0.5),
                     seen.between_tokens.Quantile(0.5));
      }
    }
  }
  for (const auto& [key, share] : shares) {
    std::printf("throughput choice=%s load=%.2f share=%s runs=%zu\n",
                NameOf(key.first), key.second, share.Text().c_str(),
                share.size());
  }
  for (const Choice choice : choices) {
    double peak = 0;
    for (const double load : loads) {
      peak = std::max(peak, shares.at({choice, load}).Mean());
    }
    std::printf("throughput choice=%s peak=%.3f at_1.5_of_peak=%.3f\n",
                NameOf(choice), peak,
                shares.at({choice, loads.back()}).Mean() / peak);
  }
}

}  // namespace
}  // namespace sycamoreford::bench

int main(int count, char** arguments) {
  sycamoreford::bench::Main(count > 1 ? std::atoi(arguments[1]) : 3);
}
