#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "fakes/fake_table.h"
#include "fakes/overloaded_endpoint.h"
#include "support/cut_off.h"
#include "support/peer_relay.h"
#include "support/sample_configuration.h"
#include "sycamoreford/adapters/http_client.h"

namespace sycamoreford::support {

/// Relays in front of endpoints that may be overloaded. Each endpoint takes the
/// requests of both services of the sample configuration, under an id for each,
/// and is in a data centre of its own; the relays prefer the first one.
///
/// Thread safety: none.
class BackoffDeployment {
  // Destroyed after what uses them.
  boost::asio::io_context context_{1};
  fakes::FakeTable rows_;

 public:
  using Time = std::chrono::steady_clock::time_point;

  static constexpr std::size_t kRelays = 3;

  /// A caller's request and its response.
  struct Answer {
    Time sent;
    Duration time;
    std::size_t relay = 0;
    std::string path;
    unsigned status = 0;
    std::string body;
    /// Value of Retry-After in seconds; 0 if there is none.
    double retry_after = 0;
    /// Number of headers Retry-After.
    std::size_t retry_after_count = 0;
  };

  explicit BackoffDeployment(std::size_t endpoint_count) {
    for (std::size_t i = 0; i < endpoint_count; ++i) {
      endpoints.push_back(
          std::make_unique<fakes::OverloadedEndpoint>(context_, kRelays));
    }
    endpoints.back()->response_time = std::chrono::milliseconds(30);
    endpoints.front()->response_time = std::chrono::milliseconds(10);
    for (std::size_t i = 0; i < kRelays; ++i) {
      // A host of its own, so that each is told apart by the others.
      relays.push_back(std::make_unique<PeerRelay>(
          context_, rows_, static_cast<int>(i) + 1, "dc-0",
          SampleConfiguration(true).Build()));
      relays.back()->TakeForwardedRequests();
      relays.back()->WatchEndpoints(context_);
    }
    for (std::size_t i = 0; i < endpoint_count; ++i) {
      Announce(i, 1);
    }
    RunFor(std::chrono::milliseconds(800));
  }
  ~BackoffDeployment() {
    is_stopping_ = true;
    CutOff(context_, relays);
  }
  BackoffDeployment(const BackoffDeployment&) = delete;
  BackoffDeployment& operator=(const BackoffDeployment&) = delete;

  /// Lists a run of an endpoint at all relays.
  void Announce(std::size_t index, std::uint64_t started_at_ms) {
    endpoints[index]->started_at_ms = started_at_ms;
    for (const std::string service : {"model", "plain"}) {
      EndpointRecord record;
      record.id = service + std::to_string(index);
      record.service = service;
      record.data_centre = "dc-" + std::to_string(index);
      record.started_at_ms = started_at_ms;
      if (service == "model") {
        record.kind = "whole";
        record.layers = {0, 80};
      }
      for (std::size_t relay = 0; relay < kRelays; ++relay) {
        record.address = endpoints[index]->address(relay);
        relays[relay]->state.directory().Upsert(record);
      }
    }
  }
  /// Removes an endpoint from the list of all relays.
  void Remove(std::size_t index) {
    for (const auto& relay : relays) {
      for (const std::string service : {"model", "plain"}) {
        relay->state.directory().Remove(service + std::to_string(index),
                                        relay->clock.Now(), Duration::zero());
      }
    }
  }
  /// Cuts a relay off from all endpoints, or connects it again.
  void SetLinks(std::size_t relay, fakes::LinkState state) {
    for (const auto& endpoint : endpoints) {
      endpoint->SetLink(relay, state);
    }
  }

  /// Sends requests to all relays in turn until the end.
  void StartLoad(
      const std::string& path,
      std::chrono::milliseconds interval = std::chrono::milliseconds(20)) {
    boost::asio::co_spawn(context_, Load(path, interval),
                          boost::asio::detached);
  }
  void Send(std::size_t relay, const std::string& path) {
    boost::asio::co_spawn(context_, SendOne(relay, path),
                          boost::asio::detached);
  }
  void RunFor(std::chrono::milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

  /// Requests that were sent since `time` and were not served whole.
  [[nodiscard]] std::vector<Answer> FailedSince(Time time) const {
    std::vector<Answer> failed;
    std::copy_if(
        answers.begin(), answers.end(), std::back_inserter(failed),
        [&](const Answer& it) { return it.sent >= time && !IsWhole(it); });
    return failed;
  }
  [[nodiscard]] std::size_t ServedSince(Time time) const {
    return static_cast<std::size_t>(std::count_if(
        answers.begin(), answers.end(),
        [&](const Answer& it) { return it.sent >= time && IsWhole(it); }));
  }

  std::vector<std::unique_ptr<fakes::OverloadedEndpoint>> endpoints;
  std::vector<std::unique_ptr<PeerRelay>> relays;
  std::vector<Answer> answers;

 private:
  static bool IsWhole(const Answer& answer) {
    std::string whole = "body";
    if (answer.path.starts_with("/stream")) {
      whole.clear();
      for (int id = 0; id < fakes::OverloadedEndpoint::kEvents; ++id) {
        whole += Event(id);
      }
    }
    return answer.status == 200 && answer.body == whole;
  }

  boost::asio::awaitable<void> Load(std::string path,
                                    std::chrono::milliseconds interval) {
    for (std::size_t i = 0; !is_stopping_; ++i) {
      Send(i % kRelays, path);
      co_await Pause(interval);
    }
  }

  boost::asio::awaitable<void> SendOne(std::size_t relay, std::string path) {
    HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.fields.Add("Host", "a.example");
    request.fields.Add("X-Attempt-Id", "r" + std::to_string(++requests_));
    request.fields.Add("X-Deadline-Ms", "8000");
    const Time sent = std::chrono::steady_clock::now();
    const auto response =
        co_await FetchHttp(relays[relay]->server.address(), request,
                           std::chrono::seconds(9), 1UL << 20U);
    Answer answer{.sent = sent, .relay = relay, .path = std::move(path)};
    answer.time = std::chrono::steady_clock::now() - sent;
    if (response) {
      answer.status = response->status;
      answer.body = response->body;
      for (const auto& [name, value] : response->fields) {
        if (name == "Retry-After") {
          answer.retry_after = std::stod(value);
          ++answer.retry_after_count;
        }
      }
    }
    answers.push_back(std::move(answer));
  }

  std::size_t requests_ = 0;
  bool is_stopping_ = false;
};

}  // namespace sycamoreford::support
