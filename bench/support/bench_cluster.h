#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "fakes/fake_stage.h"
#include "support/samples.h"
#include "sycamoreford/adapters/entry_policy.h"
#include "sycamoreford/adapters/http_engine_client.h"

namespace sycamoreford::bench {

/// How requests find their chains.
enum class RoutingStrategy {
  /// The product: admission, flow plan, pace, retry budget.
  kProduct,
  /// The product but for the retry budget.
  kNoRetryBudget,
  /// Baselines without admission.
  kRoundRobin,
  kRandom,
  kLeastReported,
};

[[nodiscard]] const char* ToString(RoutingStrategy strategy);

/// A stage of the world.
struct StageSpec {
  std::string name;
  LayerRange layers;
  double tokens_per_second = 0;
};

/// A customer of the world and its load.
struct CustomerSpec {
  std::string name;
  /// Requests each second, at random times.
  double requests_per_second = 0;
};

/// What was seen of a customer's requests.
struct CustomerStats {
  std::uint32_t offered = 0;
  /// Answered whole within the deadline.
  std::uint32_t good = 0;
  std::uint32_t refused = 0;
  std::uint32_t failed = 0;
  std::uint32_t attempts = 0;
  std::uint64_t good_tokens = 0;
  Samples first_token;
  Samples between_tokens;
  /// Time to a refusal.
  Samples refusal;
};

/// What was seen in a run.
struct RunStats {
  std::map<std::string, CustomerStats> customers;
  double seconds = 0;

  [[nodiscard]] double GoodTokensPerSecond() const;
  [[nodiscard]] double AttemptsPerRequest() const;
};

/// A load on the world.
struct Workload {
  std::vector<CustomerSpec> customers;
  RoutingStrategy strategy = RoutingStrategy::kProduct;
  std::chrono::milliseconds duration{4'000};
  std::uint32_t tokens_per_request = 16;
  std::chrono::milliseconds request_timeout{2'000};
  std::uint64_t seed = 1;
};

/// A few stages with set speeds behind real sockets, and entry daemons' real
/// decisions in this process. Each daemon sees its part of the requests only.
class BenchCluster {
 public:
  BenchCluster(const std::vector<StageSpec>& stages,
               const std::vector<std::string>& customers,
               std::uint32_t daemons,
               std::uint32_t slots);
  ~BenchCluster();

  /// Most tokens each second.
  [[nodiscard]] double max_tokens_per_second() const {
    return max_tokens_per_second_;
  }

  /// Runs a load to the end of its last request.
  [[nodiscard]] RunStats Run(const Workload& workload);

  /// Sets a stage's real speed, which the configuration does not tell.
  void SetSpeed(const std::string& stage, double tokens_per_second);
  void SetFault(const std::string& stage, fakes::StageFault fault);

 private:
  struct Daemon {
    EndpointTable endpoints;
    EntryPolicy policy{endpoints};
  };
  struct Stage {
    boost::asio::io_context context;
    std::unique_ptr<fakes::FakeStage> server;
    std::jthread thread;
  };
  struct RunState;

  void Configure(const std::vector<StageSpec>& stages,
                 const std::vector<std::string>& customers,
                 std::uint32_t slots);
  void EnumerateChains(std::uint32_t next_layer, v1::Pool& chain);
  [[nodiscard]] const v1::Pool& ChooseChain(RunState& run);
  boost::asio::awaitable<void> GenerateArrivals(RunState& run,
                                                CustomerSpec customer);
  boost::asio::awaitable<void> SendRequest(RunState& run, std::string customer);
  boost::asio::awaitable<void> RefreshReports(RunState& run);

  std::map<std::string, std::unique_ptr<Stage>> stages_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  ConfigurationPtr config_;
  std::vector<v1::Pool> chains_;
  double max_tokens_per_second_ = 0;
  HttpEngineClient engine_client_{std::chrono::seconds(1)};
  SteadyClock clock_;
  std::uint64_t next_request_id_ = 1;
};

}  // namespace sycamoreford::bench
