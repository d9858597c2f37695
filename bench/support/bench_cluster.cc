#include "support/bench_cluster.h"

#include <limits>
#include <stdexcept>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sycamoreford::bench {

namespace asio = boost::asio;
using Seconds = std::chrono::duration<double>;

namespace {

constexpr std::uint32_t kLayers = 12;
constexpr std::chrono::milliseconds kReportInterval{500};
constexpr std::chrono::milliseconds kMaxQueueTime{500};

double ToSeconds(Duration time) {
  return Seconds(time).count();
}

/// Records the times to the first token and between tokens of an answer.
class TimingSink {
 public:
  explicit TimingSink(CustomerStats& stats, TimePoint request_start)
      : stats_(stats), last_token_at_(request_start) {}

  asio::awaitable<void> OnToken(const std::string& /*text*/) {
    const TimePoint now = SteadyClock().Now();
    Samples& samples =
        tokens_ == 0 ? stats_.first_token : stats_.between_tokens;
    samples.Add(ToSeconds(now - last_token_at_));
    last_token_at_ = now;
    ++tokens_;
    co_return;
  }
  [[nodiscard]] std::uint32_t tokens() const { return tokens_; }

 private:
  CustomerStats& stats_;
  TimePoint last_token_at_;
  std::uint32_t tokens_ = 0;
};

}  // namespace

const char* ToString(RoutingStrategy strategy) {
  switch (strategy) {
    case RoutingStrategy::kProduct:
      return "product";
    case RoutingStrategy::kNoRetryBudget:
      return "no_retry_budget";
    case RoutingStrategy::kRoundRobin:
      return "round_robin";
    case RoutingStrategy::kRandom:
      return "random";
    case RoutingStrategy::kLeastReported:
      return "least_reported";
  }
  return "";
}

double RunStats::GoodTokensPerSecond() const {
  std::uint64_t tokens = 0;
  for (const auto& [name, customer] : customers) {
    tokens += customer.good_tokens;
  }
  return static_cast<double>(tokens) / seconds;
}

double RunStats::AttemptsPerRequest() const {
  double attempts = 0;
  double requests = 0;
  for (const auto& [name, customer] : customers) {
    attempts += customer.attempts;
    requests += customer.offered;
  }
  return attempts / requests;
}

struct BenchCluster::RunState {
  Workload workload;
  asio::io_context context;
  std::mt19937_64 random;
  RunStats stats;
  TimePoint ends_at{};
  /// End of the ramp-up; answers before it are not counted as good.
  TimePoint measuring_since{};
  std::uint64_t next_chain = 0;
  std::uint32_t open = 0;
  std::map<std::string, std::uint32_t> in_flight;
  std::map<std::string, std::uint32_t> reported_in_flight;
};

BenchCluster::BenchCluster(const std::vector<StageSpec>& stages,
                           const std::vector<std::string>& customers,
                           std::uint32_t daemons,
                           std::uint32_t slots) {
  for (const StageSpec& spec : stages) {
    auto stage = std::make_unique<Stage>();
    fakes::StageOptions options;
    options.first_layer = spec.layers.first;
    options.end_layer = spec.layers.end;
    options.tokens_per_second = spec.tokens_per_second;
    stage->server = std::make_unique<fakes::FakeStage>(stage->context, options);
    stage->thread = std::jthread([raw = stage.get()] {
      const auto guard = asio::make_work_guard(raw->context);
      raw->context.run();
    });
    stages_[spec.name] = std::move(stage);
  }
  Configure(stages, customers, slots);
  for (std::uint32_t i = 0; i < daemons; ++i) {
    daemons_.push_back(std::make_unique<Daemon>());
    daemons_.back()->policy.SetFleet({i, daemons});
  }
}

BenchCluster::~BenchCluster() {
  for (auto& [name, stage] : stages_) {
    stage->context.stop();
  }
}

void BenchCluster::Configure(const std::vector<StageSpec>& stages,
                             const std::vector<std::string>& customers,
                             std::uint32_t slots) {
  v1::Change change;
  change.set_revision(1);
  const auto add = [&](v1::Kind kind, const std::string& name) {
    v1::Edit* edit = change.add_edits();
    edit->set_verb(v1::Edit::VERB_CREATE);
    edit->set_kind(kind);
    edit->mutable_resource()->set_name(name);
    return edit->mutable_resource();
  };
  add(v1::KIND_PRIORITY, "usual")
      ->mutable_priority()
      ->set_max_queue_ms(kMaxQueueTime.count());
  v1::ModelVersion* version =
      add(v1::KIND_MODEL_VERSION, "m-1")->mutable_model_version();
  version->set_model("m");
  version->set_version("1");
  version->set_layers(kLayers);
  v1::Pool* pool = add(v1::KIND_POOL, "pool")->mutable_pool();
  for (const StageSpec& spec : stages) {
    v1::Endpoint* endpoint = pool->add_endpoints();
    endpoint->set_name(spec.name);
    endpoint->set_address(stages_.at(spec.name)->server->address());
    endpoint->set_first_layer(spec.layers.first);
    endpoint->set_end_layer(spec.layers.end);
    endpoint->set_tokens_per_second(spec.tokens_per_second);
    endpoint->set_slots(slots);
    endpoint->set_data_center("d");
  }
  v1::Route* route = add(v1::KIND_ROUTE, "m")->mutable_route();
  route->set_pool("pool");
  route->set_model_version("m-1");
  for (const std::string& name : customers) {
    v1::Customer* customer = add(v1::KIND_CUSTOMER, name)->mutable_customer();
    customer->set_priority("usual");
    customer->set_key_salt("salt");
    customer->set_key_sha256(HashSecret("salt", name));
  }
  auto config = Configuration().Apply(change);
  if (!config) {
    throw std::runtime_error(config.error().where);
  }
  config_ = std::make_shared<const Configuration>(*std::move(config));
  max_tokens_per_second_ =
      PoolPlan::Compute(*pool, *version).max_tokens_per_second();
  v1::Pool chain;
  EnumerateChains(0, chain);
}

void BenchCluster::EnumerateChains(std::uint32_t next_layer, v1::Pool& chain) {
  if (next_layer == kLayers) {
    chains_.push_back(chain);
    return;
  }
  const v1::Pool& pool = config_->Find(v1::KIND_POOL, "pool")->pool();
  for (const v1::Endpoint& endpoint : pool.endpoints()) {
    if (endpoint.first_layer() == next_layer) {
      *chain.add_endpoints() = endpoint;
      EnumerateChains(endpoint.end_layer(), chain);
      chain.mutable_endpoints()->RemoveLast();
    }
  }
}

const v1::Pool& BenchCluster::ChooseChain(RunState& run) {
  switch (run.workload.strategy) {
    case RoutingStrategy::kProduct:
    case RoutingStrategy::kNoRetryBudget:
    case RoutingStrategy::kRoundRobin:
      return chains_[run.next_chain++ % chains_.size()];
    case RoutingStrategy::kRandom:
      return chains_[run.random() % chains_.size()];
    case RoutingStrategy::kLeastReported:
      break;
  }
  const v1::Pool* best = nullptr;
  std::uint32_t lowest_max = std::numeric_limits<std::uint32_t>::max();
  for (const v1::Pool& chain : chains_) {
    std::uint32_t max_in_flight = 0;
    for (const v1::Endpoint& endpoint : chain.endpoints()) {
      max_in_flight =
          std::max(max_in_flight, run.reported_in_flight[endpoint.name()]);
    }
    if (max_in_flight < lowest_max) {
      lowest_max = max_in_flight;
      best = &chain;
    }
  }
  return *best;
}

asio::awaitable<void> BenchCluster::RefreshReports(RunState& run) {
  asio::steady_timer timer(run.context);
  while (clock_.Now() < run.ends_at) {
    run.reported_in_flight = run.in_flight;
    timer.expires_after(kReportInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> BenchCluster::SendRequest(RunState& run,
                                                std::string customer) {
  using namespace asio::experimental::awaitable_operators;  // NOLINT
  CustomerStats& stats = run.stats.customers[customer];
  Daemon& daemon = *daemons_[run.random() % daemons_.size()];
  const bool is_product =
      run.workload.strategy == RoutingStrategy::kProduct ||
      run.workload.strategy == RoutingStrategy::kNoRetryBudget;
  CallerRequest caller;
  caller.id = RequestId("r" + std::to_string(next_request_id_++));
  caller.customer = CustomerId(customer);
  caller.config = config_;
  caller.received_at = clock_.Now();
  caller.deadline = caller.received_at + run.workload.request_timeout;
  AnswerRequest request;
  request.request_id = caller.id;
  request.model = "m";
  request.version =
      config_->Find(v1::KIND_MODEL_VERSION, "m-1")->model_version();
  request.messages = "[" + caller.id.value() + "]";
  request.max_tokens = run.workload.tokens_per_request;
  request.deadline = caller.deadline;
  ++stats.offered;
  std::optional<AdmissionTicket> ticket;
  if (is_product) {
    auto admitted = co_await daemon.policy.AdmitAnswer(caller, "m", request);
    if (!admitted) {
      ++stats.refused;
      stats.refusal.Add(ToSeconds(clock_.Now() - caller.received_at));
      co_return;
    }
    ticket.emplace(std::move(*admitted));
    if (run.workload.strategy == RoutingStrategy::kNoRetryBudget) {
      request.may_retry = nullptr;
    }
  } else {
    request.pool = ChooseChain(run);
  }
  const AnswerLimits limits{
      .first_token_timeout = run.workload.request_timeout,
      .between_tokens_timeout = run.workload.request_timeout};
  EndpointTable unused_endpoints;
  AnswerDriver driver(engine_client_,
                      is_product ? daemon.endpoints : unused_endpoints, clock_,
                      limits);
  TimingSink sink(stats, caller.received_at);
  for (const v1::Endpoint& endpoint : request.pool.endpoints()) {
    ++run.in_flight[endpoint.name()];
  }
  // The caller disconnects at its deadline.
  asio::steady_timer deadline(run.context, caller.deadline);
  const auto result = co_await (driver.Run(request, sink) ||
                                deadline.async_wait(asio::use_awaitable));
  for (const v1::Endpoint& endpoint : request.pool.endpoints()) {
    --run.in_flight[endpoint.name()];
  }
  if (ticket) {
    ticket->set_units(driver.tokens());
  }
  stats.attempts += driver.attempts();
  const TimePoint now = clock_.Now();
  const auto* ended = std::get_if<0>(&result);
  if (ended == nullptr || !*ended) {
    ++stats.failed;
  } else if (now <= caller.deadline && now <= run.ends_at &&
             now >= run.measuring_since) {
    ++stats.good;
    stats.good_tokens += sink.tokens();
  }
}

asio::awaitable<void> BenchCluster::GenerateArrivals(RunState& run,
                                                     CustomerSpec customer) {
  std::exponential_distribution<double> gap(customer.requests_per_second);
  asio::steady_timer timer(run.context);
  TimePoint next = clock_.Now();
  for (;;) {
    next += std::chrono::duration_cast<Duration>(Seconds(gap(run.random)));
    if (next >= run.ends_at) {
      co_return;
    }
    timer.expires_at(next);
    co_await timer.async_wait(asio::use_awaitable);
    asio::co_spawn(run.context, SendRequest(run, customer.name),
                   asio::detached);
  }
}

RunStats BenchCluster::Run(const Workload& workload) {
  constexpr std::chrono::milliseconds kRampUp{1'500};
  RunState run;
  run.workload = workload;
  run.random.seed(workload.seed);
  run.measuring_since = clock_.Now() + kRampUp;
  run.ends_at = run.measuring_since + workload.duration;
  run.stats.seconds = Seconds(workload.duration).count();
  asio::co_spawn(run.context, RefreshReports(run), asio::detached);
  for (const CustomerSpec& customer : workload.customers) {
    asio::co_spawn(run.context, GenerateArrivals(run, customer),
                   asio::detached);
  }
  run.context.run();
  return std::move(run.stats);
}

void BenchCluster::SetSpeed(const std::string& stage,
                            double tokens_per_second) {
  Stage& target = *stages_.at(stage);
  asio::post(target.context, [&target, tokens_per_second] {
    target.server->set_tokens_per_second(tokens_per_second);
  });
}

void BenchCluster::SetFault(const std::string& stage, fakes::StageFault fault) {
  Stage& target = *stages_.at(stage);
  asio::post(target.context,
             [&target, fault] { target.server->set_fault(fault); });
}

}  // namespace sycamoreford::bench
