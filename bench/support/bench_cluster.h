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

/// How the chain of a request is chosen.
enum class RoutingStrategy {
  /// This router: admission, pool plan, latency ratios and retry budget.
  kProduct,
  /// This router without the retry budget.
  kNoRetryBudget,
  /// Baselines without admission.
  kRoundRobin,
  kRandom,
  /// The chain whose busiest stage had the fewest requests in flight at the
  /// last periodic report.
  kLeastReported,
};

[[nodiscard]] const char* ToString(RoutingStrategy strategy);

/// A stage of the cluster.
struct StageSpec {
  std::string name;
  LayerRange layers;
  double tokens_per_second = 0;
};

/// A customer of the cluster and its load.
struct CustomerSpec {
  std::string name;
  /// Mean rate of requests, which arrive at random times (Poisson process).
  double requests_per_second = 0;
};

/// Results of a customer's requests in one run; times in seconds.
struct CustomerStats {
  std::uint32_t offered = 0;
  /// Requests answered completely before their deadline, without those of the
  /// ramp-up.
  std::uint32_t good = 0;
  std::uint32_t refused = 0;
  std::uint32_t failed = 0;
  std::uint32_t attempts = 0;
  std::uint64_t good_tokens = 0;
  Samples first_token;
  Samples between_tokens;
  /// Time from arrival to refusal.
  Samples refusal;
};

/// Results of a run.
struct RunStats {
  std::map<std::string, CustomerStats> customers;
  double seconds = 0;

  [[nodiscard]] double GoodTokensPerSecond() const;
  [[nodiscard]] double AttemptsPerRequest() const;
};

/// The requests of a run.
struct Workload {
  std::vector<CustomerSpec> customers;
  RoutingStrategy strategy = RoutingStrategy::kProduct;
  std::chrono::milliseconds duration{4'000};
  std::uint32_t tokens_per_request = 16;
  std::chrono::milliseconds request_timeout{2'000};
  std::uint64_t seed = 1;
};

/// A cluster in one process: fake stages of given speeds, reached over TCP, and
/// the routing code of several entry daemons. Each daemon knows only of the
/// requests that it receives itself.
class BenchCluster {
 public:
  BenchCluster(const std::vector<StageSpec>& stages,
               const std::vector<std::string>& customers,
               std::uint32_t daemons,
               std::uint32_t slots);
  ~BenchCluster();

  /// Maximum throughput of the configured stages.
  [[nodiscard]] double max_tokens_per_second() const {
    return max_tokens_per_second_;
  }

  /// Sends the requests of a workload; returns when the last one has ended.
  [[nodiscard]] RunStats Run(const Workload& workload);

  /// Changes the actual speed of a stage but not its configured speed.
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
