// Time from a fault to the next token of the streams in flight, compared with
// two baselines with a fixed timeout of 1 s between tokens: one resumes at the
// last token, the other restarts the answer from its first token.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "fakes/fake_model.h"
#include "fakes/fake_stage.h"
#include "sycamoreford/adapters/http_engine_client.h"
#include "sycamoreford/core/log.h"
#include "sycamoreford/stream/answer_driver.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using fakes::FakeStage;
using fakes::StageFault;
using std::chrono::milliseconds;

constexpr std::uint32_t kStages = 3;
constexpr std::uint32_t kLayersPerStage = 4;
constexpr std::uint32_t kLayers = kStages * kLayersPerStage;
constexpr std::uint32_t kTokens = 200;
constexpr std::size_t kStreams = 100;
constexpr double kTokensPerSecond = 2'000;
constexpr milliseconds kFaultAfter{2'000};

/// A fake stage that runs on its own thread.
class StageThread {
 public:
  explicit StageThread(std::uint32_t first_layer) {
    fakes::StageOptions options;
    options.first_layer = first_layer;
    options.end_layer = first_layer + kLayersPerStage;
    options.tokens_per_second = kTokensPerSecond;
    stage_ = std::make_unique<FakeStage>(context_, options);
    address_ = stage_->address();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~StageThread() {
    context_.stop();
    thread_.join();
  }
  void Post(const std::function<void(FakeStage&)>& change) {
    asio::post(context_, [this, change] { change(*stage_); });
  }
  [[nodiscard]] const std::string& address() const { return address_; }

 private:
  asio::io_context context_{1};
  std::unique_ptr<FakeStage> stage_;
  std::string address_;
  std::thread thread_;
};

struct StreamSink {
  std::vector<std::string> tokens;
  std::vector<TimePoint> times;
  asio::awaitable<void> OnToken(const std::string& text) {
    tokens.push_back(text);
    times.push_back(std::chrono::steady_clock::now());
    co_return;
  }
};

enum class RecoveryStrategy {
  kProduct,
  /// Baseline that resumes at the last token.
  kFixedTimeout,
  /// Baseline that restarts the answer.
  kNoResume
};
enum class Fault { kDropConnection, kFreeze, kSlow, kDataCentre };

/// Runs a request as the baselines do: with fixed timeouts, and avoiding all
/// stages of each failed chain.
asio::awaitable<bool> RunBaseline(HttpEngineClient& engine,
                                  EndpointTable& endpoints,
                                  const AnswerRequest& request,
                                  bool resumes,
                                  StreamSink& sink,
                                  std::uint32_t& attempts) {
  std::set<EndpointId> avoid;
  std::vector<std::string> tokens;
  for (attempts = 1; attempts <= 12; ++attempts) {
    auto chain = PlanChain(request.pool, request.version,
                           endpoints.Snapshot(SteadyClock().Now()), avoid);
    if (!chain) {
      avoid.clear();
      continue;
    }
    const ChainInFlightGuard guard(endpoints, *chain);
    if (!resumes) {
      tokens.clear();
    }
    GenerateRequest generate;
    generate.request_id = request.request_id;
    generate.attempt = Attempt(attempts);
    generate.model = request.model;
    generate.version = request.version.version();
    generate.layers = kLayers;
    generate.chain = *chain;
    generate.messages = request.messages;
    generate.delivered = tokens;
    generate.max_tokens = request.max_tokens;
    auto stream = co_await engine.Open(generate, milliseconds(5'000));
    bool is_open = stream.has_value();
    while (is_open) {
      auto event = co_await stream->Next(milliseconds(1'000));
      if (!event) {
        break;
      }
      if (const auto* token = std::get_if<TokenEvent>(&*event)) {
        tokens.push_back(token->text);
        if (tokens.size() > sink.tokens.size()) {
          co_await sink.OnToken(token->text);
        }
        continue;
      }
      co_return true;
    }
    for (const ChainStage& stage : *chain) {
      avoid.insert(stage.endpoint);
    }
  }
  co_return false;
}

struct Outcomes {
  std::vector<double> recovery_seconds;
  /// Streams that needed more than one attempt.
  std::size_t moved = 0;
  /// Streams that ended without the complete answer.
  std::size_t lost = 0;
  /// Streams with a wrong, repeated or missing token.
  std::size_t wrong = 0;
};

/// Seconds from the fault until the stream has recovered: until its next token
/// or, for a slow stage, until the first token from which five gaps take less
/// than three times their mean time before the fault.
double RecoverySeconds(const StreamSink& sink, TimePoint fault_at, Fault kind) {
  std::size_t index = 0;
  while (index < sink.times.size() && sink.times[index] <= fault_at) {
    ++index;
  }
  if (kind == Fault::kSlow && index > 1) {
    const Duration mean_gap =
        (sink.times[index - 1] - sink.times[0]) / static_cast<int>(index - 1);
    for (; index + 5 < sink.times.size(); ++index) {
      if (sink.times[index + 5] - sink.times[index] < 5 * 3 * mean_gap) {
        break;
      }
    }
  }
  const TimePoint recovered_at = index < sink.times.size()
                                     ? sink.times[index]
                                     : fault_at + std::chrono::hours(1);
  return std::chrono::duration<double>(recovered_at - fault_at).count();
}

void InjectFault(std::map<std::string, std::unique_ptr<StageThread>>& stages,
                 Fault kind) {
  const auto set = [&](const std::string& name, StageFault fault) {
    stages.at(name)->Post(
        [fault](FakeStage& stage) { stage.set_fault(fault); });
  };
  switch (kind) {
    case Fault::kDropConnection:
      set("a0", StageFault::kDropConnection);
      break;
    case Fault::kFreeze:
      set("a1", StageFault::kFreeze);
      break;
    case Fault::kSlow:
      stages.at("a1")->Post([](FakeStage& stage) {
        stage.set_tokens_per_second(kTokensPerSecond / 10);
      });
      break;
    case Fault::kDataCentre:
      for (const char* name : {"a0", "a1", "a2"}) {
        set(name, StageFault::kFreeze);
      }
      break;
  }
}

void RunOnce(RecoveryStrategy strategy, Fault kind, Outcomes& outcomes) {
  std::map<std::string, std::unique_ptr<StageThread>> stages;
  AnswerRequest request;
  request.model = "m";
  request.version.set_version("1");
  request.version.set_layers(kLayers);
  request.max_tokens = kTokens;
  request.deadline = SteadyClock().Now() + std::chrono::minutes(2);
  for (const std::string data_centre : {"a", "b"}) {
    for (std::uint32_t i = 0; i < kStages; ++i) {
      const std::string name = data_centre + std::to_string(i);
      stages[name] = std::make_unique<StageThread>(i * kLayersPerStage);
      v1::Endpoint& endpoint = *request.pool.add_endpoints();
      endpoint.set_name(name);
      endpoint.set_data_center(data_centre);
      endpoint.set_address(stages[name]->address());
      endpoint.set_first_layer(i * kLayersPerStage);
      endpoint.set_end_layer((i + 1) * kLayersPerStage);
      endpoint.set_tokens_per_second(kTokensPerSecond);
    }
  }
  asio::io_context context(1);
  HttpEngineClient engine(milliseconds(1'000));
  EndpointTable endpoints;
  SteadyClock clock;
  std::vector<StreamSink> sinks(kStreams);
  std::vector<std::uint32_t> attempts(kStreams);
  std::vector<char> completed(kStreams);
  const auto run = [&](std::size_t i) -> asio::awaitable<void> {
    AnswerRequest own_request = request;
    own_request.request_id = RequestId("r" + std::to_string(i));
    own_request.messages = "[\"" + std::to_string(i) + "\"]";
    if (strategy == RecoveryStrategy::kProduct) {
      const AnswerLimits limits;
      AnswerDriver driver(engine, endpoints, clock, limits);
      auto ended = co_await driver.Run(own_request, sinks[i]);
      completed[i] = ended.has_value() ? 1 : 0;
      attempts[i] = driver.attempts();
    } else {
      const bool ended = co_await RunBaseline(
          engine, endpoints, own_request,
          strategy == RecoveryStrategy::kFixedTimeout, sinks[i], attempts[i]);
      completed[i] = ended ? 1 : 0;
    }
  };
  for (std::size_t i = 0; i < kStreams; ++i) {
    asio::co_spawn(context, run(i), asio::detached);
  }
  std::thread clients([&] { context.run(); });
  std::this_thread::sleep_for(kFaultAfter);
  const TimePoint fault_at = clock.Now();
  InjectFault(stages, kind);
  clients.join();
  for (std::size_t i = 0; i < kStreams; ++i) {
    outcomes.recovery_seconds.push_back(
        RecoverySeconds(sinks[i], fault_at, kind));
    outcomes.moved += attempts[i] > 1 ? 1 : 0;
    outcomes.lost += completed[i] != 0 ? 0 : 1;
    const auto expected = fakes::FakeModel::GenerateTokens(
        "[\"" + std::to_string(i) + "\"]", kLayers, kTokens);
    const bool is_prefix = sinks[i].tokens.size() <= expected.size() &&
                           std::equal(sinks[i].tokens.begin(),
                                      sinks[i].tokens.end(), expected.begin());
    outcomes.wrong +=
        is_prefix && (completed[i] == 0 || sinks[i].tokens.size() == kTokens)
            ? 0
            : 1;
  }
}

double Quantile(std::vector<double> values, double fraction) {
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(
      fraction * static_cast<double>(values.size() - 1));
  return values[index];
}

}  // namespace
}  // namespace sycamoreford

int main(int argc, char** argv) {
  using namespace sycamoreford;  // NOLINT
  InitLogging(Severity::kError);
  const int runs = argc > 1 ? std::atoi(argv[1]) : 3;
  const std::map<std::string, Fault> faults = {
      {"reset", Fault::kDropConnection},
      {"freeze", Fault::kFreeze},
      {"slow", Fault::kSlow},
      {"data_center", Fault::kDataCentre}};
  const std::vector<std::pair<std::string, RecoveryStrategy>> strategies = {
      {"product", RecoveryStrategy::kProduct},
      {"fixed_gap_1s", RecoveryStrategy::kFixedTimeout},
      {"no_resume", RecoveryStrategy::kNoResume}};
  std::printf("%zu streams of %u tokens, %d runs; seconds from the fault\n",
              kStreams, kTokens, runs);
  for (const auto& [name, kind] : faults) {
    double product_p99 = 0;
    for (const auto& [strategy_name, strategy] : strategies) {
      Outcomes total;
      double min_p99 = 1e9;
      double max_p99 = 0;
      for (int i = 0; i < runs; ++i) {
        Outcomes run;
        RunOnce(strategy, kind, run);
        const double p99 = Quantile(run.recovery_seconds, 0.99);
        min_p99 = std::min(min_p99, p99);
        max_p99 = std::max(max_p99, p99);
        total.recovery_seconds.insert(total.recovery_seconds.end(),
                                      run.recovery_seconds.begin(),
                                      run.recovery_seconds.end());
        total.moved += run.moved;
        total.lost += run.lost;
        total.wrong += run.wrong;
      }
      const double p99 = Quantile(total.recovery_seconds, 0.99);
      product_p99 = strategy == RecoveryStrategy::kProduct ? p99 : product_p99;
      std::printf(
          "fault=%s way=%s p50=%.3f p99=%.3f p99_of_runs=%.3f..%.3f "
          "max=%.3f ratio_p99=%.2f moved=%zu lost=%zu doubled_or_wrong=%zu\n",
          name.c_str(), strategy_name.c_str(),
          Quantile(total.recovery_seconds, 0.5), p99, min_p99, max_p99,
          Quantile(total.recovery_seconds, 1), p99 / product_p99, total.moved,
          total.lost, total.wrong);
      std::fflush(stdout);
    }
  }
  return 0;
}
