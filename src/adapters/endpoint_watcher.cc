#include "sycamoreford/adapters/endpoint_watcher.h"

#include <algorithm>
#include <chrono>
#include <utility>

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

constexpr std::chrono::milliseconds kListInterval{2'000};
constexpr std::size_t kListLimit = 1024UL * 1024;
/// Time between two probes of any endpoints; ten probes a second.
constexpr std::chrono::milliseconds kProbeSpacing{100};
/// Least time between two probes of the same endpoint.
constexpr std::chrono::milliseconds kProbeInterval{1'000};
constexpr std::chrono::milliseconds kProbeTimeout{1'000};
constexpr std::size_t kStateLimit = 64UL * 1024;
/// Endpoints that one daemon probes; each then has its turn within 3.2 s.
constexpr std::size_t kMostProbed = 32;
constexpr unsigned kStatusOk = 200;

std::optional<std::vector<ListedVm>> ParseList(const std::string& body) {
  try {
    std::vector<ListedVm> vms;
    const json::value list = json::parse(body);
    for (const json::value& vm : list.at("vms").as_array()) {
      vms.push_back({json::value_to<std::string>(vm.at("address")),
                     vm.at("state").as_string() == "leaving"});
    }
    return vms;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

/// What an endpoint says of itself; each part only when it is well-formed.
struct StateAnswer {
  std::optional<bool> leaving;
  /// Requests there, of all daemons together.
  std::optional<double> queue;
};

StateAnswer ParseState(const std::string& body) {
  StateAnswer answer;
  boost::system::error_code error;
  const json::value state = json::parse(body, error);
  if (error || !state.is_object()) {
    return answer;
  }
  const json::value* leaving = state.as_object().if_contains("leaving");
  if (leaving != nullptr && leaving->is_bool()) {
    answer.leaving = leaving->as_bool();
  }
  const json::value* queue = state.as_object().if_contains("queue");
  if (queue != nullptr && queue->is_number()) {
    answer.queue = queue->to_number<double>();
  }
  return answer;
}

}  // namespace

EndpointWatcher::EndpointWatcher(asio::io_context& context, EntryState& state)
    : strand_(asio::make_strand(context)),
      state_(state),
      schedule_(kProbeInterval) {}

void EndpointWatcher::Start() {
  asio::co_spawn(strand_, ListLoop(), asio::detached);
  asio::co_spawn(strand_, ProbeLoop(), asio::detached);
}

asio::awaitable<void> EndpointWatcher::ListLoop() {
  asio::steady_timer timer(strand_);
  for (;;) {
    co_await ReadList();
    timer.expires_after(kListInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> EndpointWatcher::ReadList() {
  HttpRequest request;
  request.target = "/v1/vms";
  const TimePoint requested_at = state_.clock.Now();
  const auto answer =
      co_await FetchHttp(state_.settings.table.address, request,
                         state_.settings.table.timeout, kListLimit);
  const auto vms = answer && answer->status == kStatusOk
                       ? ParseList(answer->body)
                       : std::nullopt;
  if (vms.has_value() != list_was_readable_) {
    list_was_readable_ = vms.has_value();
    LogEvent(Severity::kWarning,
             list_was_readable_ ? "vm_list_readable" : "vm_list_unreadable")
        .With("address", state_.settings.table.address);
  }
  if (vms) {
    view_.OnVmList(*vms, requested_at);
    Publish();
  }
}

asio::awaitable<void> EndpointWatcher::ProbeLoop() {
  asio::steady_timer timer(strand_);
  for (;;) {
    FollowConfiguration();
    TakeUpRefusals();
    if (auto next = schedule_.Next(state_.clock.Now())) {
      asio::co_spawn(strand_, Probe(std::move(*next)), asio::detached);
    }
    timer.expires_after(kProbeSpacing);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> EndpointWatcher::Probe(WatchedEndpoint endpoint) {
  HttpRequest request;
  request.target = "/v1/state";
  const TimePoint requested_at = state_.clock.Now();
  const auto answer =
      co_await FetchHttp(endpoint.address, request, kProbeTimeout, kStateLimit);
  if (!answer || answer->status != kStatusOk) {
    co_return;
  }
  const StateAnswer said = ParseState(answer->body);
  if (said.queue) {
    const TimePoint now = state_.clock.Now();
    const double own = state_.endpoints.InFlight(endpoint.id);
    state_.endpoints.ReportLoad(endpoint.id, std::max(*said.queue - own, 0.0),
                                now);
  }
  if (said.leaving) {
    view_.OnState(endpoint.id, endpoint.address, *said.leaving, requested_at);
    Publish();
  }
}

void EndpointWatcher::FollowConfiguration() {
  ConfigurationPtr config = state_.config.current();
  if (config == config_) {
    return;
  }
  config_ = std::move(config);
  endpoints_.clear();
  for (const v1::Resource* pool : config_->List(v1::KIND_POOL)) {
    for (const v1::Endpoint& endpoint : pool->pool().endpoints()) {
      endpoints_.push_back({EndpointId(endpoint.name()), endpoint.address(),
                            endpoint.leaving()});
    }
  }
  view_.SetEndpoints(endpoints_);
  schedule_.SetEndpoints(
      ProbedSubset(endpoints_, state_.settings.name, kMostProbed));
  Publish();
}

void EndpointWatcher::TakeUpRefusals() {
  const TimePoint now = state_.clock.Now();
  const EndpointTable::View table = state_.endpoints.Snapshot(now);
  for (const WatchedEndpoint& endpoint : endpoints_) {
    const bool is_leaving = table.LoadOf(endpoint.id).is_leaving;
    LeavingSources& published = published_[endpoint.id];
    if (is_leaving && !published.any()) {
      view_.OnRefusal(endpoint.id, now);
    } else if (!is_leaving && published.any()) {
      // The table forgot the endpoint while it was not configured.
      published = {};
    }
  }
  Publish();
}

void EndpointWatcher::Publish() {
  for (const WatchedEndpoint& endpoint : endpoints_) {
    const LeavingSources sources = view_.SourcesOf(endpoint.id);
    LeavingSources& published = published_[endpoint.id];
    if (sources == published) {
      continue;
    }
    if (sources.any() != published.any()) {
      LogEvent(Severity::kInfo,
               sources.any() ? "endpoint_leaving" : "endpoint_returned")
          .With("endpoint", endpoint.id.value())
          .With("address", endpoint.address)
          .With("sources", ToString(sources));
    }
    published = sources;
    state_.endpoints.SetLeaving(endpoint.id, sources.any());
  }
}

}  // namespace sycamoreford
