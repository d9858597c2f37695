// Sends requests to several relays, some of which lose their links to all
// endpoints while callers and the other relays still reach them.
#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "fakes/cuttable_link.h"
#include "fakes/fake_table.h"
#include "fakes/scripted_endpoint.h"
#include "support/cut_off.h"
#include "support/event_stream.h"
#include "support/peer_relay.h"
#include "support/sample_configuration.h"
#include "sycamoreford/adapters/http_client.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using fakes::CuttableLink;
using fakes::EndpointScript;
using fakes::LinkState;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::PeerRelay;
using Time = std::chrono::steady_clock::time_point;

/// Time in which a daemon learns that it is cut off.
constexpr milliseconds kContactTime{3'000};
constexpr std::size_t kRelays = 4;
/// The first relays are cut off.
constexpr std::size_t kCutRelays = 2;
constexpr milliseconds kEventInterval{60};
constexpr int kEvents = 4;
constexpr int kLongStreamEvents = 60;

std::shared_ptr<const Manifest> Configuration() {
  RelayCustomer customer;
  customer.name = "bells";
  customer.api_keys = {"key-1"};
  return support::SampleConfiguration().AddCustomer(customer).Build();
}

/// An endpoint of both services that notes what it runs.
class RecordingEndpoint {
 public:
  RecordingEndpoint(asio::io_context& context, std::map<std::string, int>& runs)
      : endpoint_(context), runs_(runs) {
    endpoint_.report = R"({"Layers":{"From":0,"To":80}})";
    endpoint_.SetResponder([this](const HttpRequest& request) {
      ++runs_[std::string(request.fields.Get("X-Attempt-Id"))];
      has_key = has_key || !request.fields.Get("Api-Key").empty();
      customers_are_right =
          customers_are_right && request.fields.Get("X-Tenant-Name") == "bells";
      return Respond(request);
    });
  }

  bool has_key = false;
  bool customers_are_right = true;

  [[nodiscard]] std::string address() const { return endpoint_.address(); }

 private:
  static EndpointScript Respond(const HttpRequest& request) {
    const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
                             std::string(request.fields.Get("X-Attempt-Id")) +
                             "\r\nX-Response-Seal: s\r\n";
    if (!request.target.starts_with("/stream")) {
      return {fakes::Wait(milliseconds(20)),
              fakes::Send(head + "Content-Length: 4\r\n\r\nbody"),
              fakes::Close()};
    }
    EndpointScript script = {fakes::Send(head +
                                         "Content-Type: text/event-stream\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n")};
    const std::string last(request.fields.Get("Last-Event-Id"));
    const int events =
        request.target == "/stream/long" ? kLongStreamEvents : kEvents;
    for (int id = last.empty() ? 0 : std::stoi(last) + 1; id < events; ++id) {
      script.push_back(fakes::Send(support::Part(support::Event(id))));
      script.push_back(fakes::Wait(kEventInterval));
    }
    script.push_back(fakes::Send(support::BodyEnd()));
    script.push_back(fakes::Close());
    return script;
  }

  fakes::ScriptedEndpoint endpoint_;
  std::map<std::string, int>& runs_;
};

/// Relays, each with a link of its own to each endpoint.
class Deployment {
  // Destroyed after what uses it.
  asio::io_context context_{1};

 public:
  struct Answer {
    Time sent;
    Duration time;
    std::size_t relay = 0;
    std::string path;
    unsigned status = 0;
    std::string body;
    std::string id;
  };

  Deployment() {
    for (int i = 0; i < 3; ++i) {
      endpoints.push_back(std::make_unique<RecordingEndpoint>(context_, runs));
    }
    links_.resize(kRelays);
    for (std::size_t relay = 0; relay < kRelays; ++relay) {
      relays.push_back(std::make_unique<PeerRelay>(context_, rows_, 1, "dc-0",
                                                   Configuration()));
      for (std::size_t i = 0; i < endpoints.size(); ++i) {
        links_[relay].push_back(
            std::make_unique<CuttableLink>(context_, endpoints[i]->address()));
        Announce(relay, i, "model");
        Announce(relay, i, "plain");
      }
      relays.back()->WatchEndpoints(context_);
      relays.back()->TakeForwardedRequests();
    }
  }
  ~Deployment() {
    is_stopping_ = true;
    for (std::size_t relay = 0; relay < kRelays; ++relay) {
      SetLinks(relay, LinkState::kUp);
    }
    support::CutOff(context_, relays);
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void SetLinks(std::size_t relay, LinkState state) {
    for (const auto& link : links_[relay]) {
      link->Set(state);
    }
  }
  void SetLinksOfCutRelays(LinkState state) {
    for (std::size_t relay = 0; relay < kCutRelays; ++relay) {
      SetLinks(relay, state);
    }
  }

  /// Sends requests of all kinds to all relays in turn until the end.
  void StartLoad(milliseconds interval) {
    asio::co_spawn(context_, Load(interval), asio::detached);
  }

  void Send(std::size_t relay, const std::string& path) {
    asio::co_spawn(context_, SendOne(relay, path), asio::detached);
  }

  void RunFor(milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

  /// Share of the requests sent in a period to cut-off or other relays that
  /// were served whole.
  [[nodiscard]] double ServedShare(bool at_cut_relays,
                                   Time from,
                                   Time to) const {
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const Answer& answer : answers) {
      if (answer.sent >= from && answer.sent < to &&
          (answer.relay < kCutRelays) == at_cut_relays) {
        ++sent;
        served += IsWhole(answer) ? 1 : 0;
      }
    }
    REQUIRE(sent >= 20);
    return static_cast<double>(served) / static_cast<double>(sent);
  }

  static bool IsWhole(const Answer& answer) {
    if (!answer.path.starts_with("/stream")) {
      return answer.status == 200 && answer.body == "body";
    }
    std::string whole;
    const int events =
        answer.path == "/stream/long" ? kLongStreamEvents : kEvents;
    for (int id = 0; id < events; ++id) {
      whole += support::Event(id);
    }
    return answer.status == 200 && answer.body == whole;
  }

  std::map<std::string, int> runs;
  std::vector<std::unique_ptr<RecordingEndpoint>> endpoints;
  std::vector<std::unique_ptr<PeerRelay>> relays;
  std::vector<Answer> answers;

 private:
  void Announce(std::size_t relay,
                std::size_t index,
                const std::string& service) const {
    EndpointRecord record;
    record.id = service + std::to_string(index);
    record.service = service;
    record.address = links_[relay][index]->address();
    record.data_centre = "dc-" + std::to_string(index);
    if (service == "model") {
      record.kind = "whole";
      record.layers = {0, 80};
    }
    relays[relay]->state.directory().Upsert(record);
  }

  asio::awaitable<void> Load(milliseconds interval) {
    const std::vector<std::string> paths = {"/stream/1", "/safe/1", "/once/1"};
    for (std::size_t i = 0; !is_stopping_; ++i) {
      Send(i % kRelays, paths[i / kRelays % paths.size()]);
      co_await Pause(interval);
    }
  }

  asio::awaitable<void> SendOne(std::size_t relay, std::string path) {
    HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.fields.Add("Host", "a.example");
    request.fields.Add("Api-Key", "key-1");
    const std::string id = "r" + std::to_string(++requests_);
    request.fields.Add("X-Attempt-Id", id);
    request.fields.Add("X-Deadline-Ms", "8000");
    const Time sent = std::chrono::steady_clock::now();
    const auto response = co_await FetchHttp(relays[relay]->server.address(),
                                             request, seconds(9), 1UL << 20U);
    answers.push_back({.sent = sent,
                       .time = std::chrono::steady_clock::now() - sent,
                       .relay = relay,
                       .path = std::move(path),
                       .status = response ? response->status : 0,
                       .body = response ? response->body : "",
                       .id = id});
  }

  fakes::FakeTable rows_;
  std::vector<std::vector<std::unique_ptr<CuttableLink>>> links_;
  std::size_t requests_ = 0;
  bool is_stopping_ = false;
};

TEST_CASE("callers of relays that have lost all endpoints are served") {
  const auto state =
      GENERATE(LinkState::kHanging, LinkState::kReset, LinkState::kRefusing);
  CAPTURE(static_cast<int>(state));
  Deployment deployment;
  deployment.StartLoad(milliseconds(12));
  deployment.RunFor(milliseconds(1'500));
  for (std::size_t relay = 0; relay < kCutRelays; ++relay) {
    deployment.Send(relay, "/stream/long");
  }
  deployment.RunFor(milliseconds(500));

  deployment.SetLinksOfCutRelays(state);
  const Time cut = std::chrono::steady_clock::now();
  deployment.RunFor(kContactTime + seconds(4));
  const Time restored = std::chrono::steady_clock::now();
  deployment.SetLinksOfCutRelays(LinkState::kUp);
  deployment.RunFor(seconds(5));
  const Time end = std::chrono::steady_clock::now() - seconds(1);

  const Time from = cut + kContactTime;
  CHECK(deployment.ServedShare(false, from, restored) >= 0.98);
  CHECK(deployment.ServedShare(true, from, restored) >=
        0.95 * deployment.ServedShare(false, from, restored));
  CHECK(deployment.ServedShare(true, end - seconds(2), end) >= 0.98);
  for (const auto& answer : deployment.answers) {
    if (answer.path == "/stream/long") {
      CAPTURE(answer.relay, answer.body.size());
      CHECK(Deployment::IsWhole(answer));
    }
    if (answer.path == "/once/1") {
      CAPTURE(answer.id, answer.status);
      CHECK(deployment.runs[answer.id] <= 1);
      CHECK((answer.status != 503 || deployment.runs[answer.id] == 0));
    }
  }
  for (const auto& endpoint : deployment.endpoints) {
    CHECK_FALSE(endpoint->has_key);
    CHECK(endpoint->customers_are_right);
  }
}

}  // namespace
}  // namespace sycamoreford
