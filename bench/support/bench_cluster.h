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
#include "support/series.h"
#include "sycamoreford/adapters/entry_policy.h"
#include "sycamoreford/adapters/http_engine_client.h"

namespace sycamoreford::bench {

/// How requests find their chains.
enum class Choice {
  /// The product: admission, flow plan, pace, retry budget.
  kProduct,
  /// The product but for the retry budget.
  kNoRetryBudget,
  /// Baselines without admission.
  kRoundRobin,
  kRandom,
  kLeastReported,
};

[[nodiscard]] const char* NameOf(Choice choice);

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
struct CustomerFigures {
  std::uint32_t offered = 0;
  /// Answered whole within the deadline.
  std::uint32_t good = 0;
  std::uint32_t refused = 0;
  std::uint32_t failed = 0;
  std::uint32_t attempts = 0;
  std::uint64_t good_tokens = 0;
  Series first_token;
  Series between_tokens;
  /// Time to a refusal.
  Series refusal;
};

/// What was seen in a run.
struct Figures {
  std::map<std::string, CustomerFigures> customers;
  double seconds = 0;

  [[nodiscard]] double GoodTokensPerSecond() const;
  [[nodiscard]] double AttemptsPerRequest() const;
};

/// A load on the world.
struct Load {
  std::vector<CustomerSpec> customers;
  Choice choice = Choice::kProduct;
  std::chrono::milliseconds length{4'000};
  std::uint32_t tokens = 16;
  std::chrono::milliseconds deadline{2'000};
  std::uint64_t seed = 1;
};

/// A few stages with set speeds behind real sockets, and entry daemons' real
/// decisions in this process. Each daemon sees its part of the requests only.
class World {
 public:
  World(const std::vector<StageSpec>& stages,
        const std::vector<std::string>& customers,
        std::uint32_t daemons,
        std::uint32_t slots);
  ~World();

  /// Most tokens each second.
  [[nodiscard]] double bound() const { return bound_; }

  /// Runs a load to the end of its last request.
  [[nodiscard]] Figures Run(const Load& load);

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
    std::unique_ptr<fakes::FakeStage> stage;
    std::jthread thread;
  };
  struct RunState;

  void Configure(const std::vector<StageSpec>& stages,
                 const std::vector<std::string>& customers,
                 std::uint32_t slots);
  void FindCovers(std::uint32_t at, v1::Pool& chain);
  [[nodiscard]] const v1::Pool& ChooseCover(RunState& run);
  boost::asio::awaitable<void> Arrive(RunState& run, CustomerSpec customer);
  boost::asio::awaitable<void> Request(RunState& run, std::string customer);
  boost::asio::awaitable<void> RefreshReports(RunState& run);

  std::map<std::string, std::unique_ptr<Stage>> stages_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  ConfigurationPtr config_;
  std::vector<v1::Pool> covers_;
  double bound_ = 0;
  HttpEngineClient engines_{std::chrono::seconds(1)};
  SteadyClock clock_;
  std::uint64_t next_request_ = 1;
};

}  // namespace sycamoreford::bench
