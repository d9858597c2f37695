// Metrics of several daemons add up, the number of series is limited, and the
// exported text is valid for Prometheus.
#include <regex>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "support/test_deployment.h"
#include "sycamoreford/adapters/metrics_message.h"
#include "sycamoreford/metrics/prometheus_text.h"
#include "sycamoreford/metrics/request_metrics.h"
#include "sycamoreford/metrics/request_timer.h"
#include "sycamoreford/relay/relay_metrics.h"

namespace sycamoreford {
namespace {

using support::Fetch;
using support::TestDeployment;

/// A generated request: its customer, daemon and measurements.
struct RecordedRequest {
  int customer;
  int daemon;
  int duration_ms;
  int attempts;
  RequestOutcome outcome;
};

std::ostream& operator<<(std::ostream& out, const RecordedRequest& recorded) {
  return out << "{customer " << recorded.customer << ", daemon "
             << recorded.daemon << ", " << recorded.duration_ms << " ms, "
             << recorded.attempts << " attempts, " << ToString(recorded.outcome)
             << "}";
}

RequestSample SampleOf(const RecordedRequest& recorded) {
  RequestSample sample;
  sample.duration = std::chrono::milliseconds(recorded.duration_ms);
  sample.queueing = std::chrono::milliseconds(recorded.duration_ms % 7);
  sample.attempts = static_cast<std::uint32_t>(recorded.attempts);
  sample.outcome = recorded.outcome;
  if (recorded.outcome != RequestOutcome::kAnswered) {
    sample.error = Errc::kStalled;
  }
  return sample;
}

rc::Gen<std::vector<RecordedRequest>> GenerateRequests(int customers) {
  return rc::gen::container<std::vector<RecordedRequest>>(
      rc::gen::construct<RecordedRequest>(
          rc::gen::inRange(0, customers), rc::gen::inRange(0, 3),
          rc::gen::inRange(0, 2'000'000), rc::gen::inRange(0, 20),
          rc::gen::element(RequestOutcome::kAnswered, RequestOutcome::kNotRun,
                           RequestOutcome::kFailed, RequestOutcome::kUnknown)));
}

MetricsKey KeyOf(const RecordedRequest& recorded) {
  return {"customer-" + std::to_string(recorded.customer), "standard"};
}

TEST_CASE("metrics of several daemons add up to those of one") {
  REQUIRE(rc::check("after conversion to RPC messages and back", [] {
    const auto requests = *GenerateRequests(4);
    RequestMetrics one(100);
    std::vector<std::unique_ptr<RequestMetrics>> daemons;
    daemons.reserve(3);
    for (int i = 0; i < 3; ++i) {
      daemons.push_back(std::make_unique<RequestMetrics>(100));
    }
    for (const RecordedRequest& recorded : requests) {
      one.Record(KeyOf(recorded), SampleOf(recorded));
      daemons[static_cast<std::size_t>(recorded.daemon)]->Record(
          KeyOf(recorded), SampleOf(recorded));
    }
    MetricsSnapshot sum;
    for (const auto& daemon : daemons) {
      const auto read = FromMessage(ToMessage(daemon->Snapshot()));
      RC_ASSERT(read.has_value());
      sum.Add(*read);
    }
    const MetricsSnapshot expected = one.Snapshot();
    RC_ASSERT(sum.series.size() == expected.series.size());
    for (const auto& [key, series] : expected.series) {
      const RequestSeries& got = sum.series[key];
      RC_ASSERT(got.duration.counts() == series.duration.counts());
      RC_ASSERT(got.queueing.counts() == series.queueing.counts());
      RC_ASSERT(got.attempts == series.attempts);
      RC_ASSERT(got.outcomes == series.outcomes);
    }
    RC_ASSERT(sum.errors == expected.errors);
  }));
}

TEST_CASE("the number of series is limited, and every request is counted") {
  REQUIRE(rc::check("the least recently used series are merged", [] {
    constexpr std::size_t kMaxSeries = 3;
    const auto requests = *GenerateRequests(10);
    RequestMetrics metrics(kMaxSeries);
    std::vector<MetricsKey> recent;
    for (const RecordedRequest& recorded : requests) {
      metrics.Record(KeyOf(recorded), SampleOf(recorded));
      std::erase(recent, KeyOf(recorded));
      recent.push_back(KeyOf(recorded));
    }
    const MetricsSnapshot snapshot = metrics.Snapshot();
    RC_ASSERT(snapshot.series.size() <= kMaxSeries + 1);
    std::uint64_t counted = 0;
    for (const auto& [key, series] : snapshot.series) {
      counted += series.duration.count();
    }
    RC_ASSERT(counted == requests.size());
    for (std::size_t i = 0; i < std::min(kMaxSeries, recent.size()); ++i) {
      RC_ASSERT(snapshot.series.contains(recent[recent.size() - 1 - i]));
    }
  }));
}

TEST_CASE("a request timer measures queueing, tokens and duration") {
  const auto at = [](int ms) {
    return TimePoint(std::chrono::seconds(5) + std::chrono::milliseconds(ms));
  };
  RequestTimer timer(at(0));
  timer.OnDispatched(at(3));
  timer.OnDispatched(at(9));
  timer.OnToken(at(20));
  timer.OnToken(at(25));
  timer.OnToken(at(30));
  const RequestSample sample = timer.Answered(at(31));
  REQUIRE(sample.queueing == std::chrono::milliseconds(3));
  REQUIRE(sample.first_token == std::chrono::milliseconds(20));
  REQUIRE(sample.between_tokens.count() == 2);
  REQUIRE(sample.between_tokens.sum_seconds() == Approx(0.010));
  REQUIRE(sample.duration == std::chrono::milliseconds(31));
}

TEST_CASE("a duration is counted in the bin whose edges enclose it") {
  TimeHistogram histogram;
  histogram.Record(std::chrono::microseconds(50));
  histogram.Record(std::chrono::milliseconds(10));
  histogram.Record(std::chrono::hours(1));
  const TimeHistogram::Counts counts = histogram.counts();
  REQUIRE(counts.front() == 1);
  REQUIRE(counts.back() == 1);
  for (std::size_t bin = 1; bin + 1 < TimeHistogram::kBins; ++bin) {
    const bool encloses = TimeHistogram::UpperEdge(bin - 1) <= 0.010 &&
                          0.010 < TimeHistogram::UpperEdge(bin);
    REQUIRE(counts[bin] == (encloses ? 1U : 0U));
  }
}

TEST_CASE("a message with different bins is rejected") {
  RequestMetrics metrics(1);
  metrics.Record({"ringers", "standard"}, {});
  v1::MetricsReply message = ToMessage(metrics.Snapshot());
  REQUIRE(FromMessage(message).has_value());
  message.mutable_series(0)->mutable_whole()->add_counts(1);
  REQUIRE(FromMessage(message).error().code == Errc::kMalformed);
  message.set_upper_edges_seconds(0, 7);
  REQUIRE(FromMessage(message).error().code == Errc::kMalformed);
}

TEST_CASE("names cannot inject lines into the Prometheus text") {
  RequestMetrics metrics(2);
  metrics.Record({"a\"} 1\nevil 1\\", "p"}, {});
  const std::string text = ToPrometheus(metrics.Snapshot());
  REQUIRE(text.find("\nevil") == std::string::npos);
  REQUIRE(text.find(R"(customer="a\"} 1\nevil 1\\")") != std::string::npos);
}

TEST_CASE("the metrics endpoint exports a customer's requests") {
  TestDeployment deployment({});
  REQUIRE(Fetch(deployment.caller_address(0),
                TestDeployment::ChatRequest("Ring", 5, true))
              ->status == 200);
  REQUIRE(Fetch(deployment.caller_address(0),
                TestDeployment::ChatRequest("Ring", 5, false, "wrong"))
              ->status == 401);
  HttpRequest request;
  request.target = "/metrics";
  const std::string text = Fetch(deployment.caller_address(0), request)->body;
  const std::string labels = R"({customer="ringers",priority="standard"})";
  for (const char* line : {"sycamoreford_request_queueing_seconds_count%s 1\n",
                           "sycamoreford_first_token_seconds_count%s 1\n",
                           "sycamoreford_between_tokens_seconds_count%s 4\n",
                           "sycamoreford_request_seconds_count%s 1\n",
                           "sycamoreford_request_attempts_sum%s 1\n"}) {
    std::string expected = line;
    expected.replace(expected.find("%s"), 2, labels);
    INFO(expected);
    REQUIRE(text.find(expected) != std::string::npos);
  }
  REQUIRE(text.find("sycamoreford_errors_total{type=\"unauthorized\"} 1\n") !=
          std::string::npos);
  const std::regex line(
      R"(# TYPE \w+ (counter|gauge|histogram)|\w+(\{[^}]*\})? [-+0-9.e]+)");
  std::istringstream lines(text);
  for (std::string text_line; std::getline(lines, text_line);) {
    INFO(text_line);
    REQUIRE(std::regex_match(text_line, line));
  }
}

TEST_CASE("a relay counts lost responses by whether they had begun") {
  RelayMetrics metrics;
  metrics.OnResponseLost("model", true);
  metrics.OnResponseLost("model", true);
  metrics.OnResponseLost("model", false);
  const std::string text = metrics.ToPrometheus();
  const auto has_sample = [&](const std::string& begun, int count) {
    return text.find(
               "sycamoreford_relay_responses_lost_total{service=\"model\","
               "begun=\"" +
               begun + "\"} " + std::to_string(count) + "\n") !=
           std::string::npos;
  };
  REQUIRE(has_sample("yes", 2));
  REQUIRE(has_sample("no", 1));
}

}  // namespace
}  // namespace sycamoreford
