#include "sycamoreford/adapters/entry_daemon.h"

#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "sycamoreford/adapters/caller_handler.h"
#include "sycamoreford/adapters/config_service.h"
#include "sycamoreford/adapters/endpoint_watcher.h"
#include "sycamoreford/adapters/entry_state.h"
#include "sycamoreford/adapters/http_server.h"
#include "sycamoreford/adapters/operator_server.h"
#include "sycamoreford/adapters/order_service.h"
#include "sycamoreford/core/log.h"
#include "sycamoreford/core/memory_budget.h"
#include "sycamoreford/drain/drain_machine.h"

namespace sycamoreford {

namespace asio = boost::asio;

namespace {

/// How long a planned stop waits for the final states of claims to be stored.
constexpr std::chrono::milliseconds kClaimsDrainTimeout{10'000};
constexpr std::chrono::milliseconds kDrainPollInterval{20};
/// Time before the cut in which requests without a response are refused.
constexpr std::chrono::milliseconds kLastResponses{250};
constexpr std::chrono::milliseconds kFleetInterval{500};

HttpLimits ToHttpLimits(const Settings& settings) {
  HttpLimits limits;
  limits.max_header_bytes = settings.limits.header_bytes;
  limits.max_body_bytes = settings.limits.body_bytes;
  limits.max_connections = settings.limits.connections;
  limits.idle_timeout = settings.limits.idle_timeout;
  limits.header_timeout = settings.limits.header_timeout;
  limits.body_timeout = settings.limits.body_timeout;
  limits.write_timeout = settings.limits.write_timeout;
  return limits;
}

}  // namespace

struct EntryDaemon::State {
  explicit State(Settings settings)
      : entry(std::move(settings)),
        config_service(context,
                       entry.settings,
                       entry.table,
                       entry.config,
                       entry.permit,
                       entry.draining),
        watcher(context, entry),
        order_service(context, entry),
        caller_handler(entry),
        caller_server(context,
                      entry.settings.listen.callers,
                      ToHttpLimits(entry.settings),
                      [this](HttpExchange& exchange) {
                        return caller_handler.Handle(exchange);
                      }),
        operator_server(entry, config_service),
        signals(context, SIGINT, SIGTERM),
        drain_strand(asio::make_strand(context)),
        drain({.notice_period = entry.settings.limits.drain_notice,
               .finish_timeout = entry.settings.limits.drain_timeout}) {
    constexpr std::size_t kBytesPerMb = 1024UL * 1024;
    MemoryBudget::OfProcess().SetLimit(entry.settings.limits.memory_budget_mb *
                                       kBytesPerMb);
    entry.drain_hooks.push_back(
        {"leases", [this] { return order_service.Release(); }});
    entry.drain_hooks.push_back(
        {"config", [this] { return config_service.Leave(); }});
    entry.drain_hooks.push_back(
        {"claims",
         [this] { return entry.claims.WaitUntilDone(kClaimsDrainTimeout); }});
  }

  void WaitForSignal();
  asio::awaitable<void> FleetPositionLoop();
  void RequestStop();
  asio::awaitable<void> Drain(DrainAction action);
  void Perform(DrainAction action);
  asio::awaitable<void> HandOver();
  void LogDrain(std::string_view event);

  asio::io_context context;
  EntryState entry;
  ConfigService config_service;
  EndpointWatcher watcher;
  OrderService order_service;
  CallerHandler caller_handler;
  HttpServer caller_server;
  OperatorServer operator_server;
  asio::signal_set signals;
  asio::strand<asio::io_context::executor_type> drain_strand;
  /// Used on `drain_strand` only.
  DrainMachine drain;
  std::jthread close_thread;
};

asio::awaitable<void> EntryDaemon::State::FleetPositionLoop() {
  asio::steady_timer timer(context);
  for (;;) {
    entry.policy.SetFleet(config_service.fleet());
    timer.expires_after(kFleetInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

void EntryDaemon::State::WaitForSignal() {
  signals.async_wait([this](auto error, auto) {
    if (!error) {
      RequestStop();
      WaitForSignal();
    }
  });
}

void EntryDaemon::State::RequestStop() {
  asio::post(drain_strand, [this] {
    const DrainAction action = drain.OnStopRequested(entry.clock.Now());
    if (action == DrainAction::kNone) {
      LogDrain("drain_asked_again");
      return;
    }
    asio::co_spawn(drain_strand, Drain(action), asio::detached);
  });
}

asio::awaitable<void> EntryDaemon::State::Drain(DrainAction action) {
  asio::steady_timer timer(drain_strand);
  Perform(action);
  while (drain.state() != DrainState::kExited) {
    timer.expires_after(kDrainPollInterval);
    co_await timer.async_wait(asio::use_awaitable);
    action = drain.OnTick(entry.clock.Now(), caller_server.open_connections());
    if (action == DrainAction::kCutOffAndHandOver) {
      caller_server.EndRequests();
      timer.expires_after(kLastResponses);
      co_await timer.async_wait(asio::use_awaitable);
    }
    Perform(action);
  }
}

void EntryDaemon::State::Perform(DrainAction action) {
  switch (action) {
    case DrainAction::kNone:
      return;
    case DrainAction::kFailReadiness:
      entry.draining = true;
      caller_server.DisableKeepAlive();
      LogDrain("drain_begun");
      break;
    case DrainAction::kCloseListener:
      caller_server.Close();
      LogDrain("drain_finishing");
      break;
    case DrainAction::kCutOffAndHandOver:
      LogEvent(Severity::kError, "drain_cut_off")
          .With("requests", caller_server.active_requests())
          .With("connections", drain.cut_off());
      caller_server.CutOff();
      asio::co_spawn(drain_strand, HandOver(), asio::detached);
      break;
    case DrainAction::kHandOver:
      LogDrain("drain_handing_over");
      asio::co_spawn(drain_strand, HandOver(), asio::detached);
      break;
    case DrainAction::kExit:
      LogDrain("drain_ended");
      // `Close` blocks until the operators' calls have ended. They may need the
      // worker threads, so it must not block one of these.
      close_thread = std::jthread([this] {
        operator_server.Close();
        context.stop();
      });
      break;
  }
  entry.drain_deadline = drain.deadline();
  entry.drain_state = drain.state();
}

asio::awaitable<void> EntryDaemon::State::HandOver() {
  for (const DrainHook& hook : entry.drain_hooks) {
    try {
      co_await hook.run();
    } catch (const std::exception& error) {
      LogEvent(Severity::kError, "drain_hook_failed")
          .With("hook", hook.name)
          .With("reason", error.what());
    }
  }
  if (const auto action = drain.OnHandedOver()) {
    Perform(*action);
  }
}

void EntryDaemon::State::LogDrain(std::string_view event) {
  LogEvent log_event(Severity::kInfo, event);
  log_event.With("state", ToString(drain.state()))
      .With("active", caller_server.active_requests());
  if (drain.state() != DrainState::kExited) {
    log_event.With("bound_ms", drain.deadline() - entry.clock.Now());
  }
}

EntryDaemon::EntryDaemon(Settings settings)
    : state_(std::make_unique<State>(std::move(settings))) {}

EntryDaemon::~EntryDaemon() = default;

void EntryDaemon::Stop() {
  state_->RequestStop();
}

bool EntryDaemon::Run() {
  state_->config_service.Start();
  asio::co_spawn(state_->context, state_->entry.claims.SweepForever(),
                 asio::detached);
  state_->watcher.Start();
  state_->order_service.Start();
  asio::co_spawn(state_->context, state_->FleetPositionLoop(), asio::detached);
  state_->WaitForSignal();
  LogEvent(Severity::kInfo, "listening")
      .With("name", state_->entry.settings.name)
      .With("callers", state_->caller_server.address())
      .With("operators", state_->operator_server.address())
      .With("peers", state_->config_service.peer_address());
  std::vector<std::jthread> workers;
  for (std::uint32_t i = 1; i < state_->entry.settings.limits.workers; ++i) {
    workers.emplace_back([this] { state_->context.run(); });
  }
  state_->context.run();
  workers.clear();
  return state_->drain.cut_off() == 0;
}

}  // namespace sycamoreford
