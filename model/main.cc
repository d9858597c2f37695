// Runs scenarios on simulated endpoints and compares placement policies.
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <tclap/CmdLine.h>

#include "run_scenario.h"
#include "sycamoreford/version.h"
#include "upper_bound.h"

namespace {

namespace model = sycamoreford::model;

constexpr int kExitUsage = 2;

struct Options {
  std::vector<std::string> files;
  std::vector<std::string> policies;
  std::vector<double> load_factors;
  /// Runs per row of the table.
  std::uint64_t seeds = 1;
  /// Number of random scenarios to run besides the files.
  std::uint64_t random_scenarios = 0;
};

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

Options ReadOptions(int argc, char** argv) {
  TCLAP::CmdLine command("Runs scenarios on simulated endpoints.", ' ',
                         sycamoreford::kVersion);
  TCLAP::ValueArg<std::string> policies(
      "", "policies", "comma-separated placement policies; default all", false,
      "", "names", command);
  TCLAP::ValueArg<std::string> loads(
      "", "loads", "comma-separated factors on the scenario's load", false, "1",
      "numbers", command);
  TCLAP::ValueArg<std::uint64_t> seeds("", "seeds", "runs for each row", false,
                                       1, "count", command);
  TCLAP::ValueArg<std::uint64_t> random_scenarios(
      "", "draw", "also runs random scenarios with seeds 1 to COUNT", false, 0,
      "count", command);
  TCLAP::UnlabeledMultiArg<std::string> files(
      "scenario", "JSON files with comments", false, "file", command);
  command.parse(argc, argv);
  Options options;
  options.files = files.getValue();
  options.policies = policies.getValue().empty() ? model::PolicyNames()
                                                 : Split(policies.getValue());
  for (const std::string& load : Split(loads.getValue())) {
    options.load_factors.push_back(std::stod(load));
  }
  options.seeds = seeds.getValue();
  options.random_scenarios = random_scenarios.getValue();
  return options;
}

/// Means over the runs of one row of the table.
struct ResultRow {
  double payoff = 0;
  double worst_windows = 0;
  double served = 0;
  double on_time = 0;
  double refused = 0;
  double broken = 0;
  /// Medians and 99th percentile over the served requests of each run.
  double first_event_ms = 0;
  double first_event_p99_ms = 0;
  double pause_ms = 0;
  double time_without_chain_ms = 0;
  double resumes = 0;
  double loads = 0;
  double preemptions = 0;
  double peak_memory_share = 0;

  void Add(const model::RunResult& result, double weight) {
    payoff += weight * result.payoff;
    worst_windows += weight * result.worst_windows;
    served += weight * result.served;
    on_time += weight * result.on_time;
    refused += weight * result.refused;
    broken += weight * result.broken;
    first_event_ms +=
        weight * static_cast<double>(result.first_event_median.count());
    first_event_p99_ms +=
        weight * static_cast<double>(result.first_event_p99.count());
    pause_ms += weight * static_cast<double>(result.pause_median.count());
    time_without_chain_ms +=
        weight * static_cast<double>(result.time_without_chain.count());
    resumes += weight * result.resumes;
    loads += weight * result.loads;
    preemptions += weight * result.preemptions;
    peak_memory_share += weight * result.peak_memory_share;
  }
};

void PrintHeader() {
  std::cout << std::left << std::setw(22) << "scenario" << std::setw(11)
            << "policy" << std::right << std::setw(6) << "load" << std::setw(7)
            << "bound" << std::setw(8) << "payoff" << std::setw(8) << "worst"
            << std::setw(8) << "served" << std::setw(8) << "ontime"
            << std::setw(9) << "refused" << std::setw(8) << "broken"
            << std::setw(7) << "first" << std::setw(7) << "p99" << std::setw(7)
            << "pause" << std::setw(9) << "nochain" << std::setw(9) << "resumes"
            << std::setw(7) << "loads" << std::setw(9) << "preempt"
            << std::setw(7) << "mem"
            << "\n";
}

void PrintRow(const model::Scenario& scenario,
              const std::string& policy,
              const ResultRow& row) {
  std::cout << std::left << std::setw(22) << scenario.name << std::setw(11)
            << policy << std::right << std::fixed << std::setprecision(0)
            << std::setw(6) << scenario.requests_per_second() << std::setw(7)
            << model::UpperBound(scenario) << std::setprecision(3)
            << std::setw(8) << row.payoff << std::setw(8) << row.worst_windows
            << std::setw(8) << row.served << std::setw(8) << row.on_time
            << std::setw(9) << row.refused << std::setw(8) << row.broken
            << std::setprecision(0) << std::setw(7) << row.first_event_ms
            << std::setw(7) << row.first_event_p99_ms << std::setw(7)
            << row.pause_ms << std::setw(9) << row.time_without_chain_ms
            << std::setw(9) << row.resumes << std::setw(7) << row.loads
            << std::setw(9) << row.preemptions << std::setprecision(2)
            << std::setw(7) << row.peak_memory_share << std::endl;
}

/// \returns whether all policies are known.
bool ComparePolicies(const model::Scenario& base, const Options& options) {
  for (const double load : options.load_factors) {
    model::Scenario scenario = base;
    for (model::DataCentreSpec& data_centre : scenario.data_centres) {
      data_centre.requests_per_second *= load;
    }
    for (const std::string& policy : options.policies) {
      ResultRow row;
      for (std::uint64_t seed = 1; seed <= options.seeds; ++seed) {
        const auto result = model::RunScenario(policy, scenario, seed);
        if (!result) {
          std::cerr << "policy \"" << policy << "\" does not exist\n";
          return false;
        }
        row.Add(*result, 1.0 / static_cast<double>(options.seeds));
      }
      PrintRow(scenario, policy, row);
    }
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const Options options = ReadOptions(argc, argv);
    PrintHeader();
    for (const std::string& file : options.files) {
      std::ifstream stream(file);
      std::ostringstream text;
      text << stream.rdbuf();
      const auto scenario = model::Scenario::Parse(text.str());
      if (!stream || !scenario) {
        std::cerr << file << ": "
                  << (stream ? scenario.error().where : "cannot be read")
                  << "\n";
        return kExitUsage;
      }
      if (!ComparePolicies(*scenario, options)) {
        return kExitUsage;
      }
    }
    for (std::uint64_t seed = 1; seed <= options.random_scenarios; ++seed) {
      if (!ComparePolicies(model::Scenario::GenerateRandom(seed), options)) {
        return kExitUsage;
      }
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kExitUsage;
  }
  return 0;
}
