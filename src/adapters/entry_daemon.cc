#include "sycamoreford/adapters/entry_daemon.h"

#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "sycamoreford/adapters/caller_front.h"
#include "sycamoreford/adapters/config_service.h"
#include "sycamoreford/adapters/entry_state.h"
#include "sycamoreford/adapters/http_server.h"
#include "sycamoreford/adapters/operator_server.h"
#include "sycamoreford/core/log.h"

namespace sycamoreford {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kDrainPoll{20};

HttpLimits LimitsOf(const Settings& settings) {
  HttpLimits limits;
  limits.header_bytes = settings.limits.header_bytes;
  limits.body_bytes = settings.limits.body_bytes;
  limits.connections = settings.limits.connections;
  return limits;
}

}  // namespace

struct EntryDaemon::State {
  explicit State(Settings settings)
      : entry(std::move(settings)),
        config(context,
               entry.settings,
               entry.table,
               entry.config,
               entry.permit,
               entry.draining),
        front(entry),
        callers(
            context,
            entry.settings.listen.callers,
            LimitsOf(entry.settings),
            [this](HttpExchange& exchange) { return front.Handle(exchange); }),
        operators(entry, config),
        signals(context, SIGINT, SIGTERM) {}

  asio::awaitable<void> Drain();

  asio::io_context context;
  EntryState entry;
  ConfigService config;
  CallerFront front;
  HttpServer callers;
  OperatorServer operators;
  asio::signal_set signals;
  std::atomic<bool> finished_all{false};
};

asio::awaitable<void> EntryDaemon::State::Drain() {
  const Settings::Limits& limits = entry.settings.limits;
  LogEvent(Severity::kInfo, "drain_begun").With("active", callers.active());
  asio::steady_timer timer(context);
  // The balancer sees /readyz fail and sends callers elsewhere; those that
  // still come are served.
  timer.expires_after(limits.drain_notice);
  co_await timer.async_wait(asio::use_awaitable);
  callers.Close();
  const TimePoint bound = entry.clock.Now() + limits.drain_timeout;
  const auto active = [this] {
    return callers.active() + entry.claims.active();
  };
  while (active() > 0 && entry.clock.Now() < bound) {
    timer.expires_after(kDrainPoll);
    co_await timer.async_wait(asio::use_awaitable);
  }
  finished_all = active() == 0;
  co_await config.Leave();
  LogEvent(finished_all ? Severity::kInfo : Severity::kError, "drain_ended")
      .With("cut_off", active());
  operators.Close();
  context.stop();
}

EntryDaemon::EntryDaemon(Settings settings)
    : state_(std::make_unique<State>(std::move(settings))) {}

EntryDaemon::~EntryDaemon() = default;

void EntryDaemon::Stop() {
  if (state_->entry.draining.exchange(true)) {
    return;
  }
  asio::co_spawn(state_->context, state_->Drain(), asio::detached);
}

bool EntryDaemon::Run() {
  state_->config.Start();
  asio::co_spawn(state_->context, state_->entry.claims.SweepForever(),
                 asio::detached);
  state_->signals.async_wait([this](auto error, auto) {
    if (!error) {
      Stop();
    }
  });
  LogEvent(Severity::kInfo, "listening")
      .With("name", state_->entry.settings.name)
      .With("callers", state_->callers.address())
      .With("operators", state_->operators.address())
      .With("peers", state_->config.peer_address());
  std::vector<std::jthread> workers;
  for (std::uint32_t i = 1; i < state_->entry.settings.limits.workers; ++i) {
    workers.emplace_back([this] { state_->context.run(); });
  }
  state_->context.run();
  return state_->finished_all;
}

}  // namespace sycamoreford
