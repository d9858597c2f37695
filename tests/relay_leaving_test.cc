// Sends requests through several relays to an endpoint that says in its
// responses that it leaves, which no list says yet or any more.
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

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
using fakes::EndpointScript;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::PeerRelay;
using Time = std::chrono::steady_clock::time_point;

/// Time after which a daemon that has passed on such a response must not send
/// requests to the endpoint any more.
constexpr milliseconds kDrainTime{2'000};
constexpr std::size_t kRelays = 3;
constexpr int kEvents = 4;
constexpr int kLongStreamEvents = 50;
constexpr milliseconds kEventInterval{60};
const std::string kLeaving = "Server-Leaving: 1\r\n";

std::shared_ptr<const Manifest> Configuration() {
  return support::SampleConfiguration(true).Build();
}

/// An endpoint of both services.
class LeavingEndpoint {
 public:
  explicit LeavingEndpoint(asio::io_context& context) : endpoint_(context) {
    endpoint_.report = R"({"Layers":{"From":0,"To":80}})";
    endpoint_.SetResponder([this](const HttpRequest& request) {
      arrivals.push_back(std::chrono::steady_clock::now());
      return Respond(request);
    });
  }

  bool is_leaving = false;
  /// Whether it turns all requests away.
  bool rejects = false;
  milliseconds response_time{0};
  std::vector<Time> arrivals;

  [[nodiscard]] std::string address() const { return endpoint_.address(); }
  [[nodiscard]] std::ptrdiff_t ArrivalsAfter(Time time) const {
    return std::count_if(arrivals.begin(), arrivals.end(),
                         [&](Time it) { return it > time; });
  }

 private:
  [[nodiscard]] EndpointScript Respond(const HttpRequest& request) const {
    const std::string id =
        "X-Attempt-Id: " + std::string(request.fields.Get("X-Attempt-Id")) +
        "\r\n" + (is_leaving ? kLeaving : "");
    if (rejects) {
      return {fakes::Send("HTTP/1.1 503 Service Unavailable\r\n" + id +
                          "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"),
              fakes::Close()};
    }
    const std::string head =
        "HTTP/1.1 200 OK\r\n" + id + "X-Response-Seal: s\r\n";
    if (!request.target.starts_with("/stream")) {
      return {fakes::Wait(response_time),
              fakes::Send(head + "Content-Length: 4\r\n\r\nbody"),
              fakes::Close()};
    }
    EndpointScript script = {fakes::Send(head +
                                         "Content-Type: text/event-stream\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n")};
    const int events =
        request.target == "/stream/long" ? kLongStreamEvents : kEvents;
    for (int event = 0; event < events; ++event) {
      script.push_back(fakes::Send(support::Part(support::Event(event))));
      script.push_back(fakes::Wait(kEventInterval));
    }
    script.push_back(fakes::Send(support::BodyEnd()));
    script.push_back(fakes::Close());
    return script;
  }

  fakes::ScriptedEndpoint endpoint_;
};

/// Relays in front of endpoints that they know from a list that does not
/// change by itself.
class Deployment {
  // Destroyed after what uses it.
  asio::io_context context_{1};

 public:
  struct Answer {
    Time sent;
    Duration time;
    std::string path;
    unsigned status = 0;
    std::string body;
    std::string retry_after;
  };

  explicit Deployment(std::size_t endpoint_count) {
    for (std::size_t i = 0; i < endpoint_count; ++i) {
      endpoints.push_back(std::make_unique<LeavingEndpoint>(context_));
    }
    // Requests go to the first endpoint while it takes them.
    endpoints.back()->response_time = milliseconds(40);
    endpoints.front()->response_time = milliseconds(10);
    for (std::size_t i = 0; i < kRelays; ++i) {
      relays_.push_back(std::make_unique<PeerRelay>(context_, rows_, 1, "dc-0",
                                                    Configuration()));
    }
    for (std::size_t i = 0; i < endpoint_count; ++i) {
      Announce(i, 1);
    }
    RunFor(milliseconds(800));
  }
  ~Deployment() {
    is_stopping_ = true;
    support::CutOff(context_, relays_);
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Lists a run of an endpoint as sound at all relays.
  void Announce(std::size_t index, std::uint64_t started_at_ms) {
    for (const std::string service : {"model", "plain"}) {
      EndpointRecord record;
      record.id = service + std::to_string(index);
      record.service = service;
      record.address = endpoints[index]->address();
      record.data_centre = "dc-" + std::to_string(index);
      record.started_at_ms = started_at_ms;
      if (service == "model") {
        record.kind = "whole";
        record.layers = {0, 80};
      }
      for (const auto& relay : relays_) {
        relay->state.directory().Upsert(record);
      }
    }
  }
  /// Removes an endpoint from the list of all relays.
  void Remove(std::size_t index) {
    for (const auto& relay : relays_) {
      for (const std::string service : {"model", "plain"}) {
        relay->state.directory().Remove(service + std::to_string(index),
                                        relay->clock.Now(), Duration::zero());
      }
    }
  }

  /// Sends requests to the first relays in turn until the end.
  void StartLoad(const std::string& path, std::size_t relay_count) {
    asio::co_spawn(context_, Load(path, relay_count), asio::detached);
  }
  void Send(std::size_t relay, const std::string& path) {
    asio::co_spawn(context_, SendOne(relay, path), asio::detached);
  }
  void RunFor(milliseconds time) {
    context_.restart();
    context_.run_for(time);
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

  std::vector<std::unique_ptr<LeavingEndpoint>> endpoints;
  std::vector<Answer> answers;

 private:
  asio::awaitable<void> Load(std::string path, std::size_t relay_count) {
    for (std::size_t i = 0; !is_stopping_; ++i) {
      Send(i % relay_count, path);
      co_await Pause(milliseconds(30));
    }
  }

  asio::awaitable<void> SendOne(std::size_t relay, std::string path) {
    HttpRequest request;
    request.method = "POST";
    request.target = path;
    request.fields.Add("Host", "a.example");
    request.fields.Add("X-Attempt-Id", "r" + std::to_string(++requests_));
    request.fields.Add("X-Deadline-Ms", "8000");
    const Time sent = std::chrono::steady_clock::now();
    const auto response = co_await FetchHttp(relays_[relay]->server.address(),
                                             request, seconds(9), 1UL << 20U);
    Answer answer{.sent = sent, .path = std::move(path)};
    answer.time = std::chrono::steady_clock::now() - sent;
    if (response) {
      answer.status = response->status;
      answer.body = response->body;
      answer.retry_after = response->fields.Get("Retry-After");
    }
    answers.push_back(std::move(answer));
  }

  fakes::FakeTable rows_;
  std::vector<std::unique_ptr<PeerRelay>> relays_;
  std::size_t requests_ = 0;
  bool is_stopping_ = false;
};

TEST_CASE("an endpoint that said that it leaves gets no more requests") {
  const std::string path = GENERATE("/safe/1", "/once/1", "/stream/1");
  CAPTURE(path);
  Deployment deployment(2);
  LeavingEndpoint& leaving = *deployment.endpoints.front();

  SECTION("and its callers notice nothing") {
    deployment.StartLoad(path, kRelays);
    deployment.Send(0, "/stream/long");
    deployment.RunFor(seconds(1));
    REQUIRE(leaving.arrivals.size() > 10);
    leaving.is_leaving = true;
    const Time told = std::chrono::steady_clock::now();
    deployment.RunFor(kDrainTime + seconds(2));
    CHECK(leaving.ArrivalsAfter(told + kDrainTime) == 0);
    const auto failed =
        std::count_if(deployment.answers.begin(), deployment.answers.end(),
                      [](const auto& it) { return !Deployment::IsWhole(it); });
    CHECK(failed == 0);
  }
  SECTION("nor if it said so with a rejection") {
    deployment.StartLoad(path, kRelays);
    deployment.RunFor(seconds(1));
    leaving.is_leaving = true;
    leaving.rejects = true;
    const Time told = std::chrono::steady_clock::now();
    deployment.RunFor(kDrainTime + seconds(2));
    CHECK(leaving.ArrivalsAfter(told + kDrainTime) == 0);
  }
  SECTION("nor from relays that only heard of it") {
    deployment.StartLoad(path, 1);
    deployment.RunFor(milliseconds(500));
    leaving.is_leaving = true;
    deployment.RunFor(seconds(1));
    const Time heard = std::chrono::steady_clock::now();
    leaving.is_leaving = false;
    deployment.StartLoad(path, kRelays);
    deployment.RunFor(seconds(1));
    CHECK(leaving.ArrivalsAfter(heard) == 0);
  }
  SECTION("nor when its entry is dropped and listed as sound again") {
    deployment.StartLoad(path, kRelays);
    deployment.RunFor(milliseconds(500));
    leaving.is_leaving = true;
    deployment.RunFor(seconds(1));
    deployment.Remove(0);
    deployment.RunFor(milliseconds(200));
    leaving.is_leaving = false;
    const Time listed = std::chrono::steady_clock::now();
    deployment.Announce(0, 1);
    deployment.RunFor(seconds(1));
    CHECK(leaving.ArrivalsAfter(listed) == 0);

    // Its next run is another endpoint.
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    deployment.Announce(
        0, static_cast<std::uint64_t>(
               std::chrono::duration_cast<milliseconds>(now).count()));
    deployment.RunFor(seconds(1));
    CHECK(leaving.ArrivalsAfter(listed) > 0);
  }
}

TEST_CASE("without another endpoint, requests are refused at once") {
  const std::string path = GENERATE("/safe/1", "/once/1", "/stream/1");
  CAPTURE(path);
  Deployment deployment(1);
  LeavingEndpoint& leaving = *deployment.endpoints.front();
  leaving.is_leaving = true;
  deployment.Send(0, path);
  deployment.RunFor(seconds(1));
  REQUIRE(Deployment::IsWhole(deployment.answers.front()));
  deployment.Send(1, path);
  deployment.RunFor(milliseconds(500));
  REQUIRE(deployment.answers.size() == 2);
  CHECK(deployment.answers.back().status == 503);
  CHECK_FALSE(deployment.answers.back().retry_after.empty());
  CHECK(deployment.answers.back().time < milliseconds(200));
  CHECK(leaving.arrivals.size() == 1);
}

}  // namespace
}  // namespace sycamoreford
