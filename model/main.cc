// Plays scenarios on the model of the endpoints and compares ways to place
// layers.
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <tclap/CmdLine.h>

#include "policies.h"
#include "sycamoreford/version.h"
#include "upper_bound.h"

namespace {

namespace model = sycamoreford::model;

constexpr int kExitUsage = 2;

struct Options {
  std::vector<std::string> files;
  std::vector<std::string> policies;
  std::vector<double> loads;
  std::uint64_t seeds = 1;
  std::uint64_t drawn = 0;
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
  TCLAP::CmdLine line("Plays scenarios on the model of the endpoints.", ' ',
                      sycamoreford::kVersion);
  TCLAP::ValueArg<std::string> policies(
      "", "policies", "ways to place layers, by commas; default all", false, "",
      "names", line);
  TCLAP::ValueArg<std::string> loads(
      "", "loads", "factors on the scenario's load, by commas", false, "1",
      "numbers", line);
  TCLAP::ValueArg<std::uint64_t> seeds("", "seeds", "days for each line", false,
                                       1, "count", line);
  TCLAP::ValueArg<std::uint64_t> drawn(
      "", "draw", "also plays scenarios drawn from seeds 1 to COUNT", false, 0,
      "count", line);
  TCLAP::UnlabeledMultiArg<std::string> files(
      "scenario", "JSON files with comments", false, "file", line);
  line.parse(argc, argv);
  Options options;
  options.files = files.getValue();
  options.policies = policies.getValue().empty() ? model::PolicyNames()
                                                 : Split(policies.getValue());
  for (const std::string& load : Split(loads.getValue())) {
    options.loads.push_back(std::stod(load));
  }
  options.seeds = seeds.getValue();
  options.drawn = drawn.getValue();
  return options;
}

/// Means over the days of one line of the table.
struct Line {
  double payoff = 0;
  double windows = 0;
  double served = 0;
  double on_time = 0;
  double refused = 0;
  double broken = 0;
  double first_event_ms = 0;
  double first_event_p99_ms = 0;
  double pause_ms = 0;
  double without_chain_ms = 0;
  double resumes = 0;
  double loads = 0;
  double preemptions = 0;
  double peak_memory = 0;

  void Add(const model::DayResult& day, double weight) {
    payoff += weight * day.payoff;
    windows += weight * day.worst_windows;
    served += weight * day.served;
    on_time += weight * day.on_time;
    refused += weight * day.refused;
    broken += weight * day.broken;
    first_event_ms +=
        weight * static_cast<double>(day.first_event_median.count());
    first_event_p99_ms +=
        weight * static_cast<double>(day.first_event_p99.count());
    pause_ms += weight * static_cast<double>(day.pause_median.count());
    without_chain_ms += weight * static_cast<double>(day.without_chain.count());
    resumes += weight * day.resumes;
    loads += weight * day.loads;
    preemptions += weight * day.preemptions;
    peak_memory += weight * day.peak_memory;
  }
};

void PrintHead() {
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

void PrintLine(const model::Scenario& scenario,
               const std::string& policy,
               const Line& line) {
  std::cout << std::left << std::setw(22) << scenario.name << std::setw(11)
            << policy << std::right << std::fixed << std::setprecision(0)
            << std::setw(6) << scenario.requests_per_second() << std::setw(7)
            << model::UpperBound(scenario) << std::setprecision(3)
            << std::setw(8) << line.payoff << std::setw(8) << line.windows
            << std::setw(8) << line.served << std::setw(8) << line.on_time
            << std::setw(9) << line.refused << std::setw(8) << line.broken
            << std::setprecision(0) << std::setw(7) << line.first_event_ms
            << std::setw(7) << line.first_event_p99_ms << std::setw(7)
            << line.pause_ms << std::setw(9) << line.without_chain_ms
            << std::setw(9) << line.resumes << std::setw(7) << line.loads
            << std::setw(9) << line.preemptions << std::setprecision(2)
            << std::setw(7) << line.peak_memory << std::endl;
}

/// \returns whether all policies are known.
bool Compare(const model::Scenario& given, const Options& options) {
  for (const double load : options.loads) {
    model::Scenario scenario = given;
    for (model::DataCentreSpec& data_centre : scenario.data_centres) {
      data_centre.requests_per_second *= load;
    }
    for (const std::string& policy : options.policies) {
      Line line;
      for (std::uint64_t seed = 1; seed <= options.seeds; ++seed) {
        const auto day = model::Play(policy, scenario, seed);
        if (!day) {
          std::cerr << "policy \"" << policy << "\" does not exist\n";
          return false;
        }
        line.Add(*day, 1.0 / static_cast<double>(options.seeds));
      }
      PrintLine(scenario, policy, line);
    }
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const Options options = ReadOptions(argc, argv);
    PrintHead();
    for (const std::string& file : options.files) {
      std::ifstream stream(file);
      std::ostringstream text;
      text << stream.rdbuf();
      const auto scenario = model::Scenario::Parse(text.str());
      if (!stream || !scenario) {
        std::cerr << file << ": "
                  << (stream ? scenario.error().where : "can not be read")
                  << "\n";
        return kExitUsage;
      }
      if (!Compare(*scenario, options)) {
        return kExitUsage;
      }
    }
    for (std::uint64_t seed = 1; seed <= options.drawn; ++seed) {
      if (!Compare(model::Scenario::Draw(seed), options)) {
        return kExitUsage;
      }
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kExitUsage;
  }
  return 0;
}
