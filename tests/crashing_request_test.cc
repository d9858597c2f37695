// Sends requests through several relays to endpoints that crash under one of
// them, which comes again and again, and counts how often it reaches endpoints.
#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "fakes/crashing_endpoint.h"
#include "fakes/fake_table.h"
#include "support/cut_off.h"
#include "support/peer_relay.h"
#include "support/sample_configuration.h"
#include "sycamoreford/adapters/http_client.h"

namespace sycamoreford {
namespace {

namespace asio = boost::asio;
using fakes::CrashingEndpoint;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::PeerRelay;
using Time = CrashingEndpoint::Time;

/// Time in which daemons that are in contact learn of an event.
constexpr milliseconds kContactTime{3'000};
constexpr std::size_t kEndpoints = 3;
constexpr int kRelays = 3;
constexpr milliseconds kRestartTime{1'500};

struct Question {
  std::string path;
  std::string api_key = "key-1";
  std::string body{};
  std::string prompt{};
};

std::shared_ptr<const Manifest> Configuration() {
  Manifest::Builder builder = support::SampleConfiguration();
  for (const std::string number : {"1", "2"}) {
    RelayCustomer customer;
    customer.name = "customer-" + number;
    customer.api_keys = {"key-" + number};
    builder.AddCustomer(customer);
  }
  return builder.Build();
}

/// Few endpoints of both services, and relays in front of them.
class Deployment {
  // Destroyed after what uses it.
  asio::io_context context_{1};

 public:
  struct Answer {
    Time sent;
    Question question;
    unsigned status = 0;
    std::string retry_after;
  };

  explicit Deployment(Question culprit)
      : culprit_(std::move(culprit)), runs_(kEndpoints, 1) {
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      endpoints.push_back(std::make_unique<CrashingEndpoint>(
          context_, [this](const auto& request) { return Crashes(request); },
          [this, i] {
            ++runs_[i];
            for (const auto& relay : relays_) {
              Announce(*relay, i);
            }
          }));
      endpoints.back()->restart_time = kRestartTime;
    }
    for (int i = 0; i < kRelays; ++i) {
      AddRelay();
    }
    RunFor(milliseconds(800));
  }
  ~Deployment() {
    is_stopping_ = true;
    support::CutOff(context_, relays_);
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  void AddRelay() {
    const int host = 2 + static_cast<int>(relays_.size());
    relays_.push_back(std::make_unique<PeerRelay>(context_, rows_, host, "dc-0",
                                                  Configuration()));
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      Announce(*relays_.back(), i);
    }
  }

  /// Sends questions in turn, to each relay in turn, until the end.
  void StartLoad(std::vector<Question> questions, milliseconds interval) {
    asio::co_spawn(context_, Load(std::move(questions), interval),
                   asio::detached);
  }
  /// Sends the culprit twice within some ms, and again after `interval`.
  void StartCulprit(milliseconds interval) {
    asio::co_spawn(context_, LoadCulprit(interval), asio::detached);
  }
  void RunFor(milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

  [[nodiscard]] std::vector<Time> Crashes() const {
    std::vector<Time> crashes;
    for (const auto& endpoint : endpoints) {
      crashes.insert(crashes.end(), endpoint->crashes().begin(),
                     endpoint->crashes().end());
    }
    std::sort(crashes.begin(), crashes.end());
    return crashes;
  }
  /// Number of times that the culprit reached endpoints after `from`.
  [[nodiscard]] std::ptrdiff_t ArrivalsAfter(Time from) const {
    std::ptrdiff_t count = 0;
    for (const auto& endpoint : endpoints) {
      const auto& arrivals = endpoint->arrivals();
      count += std::count_if(arrivals.begin(), arrivals.end(),
                             [&](const auto& it) { return it.at > from; });
    }
    return count;
  }
  /// Share of the other requests sent in a period that were served.
  [[nodiscard]] double ServedShare(Time from, Time to) const {
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const Answer& answer : answers) {
      if (answer.sent >= from && answer.sent < to && !IsCulprit(answer)) {
        ++sent;
        served += answer.status == 200 ? 1 : 0;
      }
    }
    REQUIRE(sent >= 20);
    return static_cast<double>(served) / static_cast<double>(sent);
  }
  [[nodiscard]] bool IsCulprit(const Answer& answer) const {
    const Question& it = answer.question;
    return it.path == culprit_.path && it.api_key == culprit_.api_key &&
           it.body == culprit_.body && it.prompt == culprit_.prompt;
  }

  std::vector<std::unique_ptr<CrashingEndpoint>> endpoints;
  std::vector<Answer> answers;

 private:
  [[nodiscard]] bool Crashes(const CrashingEndpoint::Message& request) const {
    const std::string customer =
        culprit_.api_key == "key-1" ? "customer-1" : "customer-2";
    return request.target() == culprit_.path &&
           request["X-Tenant-Name"] == customer &&
           request.body() == culprit_.body &&
           request["X-Prompt-Prefix"] == culprit_.prompt;
  }

  void Announce(PeerRelay& relay, std::size_t index) const {
    for (const std::string service : {"model", "plain"}) {
      EndpointRecord record;
      record.id = service + std::to_string(index);
      record.service = service;
      record.address = endpoints[index]->address();
      record.data_centre = "dc-" + std::to_string(index);
      record.started_at_ms = runs_[index];
      if (service == "model") {
        record.kind = "whole";
        record.layers = {0, 80};
      }
      relay.state.directory().Upsert(record);
    }
  }

  asio::awaitable<void> Load(std::vector<Question> questions,
                             milliseconds interval) {
    for (std::size_t i = 0; !is_stopping_; ++i) {
      Send(i, questions[i % questions.size()]);
      co_await Pause(interval);
    }
  }
  asio::awaitable<void> LoadCulprit(milliseconds interval) {
    for (std::size_t i = 0; !is_stopping_; ++i) {
      Send(i, culprit_);
      co_await Pause(milliseconds(30));
      Send(i + 1, culprit_);
      co_await Pause(interval);
    }
  }
  void Send(std::size_t number, const Question& question) {
    asio::co_spawn(context_, SendOne(number % relays_.size(), question),
                   asio::detached);
  }

  asio::awaitable<void> SendOne(std::size_t relay, Question question) {
    HttpRequest request;
    request.method = question.body.empty() ? "GET" : "POST";
    request.target = question.path;
    request.body = question.body;
    request.fields.Add("Host", "a.example");
    request.fields.Add("X-Attempt-Id", "r" + std::to_string(++requests_));
    request.fields.Add("Api-Key", question.api_key);
    if (!question.prompt.empty()) {
      request.fields.Add("X-Prompt-Prefix", question.prompt);
    }
    Answer answer{.sent = std::chrono::steady_clock::now(),
                  .question = std::move(question)};
    const auto response = co_await FetchHttp(relays_[relay]->server.address(),
                                             request, seconds(5), 1UL << 20U);
    if (response) {
      answer.status = response->status;
      answer.retry_after = response->fields.Get("Retry-After");
    }
    answers.push_back(std::move(answer));
  }

  fakes::FakeTable rows_;
  Question culprit_;
  std::vector<std::uint64_t> runs_;
  std::vector<std::unique_ptr<PeerRelay>> relays_;
  std::size_t requests_ = 0;
  bool is_stopping_ = false;
};

TEST_CASE("a request that crashes endpoints stops reaching them") {
  Question culprit{.path = "/safe/1"};
  std::vector<Question> sound;
  SECTION("of a plain service, without a body") {
    sound = {{.path = "/safe/2"},
             {.path = "/safe/1?q"},
             {.path = "/safe/1", .api_key = "key-2"},
             {.path = "/once/1", .body = "b"}};
  }
  SECTION("that runs at most once, with a body") {
    culprit = {.path = "/once/1", .body = "bad"};
    sound = {{.path = "/once/1", .body = "good"},
             {.path = "/once/1", .api_key = "key-2", .body = "bad"},
             {.path = "/safe/1"}};
  }
  SECTION("of a model, whose prompt has no shared part") {
    culprit = {.path = "/stream/1", .body = "p", .prompt = "dead:90"};
    sound = {{.path = "/stream/1", .body = "p", .prompt = "1:90"},
             {.path = "/stream/1",
              .api_key = "key-2",
              .body = "p",
              .prompt = "dead:90"}};
  }
  SECTION("of a model, whose prompt has a part that others share") {
    culprit = {.path = "/stream/1", .body = "p", .prompt = "f:700,dead:90"};
    sound = {{.path = "/stream/1", .body = "p", .prompt = "f:700,1:90"},
             {.path = "/stream/1", .body = "q", .prompt = "f:700,dead:90"}};
  }

  Deployment deployment(culprit);
  deployment.StartLoad(sound, milliseconds(40));
  deployment.RunFor(seconds(1));
  const Time calm_from = std::chrono::steady_clock::now();
  deployment.RunFor(seconds(2));
  const Time calm_to = std::chrono::steady_clock::now() - seconds(1);
  const double calm_share = deployment.ServedShare(calm_from, calm_to);
  REQUIRE(calm_share > 0.9);

  deployment.StartCulprit(milliseconds(2'500));
  deployment.RunFor(seconds(6));
  // A daemon that starts later must learn of the request as well.
  deployment.AddRelay();
  deployment.RunFor(kContactTime + seconds(7));
  const Time end = std::chrono::steady_clock::now() - seconds(1);

  const auto crashes = deployment.Crashes();
  REQUIRE(crashes.size() >= 3);
  const Time third = crashes[2];
  REQUIRE(end - third > 2 * kContactTime + seconds(2));
  CHECK(deployment.ArrivalsAfter(third + kContactTime) <= 3);
  // Three before it is known, and two more in the minute after.
  CHECK(crashes.size() <= 5);
  CHECK(deployment.ServedShare(third + kContactTime, end) >= 0.9 * calm_share);
  for (const auto& answer : deployment.answers) {
    if (deployment.IsCulprit(answer) && answer.sent > third + kContactTime) {
      CHECK((answer.status == 503 || answer.status == 502));
      CHECK((answer.status != 503 || std::stod(answer.retry_after) >= 0.3));
    }
  }
}

TEST_CASE("a request that is there when endpoints crash is served again") {
  const Question popular{.path = "/safe/2"};
  Deployment deployment({.path = "/safe/1"});
  deployment.StartLoad({popular}, milliseconds(15));
  deployment.RunFor(seconds(1));

  milliseconds pause{0};
  SECTION("all at once") {}
  SECTION("one after the other") {
    pause = milliseconds(300);
  }
  for (int round = 0; round < 2; ++round) {
    for (const auto& endpoint : deployment.endpoints) {
      endpoint->Kill();
      deployment.RunFor(pause);
    }
    deployment.RunFor(kRestartTime + milliseconds(500));
    const Time back = std::chrono::steady_clock::now();
    deployment.RunFor(seconds(2));
    CHECK(deployment.ServedShare(back, back + seconds(1)) > 0.95);
  }
}

}  // namespace
}  // namespace sycamoreford
