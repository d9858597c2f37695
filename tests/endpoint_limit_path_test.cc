// Sends requests through several relays to an endpoint that states how many
// requests a second it accepts from all of them, and counts what it gets.
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
#include "support/sample_engine.h"
#include "sycamoreford/adapters/http_client.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using fakes::EndpointScript;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::PeerRelay;
using Time = std::chrono::steady_clock::time_point;

/// Time in which daemons that are in contact learn of a limit.
constexpr milliseconds kContactTime{3'000};
/// Time over which an endpoint counts its requests.
constexpr seconds kWindow{4};
/// Requests beyond the limit that an endpoint accepts in a window.
constexpr double kTolerance = 5;

std::shared_ptr<const Manifest> Configuration() {
  RelayService model;
  model.name = "model";
  model.engine = support::SampleEngine();
  model.engine->kinds["whole"] = {300'000, 1, 1};
  RelayService plain;
  plain.name = "plain";
  Manifest::Builder builder(1);
  for (const std::string service : {"model", "plain"}) {
    RelayRoute route;
    route.name = service;
    route.host = "a.example";
    route.path_prefix = "/" + service + "/";
    route.retry_policy =
        service == "model" ? RetryPolicy::kResumable : RetryPolicy::kIdempotent;
    route.streams = service == "model";
    route.max_attempts = 2;
    route.allows_anonymous = true;
    route.services = {{service, 1}};
    builder.AddRoute(route);
  }
  return builder.AddService(model).AddService(plain).Build();
}

/// An endpoint of both services that may state a limit.
class LimitedEndpoint {
 public:
  explicit LimitedEndpoint(asio::io_context& context) : endpoint_(context) {
    endpoint_.SetResponder([this](const HttpRequest& request) {
      arrivals_.push_back(std::chrono::steady_clock::now());
      return Respond(request);
    });
  }

  /// Header of all responses; empty to state no limit.
  std::string limit_header;
  milliseconds response_time{0};

  [[nodiscard]] std::string address() const { return endpoint_.address(); }

  [[nodiscard]] std::size_t ArrivalsIn(Time from, Time to) const {
    return static_cast<std::size_t>(
        std::count_if(arrivals_.begin(), arrivals_.end(),
                      [&](Time it) { return it >= from && it < to; }));
  }

  /// The most arrivals in a window between `from` and `to`.
  [[nodiscard]] std::size_t MostArrivalsInWindow(Time from, Time to) const {
    std::size_t most = 0;
    for (const Time begin : arrivals_) {
      if (begin >= from && begin + kWindow <= to) {
        most = std::max(most, ArrivalsIn(begin, begin + kWindow));
      }
    }
    return most;
  }

 private:
  [[nodiscard]] EndpointScript Respond(const HttpRequest& request) const {
    const std::string id(request.fields.Get("X-Attempt-Id"));
    std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                       "\r\nX-Response-Seal: s\r\n" + limit_header;
    if (request.target.starts_with("/plain")) {
      head += "Content-Length: 4\r\n\r\nbody";
      return {fakes::Wait(response_time), fakes::Send(head), fakes::Close()};
    }
    head +=
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    return {fakes::Wait(response_time),
            fakes::Send(head + support::Part(support::Event(0))),
            fakes::Wait(milliseconds(50)),
            fakes::Send(support::Part(support::Event(1)) + support::BodyEnd()),
            fakes::Close()};
  }

  fakes::ScriptedEndpoint endpoint_;
  std::vector<Time> arrivals_;
};

/// Relays in front of endpoints in different data centres.
class Deployment {
  // Destroyed after what uses it.
  asio::io_context context_{1};

 public:
  struct Answer {
    Time sent;
    Duration time;
    unsigned status = 0;
    std::string retry_after;
  };

  Deployment() {
    for (int i = 0; i < 2; ++i) {
      endpoints.push_back(std::make_unique<LimitedEndpoint>(context_));
    }
    // Requests go to the first endpoint while it takes them.
    endpoints.back()->response_time = milliseconds(40);
    for (int i = 0; i < 4; ++i) {
      AddDaemon();
    }
  }
  ~Deployment() {
    is_stopping_ = true;
    support::CutOff(context_, daemons_);
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void AddDaemon() {
    daemons_.push_back(std::make_unique<PeerRelay>(
        context_, rows_, 2 + static_cast<int>(daemons_.size()), "dc-0",
        Configuration()));
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      Announce(*daemons_.back(), i, "model");
      Announce(*daemons_.back(), i, "plain");
    }
  }

  /// Removes the endpoint to which requests can go instead of the first.
  void RemoveSecondEndpoint() {
    for (const auto& daemon : daemons_) {
      for (const std::string id : {"model1", "plain1"}) {
        daemon->state.directory().Remove(id, {}, Duration::zero());
      }
    }
  }

  /// Sends requests at fixed intervals for as long as this object exists.
  ///
  /// \param uneven whether nine of ten requests go to the same daemon.
  void StartLoad(const std::string& path, milliseconds interval, bool uneven) {
    asio::co_spawn(context_, Load(path, interval, uneven), asio::detached);
  }

  void RunFor(milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

  std::vector<std::unique_ptr<LimitedEndpoint>> endpoints;
  std::vector<Answer> answers;

 private:
  void Announce(PeerRelay& daemon,
                std::size_t index,
                const std::string& service) const {
    EndpointRecord record;
    record.id = service + std::to_string(index);
    record.service = service;
    record.address = endpoints[index]->address();
    record.data_centre = "dc-" + std::to_string(index);
    if (service == "model") {
      record.kind = "whole";
      record.layers = {0, 80};
    }
    daemon.state.directory().Upsert(record);
  }

  asio::awaitable<void> Load(std::string path,
                             milliseconds interval,
                             bool uneven) {
    for (std::size_t i = 0; !is_stopping_; ++i) {
      const std::size_t index = uneven && i % 10 != 0 ? 0 : i;
      asio::co_spawn(context_, SendOne(path, i, index % daemons_.size()),
                     asio::detached);
      co_await Pause(interval);
    }
  }

  asio::awaitable<void> SendOne(std::string path,
                                std::size_t number,
                                std::size_t daemon) {
    HttpRequest request;
    request.method = "POST";
    request.target = std::move(path);
    request.fields.Add("Host", "a.example");
    request.fields.Add("X-Attempt-Id", "r" + std::to_string(number));
    const Time sent = std::chrono::steady_clock::now();
    const auto response =
        co_await FetchHttp(daemons_[daemon]->server.address(), request,
                           seconds(5), 1UL * 1024 * 1024);
    answers.push_back(
        {.sent = sent,
         .time = std::chrono::steady_clock::now() - sent,
         .status = response ? response->status : 0,
         .retry_after =
             response ? std::string(response->fields.Get("Retry-After")) : ""});
  }

  fakes::FakeTable rows_;
  std::vector<std::unique_ptr<PeerRelay>> daemons_;
  bool is_stopping_ = false;
};

TEST_CASE("endpoints get no more requests than the limit that they state") {
  constexpr double kLimit = 5;
  const std::string path = GENERATE("/model/1", "/plain/1");
  const bool uneven = GENERATE(false, true);
  CAPTURE(path, uneven);
  Deployment deployment;
  LimitedEndpoint& limited = *deployment.endpoints.front();
  deployment.StartLoad(path, milliseconds(15), uneven);
  deployment.RunFor(seconds(1));
  limited.limit_header = "Server-Limit: 5.0\r\n";
  const Time named = std::chrono::steady_clock::now();
  deployment.RunFor(kContactTime);

  SECTION("another endpoint takes the rest") {
    deployment.RunFor(seconds(2));
    // A daemon that has just started has not seen the limit itself.
    deployment.AddDaemon();
    deployment.RunFor(seconds(5));
    const Time from = named + kContactTime;
    const Time end = std::chrono::steady_clock::now();
    const double time = std::chrono::duration<double>(end - from).count();
    CHECK(static_cast<double>(limited.MostArrivalsInWindow(from, end)) <=
          kLimit * kWindow.count() + kTolerance);
    CHECK(static_cast<double>(limited.ArrivalsIn(from, end)) >=
          0.8 * kLimit * time);
    CHECK(std::all_of(deployment.answers.begin(), deployment.answers.end(),
                      [](const auto& it) { return it.status == 200; }));

    limited.limit_header.clear();
    deployment.RunFor(seconds(2));
    const Time released = std::chrono::steady_clock::now();
    deployment.RunFor(seconds(2));
    CHECK(static_cast<double>(limited.ArrivalsIn(
              released, std::chrono::steady_clock::now())) > 4 * kLimit);
  }

  SECTION("the rest is refused at once if there is no other") {
    deployment.RemoveSecondEndpoint();
    const Time from = std::chrono::steady_clock::now();
    deployment.RunFor(seconds(5));
    const Time end = std::chrono::steady_clock::now();
    CHECK(static_cast<double>(limited.MostArrivalsInWindow(from, end)) <=
          kLimit * kWindow.count() + kTolerance);
    std::size_t refused = 0;
    std::vector<std::string> retry_times;
    for (const auto& answer : deployment.answers) {
      if (answer.sent < from || answer.status == 200) {
        continue;
      }
      ++refused;
      CHECK(answer.status == 503);
      CHECK(answer.time < milliseconds(250));
      retry_times.push_back(answer.retry_after);
    }
    REQUIRE(refused > 200);
    // Callers must not return together.
    std::sort(retry_times.begin(), retry_times.end());
    CHECK(std::unique(retry_times.begin(), retry_times.end()) -
              retry_times.begin() >
          50);
    CHECK(std::stod(retry_times.front()) > 0.1);
  }
}

}  // namespace
}  // namespace sycamoreford
