#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "fakes/cuttable_link.h"
#include "fakes/fake_table.h"
#include "fakes/scripted_endpoint.h"
#include "support/cut_off.h"
#include "support/peer_relay.h"
#include "support/sample_configuration.h"
#include "sycamoreford/adapters/http_client.h"

namespace sycamoreford::support {

/// Relays that forward to each other, each with a link of its own to each
/// endpoint. An endpoint takes the requests of both services of the sample
/// configuration, under an id for each, and is in a data centre of its own.
///
/// Thread safety: none.
class RelayNetwork {
  // Destroyed after what uses them.
  boost::asio::io_context context_{1};
  fakes::FakeTable rows_;

 public:
  using Time = std::chrono::steady_clock::time_point;
  /// Returns how an endpoint responds to a request.
  using Responder = std::function<fakes::EndpointScript(std::size_t endpoint,
                                                        const HttpRequest&)>;

  /// A caller's request and its response.
  struct Answer {
    Time sent;
    std::size_t relay = 0;
    std::string path;
    std::string id;
    unsigned status = 0;
    std::string body;
  };

  /// A request that has reached an endpoint.
  struct Arrival {
    Time time;
    std::string id;
  };

  RelayNetwork(std::size_t relay_count,
               std::size_t endpoint_count,
               Responder respond)
      : respond_(std::move(respond)), arrivals(endpoint_count) {
    for (std::size_t i = 0; i < endpoint_count; ++i) {
      endpoints_.push_back(std::make_unique<fakes::ScriptedEndpoint>(context_));
      SetReportedStart(i, 1);
      endpoints_.back()->SetResponder([this, i](const HttpRequest& request) {
        const std::string id(request.fields.Get("X-Attempt-Id"));
        arrivals[i].push_back({std::chrono::steady_clock::now(), id});
        endpoints_of[id].insert(i);
        return respond_(i, request);
      });
    }
    links_.resize(relay_count);
    for (std::size_t relay = 0; relay < relay_count; ++relay) {
      // A host of its own, so that each is told apart by the others.
      relays.push_back(std::make_unique<PeerRelay>(
          context_, rows_, static_cast<int>(relay) + 1, "dc-0",
          SampleConfiguration(true).Build()));
      for (const auto& endpoint : endpoints_) {
        links_[relay].push_back(std::make_unique<fakes::CuttableLink>(
            context_, endpoint->address()));
      }
      relays.back()->WatchEndpoints(context_);
      relays.back()->TakeForwardedRequests();
      for (std::size_t i = 0; i < endpoint_count; ++i) {
        Announce(relay, i, 1);
      }
    }
    RunFor(std::chrono::milliseconds(800));
  }
  ~RelayNetwork() {
    is_stopping_ = true;
    for (std::size_t relay = 0; relay < relays.size(); ++relay) {
      SetLinks(relay, fakes::LinkState::kUp);
    }
    CutOff(context_, relays);
  }
  RelayNetwork(const RelayNetwork&) = delete;
  RelayNetwork& operator=(const RelayNetwork&) = delete;

  /// Lists a run of an endpoint at a relay.
  void Announce(std::size_t relay,
                std::size_t endpoint,
                std::uint64_t started_at_ms) {
    for (const std::string service : {"model", "plain"}) {
      EndpointRecord record;
      record.id = service + std::to_string(endpoint);
      record.service = service;
      record.address = links_[relay][endpoint]->address();
      record.data_centre = "dc-" + std::to_string(endpoint);
      record.started_at_ms = started_at_ms;
      if (service == "model") {
        record.kind = "whole";
        record.layers = {0, 80};
      }
      relays[relay]->state.directory().Upsert(record);
    }
  }

  /// Sets the start of its run that an endpoint itself reports.
  void SetReportedStart(std::size_t endpoint, std::uint64_t started_at_ms) {
    endpoints_[endpoint]->report = R"({"born":)" +
                                   std::to_string(started_at_ms) +
                                   R"(,"Layers":{"From":0,"To":80}})";
    endpoints_[endpoint]->report_script.clear();
  }
  /// The same of a run that is leaving, and says so in its report.
  void SetReportedLeaving(std::size_t endpoint, std::uint64_t started_at_ms) {
    SetReportedStart(endpoint, started_at_ms);
    const std::string& report = endpoints_[endpoint]->report;
    endpoints_[endpoint]->report_script = {
        fakes::Send("HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n"
                    "Content-Length: " +
                    std::to_string(report.size()) + "\r\n\r\n" + report),
        fakes::Close()};
  }

  /// Cuts a relay off from all endpoints, or connects it again.
  void SetLinks(std::size_t relay, fakes::LinkState state) {
    for (const auto& link : links_[relay]) {
      link->Set(state);
    }
  }
  void SetLink(std::size_t relay,
               std::size_t endpoint,
               fakes::LinkState state) {
    links_[relay][endpoint]->Set(state);
  }

  /// Sends a request of a caller.
  ///
  /// \returns its id.
  std::string Send(std::size_t relay, const std::string& path) {
    std::string id = "r" + std::to_string(++requests_);
    boost::asio::co_spawn(context_, SendOne(relay, path, id),
                          boost::asio::detached);
    return id;
  }

  /// Sends requests to the first relays in turn until the end, each to a path
  /// of its own below the next one of `paths`.
  void StartLoad(std::size_t relay_count,
                 std::vector<std::string> paths,
                 std::chrono::milliseconds interval) {
    boost::asio::co_spawn(context_,
                          Load(relay_count, std::move(paths), interval),
                          boost::asio::detached);
  }

  void StopLoad() { is_stopping_ = true; }

  void RunFor(std::chrono::milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

  /// Precondition: the request has been answered.
  [[nodiscard]] const Answer& ResponseOf(const std::string& id) const {
    return *std::find_if(answers.begin(), answers.end(),
                         [&](const Answer& it) { return it.id == id; });
  }

  /// Number of requests that ran on more endpoints than this.
  [[nodiscard]] std::size_t CountOverBound(std::size_t max_endpoints) const {
    std::size_t count = 0;
    for (const auto& [id, endpoints] : endpoints_of) {
      count += endpoints.size() > max_endpoints ? 1 : 0;
    }
    return count;
  }

  std::vector<std::unique_ptr<PeerRelay>> relays;
  std::vector<Answer> answers;
  /// The endpoints that each request has reached.
  std::map<std::string, std::set<std::size_t>> endpoints_of;

 private:
  boost::asio::awaitable<void> Load(std::size_t relay_count,
                                    std::vector<std::string> paths,
                                    std::chrono::milliseconds interval) {
    for (std::size_t i = 0; !is_stopping_; ++i) {
      // Requests that are all alike would be quarantined when endpoints fail.
      Send(i % relay_count,
           paths[i / relay_count % paths.size()] + std::to_string(i));
      co_await Pause(interval);
    }
  }

  boost::asio::awaitable<void> SendOne(std::size_t relay,
                                       std::string path,
                                       std::string id) {
    HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.fields.Add("Host", "a.example");
    request.fields.Add("X-Attempt-Id", id);
    request.fields.Add("X-Deadline-Ms", "8000");
    Answer answer{.sent = std::chrono::steady_clock::now(),
                  .relay = relay,
                  .path = std::move(path),
                  .id = std::move(id)};
    const auto response =
        co_await FetchHttp(relays[relay]->server.address(), request,
                           std::chrono::seconds(9), 1UL << 20U);
    if (response) {
      answer.status = response->status;
      answer.body = response->body;
    }
    answers.push_back(std::move(answer));
  }

  Responder respond_;
  std::vector<std::unique_ptr<fakes::ScriptedEndpoint>> endpoints_;
  std::vector<std::vector<std::unique_ptr<fakes::CuttableLink>>> links_;
  std::size_t requests_ = 0;
  bool is_stopping_ = false;

 public:
  /// What has reached each endpoint.
  std::vector<std::vector<Arrival>> arrivals;
};

}  // namespace sycamoreford::support
