#include "support/world.h"

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
constexpr std::chrono::milliseconds kMaxWait{500};

double ToSeconds(Duration time) {
  return Seconds(time).count();
}

/// Notes when the tokens of an answer come.
class TimingSink {
 public:
  explicit TimingSink(CustomerFigures& figures, TimePoint begun)
      : figures_(figures), last_(begun) {}

  asio::awaitable<void> OnToken(const std::string& /*text*/) {
    const TimePoint now = SteadyClock().Now();
    Series& series =
        tokens_ == 0 ? figures_.first_token : figures_.between_tokens;
    series.Add(ToSeconds(now - last_));
    last_ = now;
    ++tokens_;
    co_return;
  }
  [[nodiscard]] std::uint32_t tokens() const { return tokens_; }

 private:
  CustomerFigures& figures_;
  TimePoint last_;
  std::uint32_t tokens_ = 0;
};

}  // namespace

const char* NameOf(Choice choice) {
  switch (choice) {
    case Choice::kProduct:
      return "product";
    case Choice::kNoRetryBudget:
      return "no_retry_budget";
    case Choice::kRoundRobin:
      return "round_robin";
    case Choice::kRandom:
      return "random";
    case Choice::kLeastReported:
      return "least_reported";
  }
  return "";
}

double Figures::GoodTokensPerSecond() const {
  std::uint64_t tokens = 0;
  for (const auto& [name, customer] : customers) {
    tokens += customer.good_tokens;
  }
  return static_cast<double>(tokens) / seconds;
}

double Figures::AttemptsPerRequest() const {
  double attempts = 0;
  double requests = 0;
  for (const auto& [name, customer] : customers) {
    attempts += customer.attempts;
    requests += customer.offered;
  }
  return attempts / requests;
}

struct World::RunState {
  Load load;
  asio::io_context context;
  std::mt19937_64 random;
  Figures figures;
  TimePoint ends{};
  /// Good answers count while the load lasts.
  TimePoint begun{};
  std::uint64_t turn = 0;
  std::uint32_t open = 0;
  std::map<std::string, std::uint32_t> running;
  std::map<std::string, std::uint32_t> reported;
};

World::World(const std::vector<StageSpec>& stages,
             const std::vector<std::string>& customers,
             std::uint32_t daemons,
             std::uint32_t slots) {
  for (const StageSpec& spec : stages) {
    auto stage = std::make_unique<Stage>();
    fakes::StageOptions options;
    options.first_layer = spec.layers.first;
    options.end_layer = spec.layers.end;
    options.tokens_per_second = spec.tokens_per_second;
    stage->stage = std::make_unique<fakes::FakeStage>(stage->context, options);
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

World::~World() {
  for (auto& [name, stage] : stages_) {
    stage->context.stop();
  }
}

void World::Configure(const std::vector<StageSpec>& stages,
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
      ->set_max_queue_ms(kMaxWait.count());
  v1::ModelVersion* version =
      add(v1::KIND_MODEL_VERSION, "m-1")->mutable_model_version();
  version->set_model("m");
  version->set_version("1");
  version->set_layers(kLayers);
  v1::Pool* pool = add(v1::KIND_POOL, "pool")->mutable_pool();
  for (const StageSpec& spec : stages) {
    v1::Endpoint* endpoint = pool->add_endpoints();
    endpoint->set_name(spec.name);
    endpoint->set_address(stages_.at(spec.name)->stage->address());
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
  bound_ = PoolPlan::Compute(*pool, *version).max_tokens_per_second();
  v1::Pool chain;
  FindCovers(0, chain);
}

void World::FindCovers(std::uint32_t at, v1::Pool& chain) {
  if (at == kLayers) {
    covers_.push_back(chain);
    return;
  }
  const v1::Pool& pool = config_->Find(v1::KIND_POOL, "pool")->pool();
  for (const v1::Endpoint& endpoint : pool.endpoints()) {
    if (endpoint.first_layer() == at) {
      *chain.add_endpoints() = endpoint;
      FindCovers(endpoint.end_layer(), chain);
      chain.mutable_endpoints()->RemoveLast();
    }
  }
}

const v1::Pool& World::ChooseCover(RunState& run) {
  switch (run.load.choice) {
    case Choice::kProduct:
    case Choice::kNoRetryBudget:
    case Choice::kRoundRobin:
      return covers_[run.turn++ % covers_.size()];
    case Choice::kRandom:
      return covers_[run.random() % covers_.size()];
    case Choice::kLeastReported:
      break;
  }
  const v1::Pool* best = nullptr;
  std::uint32_t least = std::numeric_limits<std::uint32_t>::max();
  for (const v1::Pool& cover : covers_) {
    std::uint32_t most = 0;
    for (const v1::Endpoint& endpoint : cover.endpoints()) {
      most = std::max(most, run.reported[endpoint.name()]);
    }
    if (most < least) {
      least = most;
      best = &cover;
    }
  }
  return *best;
}

asio::awaitable<void> World::RefreshReports(RunState& run) {
  asio::steady_timer timer(run.context);
  while (clock_.Now() < run.ends) {
    run.reported = run.running;
    timer.expires_after(kReportInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> World::Request(RunState& run, std::string customer) {
  using namespace asio::experimental::awaitable_operators;  // NOLINT
  CustomerFigures& figures = run.figures.customers[customer];
  Daemon& daemon = *daemons_[run.random() % daemons_.size()];
  const bool is_product = run.load.choice == Choice::kProduct ||
                          run.load.choice == Choice::kNoRetryBudget;
  CallerRequest caller;
  caller.id = RequestId("r" + std::to_string(next_request_++));
  caller.customer = CustomerId(customer);
  caller.config = config_;
  caller.received_at = clock_.Now();
  caller.deadline = caller.received_at + run.load.deadline;
  AnswerRequest order;
  order.request_id = caller.id;
  order.model = "m";
  order.version = config_->Find(v1::KIND_MODEL_VERSION, "m-1")->model_version();
  order.messages = "[" + caller.id.value() + "]";
  order.max_tokens = run.load.tokens;
  order.deadline = caller.deadline;
  ++figures.offered;
  std::optional<AdmissionTicket> ticket;
  if (is_product) {
    auto admitted = co_await daemon.policy.AdmitAnswer(caller, "m", order);
    if (!admitted) {
      ++figures.refused;
      figures.refusal.Add(ToSeconds(clock_.Now() - caller.received_at));
      co_return;
    }
    ticket.emplace(std::move(*admitted));
    if (run.load.choice == Choice::kNoRetryBudget) {
      order.may_retry = nullptr;
    }
  } else {
    order.pool = ChooseCover(run);
  }
  const AnswerLimits limits{.first_token_timeout = run.load.deadline,
                            .between_tokens_timeout = run.load.deadline};
  EndpointTable unknown;
  AnswerDriver driver(engines_, is_product ? daemon.endpoints : unknown, clock_,
                      limits);
  TimingSink sink(figures, caller.received_at);
  for (const v1::Endpoint& endpoint : order.pool.endpoints()) {
    ++run.running[endpoint.name()];
  }
  // The caller leaves at its deadline.
  asio::steady_timer deadline(run.context, caller.deadline);
  const auto raced = co_await (driver.Run(order, sink) ||
                               deadline.async_wait(asio::use_awaitable));
  for (const v1::Endpoint& endpoint : order.pool.endpoints()) {
    --run.running[endpoint.name()];
  }
  if (ticket) {
    ticket->set_units(driver.tokens());
  }
  figures.attempts += driver.attempts();
  const TimePoint now = clock_.Now();
  const auto* ended = std::get_if<0>(&raced);
  if (ended == nullptr || !*ended) {
    ++figures.failed;
  } else if (now <= caller.deadline && now <= run.ends && now >= run.begun) {
    ++figures.good;
    figures.good_tokens += sink.tokens();
  }
}

asio::awaitable<void> World::Arrive(RunState& run, CustomerSpec customer) {
  std::exponential_distribution<double> gap(customer.requests_per_second);
  asio::steady_timer timer(run.context);
  TimePoint next = clock_.Now();
  for (;;) {
    next += std::chrono::duration_cast<Duration>(Seconds(gap(run.random)));
    if (next >= run.ends) {
      co_return;
    }
    timer.expires_at(next);
    co_await timer.async_wait(asio::use_awaitable);
    asio::co_spawn(run.context, Request(run, customer.name), asio::detached);
  }
}

Figures World::Run(const Load& load) {
  constexpr std::chrono::milliseconds kRampUp{1'500};
  RunState run;
  run.load = load;
  run.random.seed(load.seed);
  run.begun = clock_.Now() + kRampUp;
  run.ends = run.begun + load.length;
  run.figures.seconds = Seconds(load.length).count();
  asio::co_spawn(run.context, RefreshReports(run), asio::detached);
  for (const CustomerSpec& customer : load.customers) {
    asio::co_spawn(run.context, Arrive(run, customer), asio::detached);
  }
  run.context.run();
  return std::move(run.figures);
}

void World::SetSpeed(const std::string& stage, double tokens_per_second) {
  Stage& target = *stages_.at(stage);
  asio::post(target.context, [&target, tokens_per_second] {
    target.stage->set_tokens_per_second(tokens_per_second);
  });
}

void World::SetFault(const std::string& stage, fakes::StageFault fault) {
  Stage& target = *stages_.at(stage);
  asio::post(target.context,
             [&target, fault] { target.stage->set_fault(fault); });
}

}  // namespace sycamoreford::bench
