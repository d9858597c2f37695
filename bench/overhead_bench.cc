// Latency that the router adds, compared with direct calls of the first stage;
// direct and routed calls alternate in one run.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include <boost/json.hpp>

#include "support/test_deployment.h"

namespace sycamoreford {
namespace {

namespace json = boost::json;
using support::Fetch;
using support::TestDeployment;

constexpr std::uint32_t kTokens = 8;

HttpRequest DirectRequest(TestDeployment& deployment, int number) {
  json::array chain;
  for (std::uint32_t i = 0; i < 3; ++i) {
    const std::string name = "a" + std::to_string(i);
    chain.push_back({{"address", deployment.stage(name).address},
                     {"first", i * 4},
                     {"end", (i + 1) * 4}});
  }
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/generate";
  request.body = json::serialize(
      json::object{{"request", "direct-" + std::to_string(number)},
                   {"attempt", 1},
                   {"model", "bell-llm"},
                   {"version", "7"},
                   {"adapter", ""},
                   {"layers", 12},
                   {"chain", chain},
                   {"messages", TestDeployment::ChatMessages("Ring")},
                   {"delivered", json::array()},
                   {"max_tokens", kTokens},
                   {"priority", 1}});
  return request;
}

double RequestMilliseconds(const std::string& address,
                           const HttpRequest& request) {
  const auto before = std::chrono::steady_clock::now();
  const auto answer = Fetch(address, request);
  const auto after = std::chrono::steady_clock::now();
  if (!answer || answer->status != 200) {
    std::fprintf(stderr, "a request failed\n");
    std::exit(1);
  }
  return std::chrono::duration<double, std::milli>(after - before).count();
}

double Quantile(std::vector<double> values, double fraction) {
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(
      fraction * static_cast<double>(values.size() - 1))];
}

}  // namespace
}  // namespace sycamoreford

int main(int argc, char** argv) {
  using namespace sycamoreford;  // NOLINT
  const int count = argc > 1 ? std::atoi(argv[1]) : 1'000;
  TestDeployment deployment({});
  std::vector<double> direct;
  std::vector<double> routed;
  for (int i = 0; i < count; ++i) {
    direct.push_back(RequestMilliseconds(deployment.stage("a0").address,
                                         DirectRequest(deployment, i)));
    routed.push_back(RequestMilliseconds(
        deployment.caller_address(0),
        TestDeployment::ChatRequest("Ring", kTokens, false)));
  }
  for (const double fraction : {0.5, 0.99}) {
    const double direct_ms = Quantile(direct, fraction);
    const double routed_ms = Quantile(routed, fraction);
    std::printf("p%.0f direct_ms=%.3f routed_ms=%.3f added_ms=%.3f\n",
                fraction * 100, direct_ms, routed_ms, routed_ms - direct_ms);
  }
  return 0;
}
