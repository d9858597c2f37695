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

constexpr std::chrono::milliseconds kVmListInterval{2'000};
constexpr std::size_t kMaxVmListBytes = 1024UL * 1024;
/// Interval between probes of this daemon: ten probes per second.
constexpr std::chrono::milliseconds kProbeSpacing{100};
/// Minimum interval between probes of the same endpoint.
constexpr std::chrono::milliseconds kProbeInterval{1'000};
constexpr std::chrono::milliseconds kProbeTimeout{1'000};
constexpr std::size_t kMaxStateBytes = 64UL * 1024;
/// Maximum number of endpoints that one daemon probes. At ten probes per
/// second, each of them is probed every 3.2 s.
constexpr std::size_t kMaxProbedEndpoints = 32;
constexpr unsigned kStatusOk = 200;

std::optional<std::vector<ListedVm>> ParseVmList(const std::string& body) {
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

/// State that an endpoint reports; fields that are missing or malformed are
/// empty.
struct ReportedState {
  std::optional<bool> leaving;
  /// Number of requests at the endpoint, from all daemons.
  std::optional<double> queue;
};

ReportedState ParseState(const std::string& body) {
  ReportedState result;
  boost::system::error_code error;
  const json::value state = json::parse(body, error);
  if (error || !state.is_object()) {
    return result;
  }
  const json::value* leaving = state.as_object().if_contains("leaving");
  if (leaving != nullptr && leaving->is_bool()) {
    result.leaving = leaving->as_bool();
  }
  const json::value* queue = state.as_object().if_contains("queue");
  if (queue != nullptr && queue->is_number()) {
    result.queue = queue->to_number<double>();
  }
  return result;
}

}  // namespace

EndpointWatcher::EndpointWatcher(asio::io_context& context, EntryState& state)
    : strand_(asio::make_strand(context)),
      state_(state),
      schedule_(kProbeInterval) {}

void EndpointWatcher::Start() {
  asio::co_spawn(strand_, VmListLoop(), asio::detached);
  asio::co_spawn(strand_, ProbeLoop(), asio::detached);
}

asio::awaitable<void> EndpointWatcher::VmListLoop() {
  asio::steady_timer timer(strand_);
  for (;;) {
    co_await ReadVmList();
    timer.expires_after(kVmListInterval);
    co_await timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> EndpointWatcher::ReadVmList() {
  HttpRequest request;
  request.target = "/v1/vms";
  const TimePoint requested_at = state_.clock.Now();
  const auto response =
      co_await FetchHttp(state_.settings.table.address, request,
                         state_.settings.table.timeout, kMaxVmListBytes);
  const auto vms = response && response->status == kStatusOk
                       ? ParseVmList(response->body)
                       : std::nullopt;
  if (vms.has_value() != vm_list_was_readable_) {
    vm_list_was_readable_ = vms.has_value();
    LogEvent(Severity::kWarning,
             vm_list_was_readable_ ? "vm_list_readable" : "vm_list_unreadable")
        .With("address", state_.settings.table.address);
  }
  if (vms) {
    tracker_.OnVmList(*vms, requested_at);
    Publish();
  }
}

asio::awaitable<void> EndpointWatcher::ProbeLoop() {
  asio::steady_timer timer(strand_);
  for (;;) {
    FollowConfiguration();
    RecordRefusals();
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
  const auto response = co_await FetchHttp(endpoint.address, request,
                                           kProbeTimeout, kMaxStateBytes);
  if (!response || response->status != kStatusOk) {
    co_return;
  }
  const ReportedState reported = ParseState(response->body);
  if (reported.queue) {
    const TimePoint now = state_.clock.Now();
    const double own_requests = state_.endpoints.InFlight(endpoint.id);
    state_.endpoints.ReportLoad(
        endpoint.id, std::max(*reported.queue - own_requests, 0.0), now);
  }
  if (reported.leaving) {
    tracker_.OnState(endpoint.id, endpoint.address, *reported.leaving,
                     requested_at);
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
  tracker_.SetEndpoints(endpoints_);
  schedule_.SetEndpoints(
      ProbedSubset(endpoints_, state_.settings.name, kMaxProbedEndpoints));
  Publish();
}

void EndpointWatcher::RecordRefusals() {
  const TimePoint now = state_.clock.Now();
  const EndpointTable::View table = state_.endpoints.Snapshot(now);
  for (const WatchedEndpoint& endpoint : endpoints_) {
    const bool is_leaving = table.LoadOf(endpoint.id).is_leaving;
    LeavingSources& published = published_[endpoint.id];
    if (is_leaving && !published.any()) {
      tracker_.OnRefusal(endpoint.id, now);
    } else if (!is_leaving && published.any()) {
      // The endpoint table dropped the entry while the endpoint was not
      // configured.
      published = {};
    }
  }
  Publish();
}

void EndpointWatcher::Publish() {
  for (const WatchedEndpoint& endpoint : endpoints_) {
    const LeavingSources sources = tracker_.SourcesOf(endpoint.id);
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
