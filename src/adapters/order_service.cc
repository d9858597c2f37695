#include "sycamoreford/adapters/order_service.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "sycamoreford/adapters/http_client.h"
#include "sycamoreford/core/log.h"

namespace sycamoreford {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds kTickInterval{500};
/// Interval between polls of the state of a pool's engines.
constexpr std::chrono::milliseconds kPollInterval{15'000};
/// Delay of the next poll after an order was sent.
constexpr std::chrono::milliseconds kPollDelayAfterOrder{1'000};
constexpr std::chrono::milliseconds kEngineTimeout{2'000};
constexpr std::size_t kMaxResponseBytes = 64UL * 1024;
constexpr unsigned kStatusOk = 200;

std::optional<EngineState> ParseState(const std::string& body) {
  try {
    const json::value value = json::parse(body);
    EngineState state;
    state.model = json::value_to<std::string>(value.at("model"));
    state.version = json::value_to<std::string>(value.at("version"));
    for (const json::value& name : value.at("adapters").as_array()) {
      state.adapters.insert(json::value_to<std::string>(name));
    }
    return state;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string ToBody(const EngineOrder& order) {
  return json::serialize(
      json::object{{"fencing", order.fencing.value()},
                   {"desired",
                    {{"model", order.state.model},
                     {"version", order.state.version},
                     {"adapters", json::value_from(order.state.adapters)}}}});
}

}  // namespace

OrderService::OrderService(asio::io_context& context, EntryState& state)
    : strand_(asio::make_strand(context)),
      state_(state),
      holder_(state.settings.name + "/" + NewUniqueId()) {}

void OrderService::Start() {
  asio::co_spawn(strand_, Loop(), asio::detached);
}

asio::awaitable<void> OrderService::Loop() {
  asio::steady_timer timer(strand_);
  while (!is_released_) {
    FollowConfiguration();
    for (auto& [name, pool] : pools_) {
      co_await UpdatePool(name, pool);
    }
    PublishLeases();
    timer.expires_after(kTickInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void OrderService::FollowConfiguration() {
  const ConfigurationPtr config = state_.config.current();
  for (const v1::Resource* pool : config->List(v1::KIND_POOL)) {
    Pool& entry = pools_[pool->name()];
    if (entry.lease == nullptr) {
      entry.lease = std::make_unique<Lease>(
          state_.table, state_.clock,
          LeaseMachine("pool/" + pool->name(), holder_, LeaseTimes{}));
    }
  }
  // The lease of a removed pool is no longer renewed and expires.
  std::erase_if(pools_, [&](const auto& item) {
    return config->Find(v1::KIND_POOL, item.first) == nullptr;
  });
}

asio::awaitable<void> OrderService::UpdatePool(const std::string& name,
                                               Pool& pool) {
  const ConfigurationPtr config = state_.config.current();
  const std::vector<DesiredEngine> engines = DesiredEngines(*config, name);
  if (engines.empty() || !state_.permit.IsValidAt(state_.clock.Now())) {
    co_return;
  }
  const std::string write_id = NewUniqueId();
  co_await pool.lease->Step(write_id);
  const auto token = pool.lease->Token();
  if (!token) {
    co_return;
  }
  const TimePoint now = state_.clock.Now();
  pool.planner.OnLeaseAcquired(*token, now);
  if (now >= pool.next_poll_at) {
    pool.next_poll_at = now + kPollInterval;
    co_await PollEngines(engines, pool);
  }
  // The lease may have expired while the engines were polled.
  const auto current_token = pool.lease->Token();
  if (!current_token) {
    co_return;
  }
  auto order = pool.planner.Next(engines, *current_token, state_.clock.Now());
  if (order) {
    pool.next_poll_at = state_.clock.Now() + kPollDelayAfterOrder;
    co_await SendOrder(std::move(*order));
  }
}

asio::awaitable<void> OrderService::PollEngines(
    const std::vector<DesiredEngine>& engines,
    Pool& pool) {
  for (const DesiredEngine& engine : engines) {
    HttpRequest request;
    request.target = "/v1/state";
    auto response = co_await FetchHttp(engine.address, request, kEngineTimeout,
                                       kMaxResponseBytes);
    if (!response || response->status != kStatusOk) {
      continue;
    }
    if (const auto state = ParseState(response->body)) {
      pool.planner.OnState(engine.endpoint, *state, state_.clock.Now());
    }
  }
}

asio::awaitable<void> OrderService::SendOrder(EngineOrder order) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/orders";
  request.fields.Add("content-type", "application/json");
  request.body = ToBody(order);
  auto response = co_await FetchHttp(order.address, request, kEngineTimeout,
                                     kMaxResponseBytes);
  const bool is_accepted = response && response->status == kStatusOk;
  LogEvent(is_accepted ? Severity::kInfo : Severity::kWarning,
           is_accepted ? "order_given" : "order_not_taken")
      .With("endpoint", order.endpoint.value())
      .With("version", order.state.version)
      .With("fencing", order.fencing.value())
      .With("status", response ? response->status : 0U);
}

void OrderService::PublishLeases() {
  const TimePoint now = state_.clock.Now();
  std::vector<LeaseView> views;
  for (const auto& [name, pool] : pools_) {
    const LeaseMachine& machine = pool.lease->machine();
    const Duration time_left =
        std::max(machine.held_until() - now, Duration(0));
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(time_left);
    const LeaseRow& row = machine.observed();
    views.push_back({machine.name(), row.holder, row.fencing, remaining});
  }
  state_.leases.Set(std::move(views));
}

asio::awaitable<void> OrderService::Release() {
  co_await asio::co_spawn(strand_, ReleaseOnStrand(), asio::use_awaitable);
}

asio::awaitable<void> OrderService::ReleaseOnStrand() {
  is_released_ = true;
  for (auto& [name, pool] : pools_) {
    co_await pool.lease->Release();
  }
}

}  // namespace sycamoreford
