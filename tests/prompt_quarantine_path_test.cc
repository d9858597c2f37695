// Sends requests through several relays to endpoints that crash under one part
// of a prompt, and counts how many of these requests reach endpoints.
#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "fakes/crashing_endpoint.h"
#include "fakes/fake_table.h"
#include "support/cut_off.h"
#include "support/peer_relay.h"
#include "support/sample_engine.h"
#include "sycamoreford/adapters/http_client.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using fakes::CrashingEndpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::PeerRelay;
using Time = CrashingEndpoint::Time;

const std::string kCulprit = "dead0001";
/// Time in which daemons that are in contact learn of an event.
constexpr milliseconds kContactTime{3'000};
constexpr std::size_t kEndpoints = 9;

std::shared_ptr<const Manifest> Configuration() {
  RelayService model;
  model.name = "model";
  model.engine = support::SampleEngine();
  model.engine->kinds["whole"] = {300'000, 1, 1};
  RelayRoute route;
  route.name = "r";
  route.host = "a.example";
  route.path_prefix = "/stream/";
  route.retry_policy = RetryPolicy::kResumable;
  route.streams = true;
  route.max_attempts = 2;
  route.services = {{"model", 1}};
  RelayCustomer customer;
  customer.name = "bells";
  customer.api_keys = {"key-1"};
  return Manifest::Builder(1)
      .AddRoute(route)
      .AddService(model)
      .AddCustomer(customer)
      .Build();
}

bool HasCulprit(const CrashingEndpoint::Message& request) {
  return std::string(request["X-Prompt-Prefix"]).find(kCulprit) !=
         std::string::npos;
}

/// Endpoints of one model in three data centres, and relays in front of them.
class Deployment {
 public:
  Deployment() : runs_(kEndpoints, 1) {
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      endpoints_.push_back(
          std::make_unique<CrashingEndpoint>(context_, HasCulprit, [this, i] {
            ++runs_[i];
            for (const auto& daemon : daemons_) {
              Announce(*daemon, i);
            }
          }));
    }
    for (int i = 0; i < 3; ++i) {
      AddDaemon();
    }
  }

  ~Deployment() { Stop(); }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Ends all requests.
  void Stop() {
    is_stopping_ = true;
    support::CutOff(context_, daemons_);
  }

  [[nodiscard]] bool is_stopping() const noexcept { return is_stopping_; }

  void AddDaemon() {
    const int host = 2 + static_cast<int>(daemons_.size());
    daemons_.push_back(std::make_unique<PeerRelay>(context_, rows_, host,
                                                   "dc-0", Configuration()));
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      Announce(*daemons_.back(), i);
    }
  }

  /// Sends a request with these prompt parts, to each daemon in turn.
  ///
  /// \returns whether the caller received the whole stream.
  asio::awaitable<bool> Fetch(std::string parts) {
    const std::size_t number = ++requests_;
    HttpRequest request;
    request.method = "POST";
    request.target = "/stream/1";
    request.fields.Add("Host", "a.example");
    request.fields.Add("X-Attempt-Id", "r" + std::to_string(number));
    request.fields.Add("Api-Key", "key-1");
    request.fields.Add("X-Prompt-Prefix",
                       parts + ",abc" + std::to_string(number) + ":50");
    const std::string address =
        daemons_[number % daemons_.size()]->server.address();
    const auto response =
        co_await FetchHttp(address, request, seconds(5), 1UL * 1024 * 1024);
    const std::string last =
        "id: " + std::to_string(CrashingEndpoint::kEvents - 1) + "\n";
    co_return response.has_value() && response->status == 200 &&
        response->body.find(last) != std::string::npos;
  }

  void RunFor(milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

  [[nodiscard]] std::vector<Time> Crashes() const {
    std::vector<Time> crashes;
    for (const auto& endpoint : endpoints_) {
      crashes.insert(crashes.end(), endpoint->crashes().begin(),
                     endpoint->crashes().end());
    }
    std::sort(crashes.begin(), crashes.end());
    return crashes;
  }

  /// Number of requests with the culprit that reached endpoints after `from`.
  [[nodiscard]] std::size_t ArrivalsAfter(Time from) const {
    std::size_t count = 0;
    for (const auto& endpoint : endpoints_) {
      const auto& arrivals = endpoint->arrivals();
      count += static_cast<std::size_t>(
          std::count_if(arrivals.begin(), arrivals.end(),
                        [&](const auto& it) { return it.at > from; }));
    }
    return count;
  }

  asio::io_context& context() { return context_; }

 private:
  void Announce(PeerRelay& daemon, std::size_t index) const {
    EndpointRecord record;
    record.id = "m" + std::to_string(index);
    record.service = "model";
    record.address = endpoints_[index]->address();
    record.data_centre = "dc-" + std::to_string(index % 3);
    record.kind = "whole";
    record.layers = {0, 80};
    record.started_at_ms = runs_[index];
    daemon.state.directory().Upsert(record);
  }

  asio::io_context context_{1};
  fakes::FakeTable rows_;
  std::vector<std::uint64_t> runs_;
  std::vector<std::unique_ptr<CrashingEndpoint>> endpoints_;
  std::vector<std::unique_ptr<PeerRelay>> daemons_;
  std::size_t requests_ = 0;
  bool is_stopping_ = false;
};

/// Sends requests at fixed intervals and notes which of them were served.
class Load {
 public:
  struct Sample {
    Time sent;
    bool is_served;
  };

  Load(Deployment& deployment,
       milliseconds interval,
       std::vector<std::string> prompts)
      : deployment_(deployment), prompts_(std::move(prompts)) {
    asio::co_spawn(deployment_.context(), Run(interval), asio::detached);
  }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;
  /// Ends all requests, which refer to this object.
  ~Load() { deployment_.Stop(); }

  /// Share of the requests sent in a period that were served.
  [[nodiscard]] double ServedShare(Time from, Time to) const {
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const Sample& sample : samples_) {
      if (sample.sent >= from && sample.sent < to) {
        ++sent;
        served += sample.is_served ? 1 : 0;
      }
    }
    REQUIRE(sent >= 20);
    return static_cast<double>(served) / static_cast<double>(sent);
  }

 private:
  asio::awaitable<void> Run(milliseconds interval) {
    for (std::size_t i = 0; !deployment_.is_stopping(); ++i) {
      asio::co_spawn(deployment_.context(),
                     SendOne(prompts_[i % prompts_.size()]), asio::detached);
      co_await Pause(interval);
    }
  }

  asio::awaitable<void> SendOne(std::string prompt) {
    const Time sent = std::chrono::steady_clock::now();
    const bool is_served = co_await deployment_.Fetch(std::move(prompt));
    samples_.push_back({sent, is_served});
  }

  Deployment& deployment_;
  std::vector<std::string> prompts_;
  std::vector<Sample> samples_;
};

TEST_CASE(
    "requests with a prompt part that crashes endpoints stop reaching "
    "them, and requests without it are served") {
  const std::string part = kCulprit + ":90";
  std::vector<std::string> sound = {"f1:800,d1:40", "f1:800,d2:40",
                                    "f2:700,d1:40", "f2:700"};
  std::vector<std::string> crashing;
  SECTION("at any place in the prompt") {
    crashing = {"f1:800," + part, "f2:700," + part + ",d1:40", part + ",d2:40",
                "f1:800,d1:40," + part};
  }
  SECTION("always after the same first part") {
    crashing = {"f1:800," + part};
    sound = {"f1:800,d1:40", "f1:800,d2:40", "f1:800"};
  }
  SECTION("always before the same second part") {
    crashing = {part + ",d1:40"};
    sound = {"f1:800,d1:40", "f2:700,d1:40"};
  }
  // Guards against parts that are not looked at, or crowded out by others.
  SECTION("behind three hundred others") {
    std::string others;
    for (int i = 100; i < 400; ++i) {
      others += "e" + std::to_string(i) + ":3,";
    }
    crashing = {others + part};
    sound = {others + "d1:40", others + "d2:40", others + "d3:40"};
  }

  Deployment deployment;
  const Load sound_load(deployment, milliseconds(40), sound);
  deployment.RunFor(seconds(1));
  const Time calm_from = std::chrono::steady_clock::now();
  deployment.RunFor(seconds(2));
  const Time calm_to = std::chrono::steady_clock::now() - seconds(1);
  const double calm_share = sound_load.ServedShare(calm_from, calm_to);
  REQUIRE(calm_share > 0.9);

  const Load crashing_load(deployment, milliseconds(130), crashing);
  deployment.RunFor(seconds(5));
  // A daemon that starts later must learn of the part as well.
  deployment.AddDaemon();
  deployment.RunFor(kContactTime + seconds(5));
  const Time end = std::chrono::steady_clock::now() - seconds(1);

  const auto crashes = deployment.Crashes();
  REQUIRE(crashes.size() >= 3);
  const Time decisive = crashes[std::min<std::size_t>(crashes.size(), 5) - 1];
  REQUIRE(end - decisive > 2 * kContactTime + seconds(2));
  CHECK(deployment.ArrivalsAfter(decisive + kContactTime) <= 3);
  CHECK(sound_load.ServedShare(decisive + 2 * kContactTime, end) >=
        calm_share / 2);
}

}  // namespace
}  // namespace sycamoreford
