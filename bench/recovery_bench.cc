// Time from a fault to the next token of streams in flight, against two
// baselines: starting over from the first token, and a fixed gap of 1 s.
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
constexpr double kRate = 2'000;
constexpr milliseconds kFaultAfter{2'000};

/// A stage with a thread of its own.
class StageThread {
 public:
  explicit StageThread(std::uint32_t first) {
    fakes::StageOptions options;
    options.first_layer = first;
    options.end_layer = first + kLayersPerStage;
    options.tokens_per_second = kRate;
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

enum class Way { kProduct, kFixedGap, kNoResume };
enum class Fault { kReset, kFreeze, kSlow, kDataCenter };

/// What the baselines do: fixed waits, the first stage blamed for silence.
asio::awaitable<bool> RunBaseline(HttpEngineClient& engine,
                                  EndpointTable& endpoints,
                                  const AnswerRequest& order,
                                  bool resumes,
                                  StreamSink& sink,
                                  std::uint32_t& attempts) {
  std::set<EndpointId> avoid;
  std::vector<std::string> tokens;
  for (attempts = 1; attempts <= 12; ++attempts) {
    auto chain = PlanChain(order.pool, order.version,
                           endpoints.Snapshot(SteadyClock().Now()), avoid);
    if (!chain) {
      avoid.clear();
      continue;
    }
    const ChainInFlightGuard hold(endpoints, *chain);
    if (!resumes) {
      tokens.clear();
    }
    GenerateRequest generate;
    generate.request_id = order.request_id;
    generate.attempt = Attempt(attempts);
    generate.model = order.model;
    generate.version = order.version.version();
    generate.layers = kLayers;
    generate.chain = *chain;
    generate.messages = order.messages;
    generate.delivered = tokens;
    generate.max_tokens = order.max_tokens;
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
  std::vector<double> all;
  std::size_t harmed = 0;
  std::size_t lost = 0;
  std::size_t wrong = 0;
};

/// Seconds from the fault until the stream is back: its next token, or for
/// slowness the first of five tokens near its old pace.
double Recovery(const StreamSink& sink, TimePoint fault, Fault kind) {
  std::size_t at = 0;
  while (at < sink.times.size() && sink.times[at] <= fault) {
    ++at;
  }
  if (kind == Fault::kSlow && at > 1) {
    const Duration pace =
        (sink.times[at - 1] - sink.times[0]) / static_cast<int>(at - 1);
    for (; at + 5 < sink.times.size(); ++at) {
      if (sink.times[at + 5] - sink.times[at] < 5 * 3 * pace) {
        break;
      }
    }
  }
  const TimePoint back =
      at < sink.times.size() ? sink.times[at] : fault + std::chrono::hours(1);
  return std::chrono::duration<double>(back - fault).count();
}

void Inflict(std::map<std::string, std::unique_ptr<StageThread>>& stages,
             Fault kind) {
  const auto set = [&](const std::string& name, StageFault fault) {
    stages.at(name)->Post([fault](FakeStage& at) { at.set_fault(fault); });
  };
  switch (kind) {
    case Fault::kReset:
      set("a0", StageFault::kCut);
      break;
    case Fault::kFreeze:
      set("a1", StageFault::kFreeze);
      break;
    case Fault::kSlow:
      stages.at("a1")->Post(
          [](FakeStage& at) { at.set_tokens_per_second(kRate / 10); });
      break;
    case Fault::kDataCenter:
      for (const char* name : {"a0", "a1", "a2"}) {
        set(name, StageFault::kFreeze);
      }
      break;
  }
}

void RunOnce(Way way, Fault kind, Outcomes& outcomes) {
  std::map<std::string, std::unique_ptr<StageThread>> stages;
  AnswerRequest order;
  order.model = "m";
  order.version.set_version("1");
  order.version.set_layers(kLayers);
  order.max_tokens = kTokens;
  order.deadline = SteadyClock().Now() + std::chrono::minutes(2);
  for (const std::string data_center : {"a", "b"}) {
    for (std::uint32_t i = 0; i < kStages; ++i) {
      const std::string name = data_center + std::to_string(i);
      stages[name] = std::make_unique<StageThread>(i * kLayersPerStage);
      v1::Endpoint& endpoint = *order.pool.add_endpoints();
      endpoint.set_name(name);
      endpoint.set_data_center(data_center);
      endpoint.set_address(stages[name]->address());
      endpoint.set_first_layer(i * kLayersPerStage);
      endpoint.set_end_layer((i + 1) * kLayersPerStage);
      endpoint.set_tokens_per_second(kRate);
    }
  }
  asio::io_context context(1);
  HttpEngineClient engine(milliseconds(1'000));
  EndpointTable endpoints;
  SteadyClock clock;
  std::vector<StreamSink> sinks(kStreams);
  std::vector<std::uint32_t> attempts(kStreams);
  std::vector<char> whole(kStreams);
  const auto run = [&](std::size_t i) -> asio::awaitable<void> {
    AnswerRequest mine = order;
    mine.request_id = RequestId("r" + std::to_string(i));
    mine.messages = "[\"" + std::to_string(i) + "\"]";
    if (way == Way::kProduct) {
      const AnswerLimits limits;
      AnswerDriver driver(engine, endpoints, clock, limits);
      auto ended = co_await driver.Run(mine, sinks[i]);
      whole[i] = ended.has_value() ? 1 : 0;
      attempts[i] = driver.attempts();
    } else {
      const bool ended =
          co_await RunBaseline(engine, endpoints, mine, way == Way::kFixedGap,
                               sinks[i], attempts[i]);
      whole[i] = ended ? 1 : 0;
    }
  };
  for (std::size_t i = 0; i < kStreams; ++i) {
    asio::co_spawn(context, run(i), asio::detached);
  }
  std::thread clients([&] { context.run(); });
  std::this_thread::sleep_for(kFaultAfter);
  const TimePoint fault = clock.Now();
  Inflict(stages, kind);
  clients.join();
  for (std::size_t i = 0; i < kStreams; ++i) {
    outcomes.all.push_back(Recovery(sinks[i], fault, kind));
    outcomes.harmed += attempts[i] > 1 ? 1 : 0;
    outcomes.lost += whole[i] != 0 ? 0 : 1;
    const auto expected = fakes::FakeModel::Answer(
        "[\"" + std::to_string(i) + "\"]", kLayers, kTokens);
    const bool is_prefix = sinks[i].tokens.size() <= expected.size() &&
                           std::equal(sinks[i].tokens.begin(),
                                      sinks[i].tokens.end(), expected.begin());
    outcomes.wrong +=
        is_prefix && (whole[i] == 0 || sinks[i].tokens.size() == kTokens) ? 0
                                                                          : 1;
  }
}

double Percentile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  const auto at =
      static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
  return values[at];
}

}  // namespace
}  // namespace sycamoreford

int main(int argc, char** argv) {
  using namespace sycamoreford;  // NOLINT
  InitLogging(Severity::kError);
  const int runs = argc > 1 ? std::atoi(argv[1]) : 3;
  const std::map<std::string, Fault> faults = {
      {"reset", Fault::kReset},
      {"freeze", Fault::kFreeze},
      {"slow", Fault::kSlow},
      {"data_center", Fault::kDataCenter}};
  const std::vector<std::pair<std::string, Way>> ways = {
      {"product", Way::kProduct},
      {"fixed_gap_1s", Way::kFixedGap},
      {"no_resume", Way::kNoResume}};
  std::printf("%zu streams of %u tokens, %d runs; seconds from the fault\n",
              kStreams, kTokens, runs);
  for (const auto& [name, kind] : faults) {
    double product = 0;
    for (const auto& [way_name, way] : ways) {
      Outcomes all;
      double least = 1e9;
      double most = 0;
      for (int i = 0; i < runs; ++i) {
        Outcomes one;
        RunOnce(way, kind, one);
        const double p99 = Percentile(one.all, 0.99);
        least = std::min(least, p99);
        most = std::max(most, p99);
        all.all.insert(all.all.end(), one.all.begin(), one.all.end());
        all.harmed += one.harmed;
        all.lost += one.lost;
        all.wrong += one.wrong;
      }
      const double p99 = Percentile(all.all, 0.99);
      product = way == Way::kProduct ? p99 : product;
      std::printf(
          "fault=%s way=%s p50=%.3f p99=%.3f p99_of_runs=%.3f..%.3f "
          "max=%.3f ratio_p99=%.2f moved=%zu lost=%zu doubled_or_wrong=%zu\n",
          name.c_str(), way_name.c_str(), Percentile(all.all, 0.5), p99, least,
          most, Percentile(all.all, 1), p99 / product, all.harmed, all.lost,
          all.wrong);
      std::fflush(stdout);
    }
  }
  return 0;
}
