// A stage that falls to a tenth of its speed, and stages that refuse: goodput
// and attempts. Prints lines `overload case=… choice=…`.
#include <cstdlib>

#include "support/world.h"

namespace sycamoreford::bench {
namespace {

const std::vector<StageSpec> kStages = {{"a0", {0, 6}, 120},
                                        {"a1", {6, 12}, 120},
                                        {"b0", {0, 6}, 120},
                                        {"b1", {6, 12}, 120},
                                        {"c", {0, 12}, 80}};
constexpr std::uint32_t kDaemons = 3;
constexpr std::uint32_t kSlots = 12;

struct Case {
  const char* name;
  /// Part of the bound that is left by the fault.
  double left;
  std::function<void(World&)> strike;
};

void Main(int runs) {
  const std::vector<Case> cases = {
      {"slow_stage", 0.6625, [](World& world) { world.SetSpeed("b1", 12); }},
      {"refusing_stages", 0.625,
       [](World& world) { world.SetFault("b0", fakes::StageFault::kRefuse); }},
  };
  for (const Case& each : cases) {
    for (const Choice choice :
         {Choice::kProduct, Choice::kNoRetryBudget, Choice::kRoundRobin,
          Choice::kRandom, Choice::kLeastReported}) {
      Series share;
      Series attempts;
      for (int number = 0; number < runs; ++number) {
        World world(kStages, {"all"}, kDaemons, kSlots);
        Load load;
        load.choice = choice;
        load.seed = static_cast<std::uint64_t>(number) + 1;
        load.length = std::chrono::seconds(1);
        load.customers = {{"all", 0.5 * world.bound() / load.tokens}};
        (void)world.Run(load);
        each.strike(world);
        load.length = std::chrono::seconds(6);
        const Figures figures = world.Run(load);
        share.Add(figures.GoodTokensPerSecond() / (0.5 * world.bound()));
        attempts.Add(figures.AttemptsPerRequest());
      }
      std::printf(
          "overload case=%s choice=%s load=0.5 bound_left=%.3f "
          "served=%s attempts=%s\n",
          each.name, NameOf(choice), each.left, share.Text().c_str(),
          attempts.Text().c_str());
    }
  }
}

}  // namespace
}  // namespace sycamoreford::bench

int main(int count, char** arguments) {
  sycamoreford::bench::Main(count > 1 ? std::atoi(arguments[1]) : 3);
}
