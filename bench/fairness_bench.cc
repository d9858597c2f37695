// One large customer against nine small ones at twice the bound, and the
// token times of each. Prints lines `fairness choice=… customer=…`.
#include <cstdlib>

#include "support/world.h"

namespace sycamoreford::bench {
namespace {

const std::vector<StageSpec> kStages = {{"a0", {0, 6}, 150},
                                        {"a1", {6, 12}, 150},
                                        {"b", {0, 12}, 100}};
constexpr std::uint32_t kDaemons = 3;
constexpr std::uint32_t kSlots = 12;
constexpr int kSmall = 9;
/// Parts of the bound that customers ask for.
constexpr double kLargeDemand = 1.6;
constexpr double kSmallDemand = 0.05;

void Print(Choice choice,
           const std::string& name,
           const CustomerFigures& seen) {
  std::printf(
      "fairness choice=%s customer=%s offered=%u good=%u refused=%u failed=%u "
      "first_token_p50=%.3f first_token_p99=%.3f between_p50=%.4f "
      "between_p99=%.4f refusal_p99=%.3f\n",
      NameOf(choice), name.c_str(), seen.offered, seen.good, seen.refused,
      seen.failed, seen.first_token.Quantile(0.5),
      seen.first_token.Quantile(0.99), seen.between_tokens.Quantile(0.5),
      seen.between_tokens.Quantile(0.99), seen.refusal.Quantile(0.99));
}

void Main(int runs) {
  for (const Choice choice : {Choice::kProduct, Choice::kRoundRobin}) {
    Series small_served;
    Series least_served;
    for (int number = 0; number < runs; ++number) {
      std::vector<std::string> names = {"large"};
      for (int i = 1; i <= kSmall; ++i) {
        names.push_back("small" + std::to_string(i));
      }
      World world(kStages, names, kDaemons, kSlots);
      Load load;
      load.choice = choice;
      load.seed = static_cast<std::uint64_t>(number) + 1;
      load.length = std::chrono::seconds(6);
      for (const std::string& name : names) {
        const double part = name == "large" ? kLargeDemand : kSmallDemand;
        load.customers.push_back({name, part * world.bound() / load.tokens});
      }
      const Figures figures = world.Run(load);
      double least = 1;
      double good = 0;
      for (const auto& [name, seen] : figures.customers) {
        // Requests of the ramp-up are offered but do not count as good.
        const double wanted = kSmallDemand * world.bound() * figures.seconds;
        if (name != "large") {
          const double part = static_cast<double>(seen.good_tokens) / wanted;
          least = std::min(least, part);
          good += part / kSmall;
        }
        if (number == 0) {
          Print(choice, name, seen);
        }
      }
      small_served.Add(good);
      least_served.Add(least);
    }
    std::printf(
        "fairness choice=%s small_served=%s least_served_small=%s runs=%d\n",
        NameOf(choice), small_served.Text().c_str(),
        least_served.Text().c_str(), runs);
  }
}

}  // namespace
}  // namespace sycamoreford::bench

int main(int count, char** arguments) {
  sycamoreford::bench::Main(count > 1 ? std::atoi(arguments[1]) : 3);
}
