// An endpoint that is leaving gets no new work within 5 s, and no request
// fails.
#include <csignal>
#include <future>
#include <iostream>
#include <set>
#include <thread>

#include <rapidcheck.h>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "support/test_deployment.h"
#include "sycamoreford/endpoints/leaving_tracker.h"
#include "sycamoreford/endpoints/probe_schedule.h"

namespace sycamoreford {
namespace {

namespace json = boost::json;
using support::Fetch;
using support::Post;
using support::TestDeployment;

/// Maximum time until a leaving endpoint gets no new work.
constexpr std::chrono::seconds kTarget{5};

TimePoint At(int time) {
  return TimePoint(std::chrono::seconds(time));
}

/// A report that an endpoint is leaving or not, in order of arrival;
/// `requested_at` is when it was requested, or when the attempt was refused.
struct Report {
  enum class Kind { kList, kState, kRefusal } kind;
  int endpoint;
  bool leaving;
  int requested_at;
};

std::ostream& operator<<(std::ostream& out, const Report& report) {
  return out << "{kind " << static_cast<int>(report.kind) << ", endpoint "
             << report.endpoint << ", leaving " << report.leaving
             << ", requested at " << report.requested_at << "}";
}

/// Reference model: the report that was requested last wins. Of reports with
/// equal times, leaving wins for endpoints and the last to arrive for lists.
bool IsLeaving(const std::vector<Report>& all, int endpoint, bool from_list) {
  int newest = 0;
  bool leaving = false;
  for (const Report& report : all) {
    const bool is_list = report.kind == Report::Kind::kList;
    if (is_list != from_list || (!is_list && report.endpoint != endpoint)) {
      continue;
    }
    const bool says_leaving =
        is_list ? report.leaving && report.endpoint == endpoint
                : report.leaving || report.kind != Report::Kind::kState;
    if (report.requested_at > newest) {
      newest = report.requested_at;
      leaving = says_leaving;
    } else if (report.requested_at == newest) {
      leaving = is_list ? says_leaving : leaving || says_leaving;
    }
  }
  return leaving;
}

std::vector<WatchedEndpoint> Endpoints(bool operators_say_leaving) {
  return {{EndpointId("e0"), "10.0.0.1:80", operators_say_leaving},
          {EndpointId("e1"), "10.0.0.2:80", false},
          {EndpointId("e2"), "10.0.0.2:81", false}};
}

TEST_CASE("the leaving tracker matches a reference model") {
  REQUIRE(rc::check("for reports that arrive late and out of order", [] {
    const auto kinds = rc::gen::element(
        Report::Kind::kList, Report::Kind::kState, Report::Kind::kRefusal);
    const auto reports =
        *rc::gen::container<std::vector<Report>>(rc::gen::construct<Report>(
            kinds, rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>(),
            rc::gen::inRange(1, 12)));
    const bool operators_say_leaving = *rc::gen::arbitrary<bool>();
    LeavingTracker tracker;
    tracker.SetEndpoints(Endpoints(operators_say_leaving));
    std::vector<Report> all;
    for (const Report& report : reports) {
      all.push_back(report);
      const WatchedEndpoint endpoint = Endpoints(false)[report.endpoint];
      switch (report.kind) {
        case Report::Kind::kList:
          tracker.OnVmList({{endpoint.address, report.leaving}},
                           At(report.requested_at));
          break;
        case Report::Kind::kState:
          tracker.OnState(endpoint.id, endpoint.address, report.leaving,
                          At(report.requested_at));
          break;
        case Report::Kind::kRefusal:
          tracker.OnRefusal(endpoint.id, At(report.requested_at));
          break;
      }
      for (int i = 0; i < 3; ++i) {
        const LeavingSources sources =
            tracker.SourcesOf(EndpointId("e" + std::to_string(i)));
        RC_ASSERT(sources.endpoint == IsLeaving(all, i, false));
        RC_ASSERT(sources.vm_list == IsLeaving(all, i, true));
        RC_ASSERT(sources.operators == (operators_say_leaving && i == 0));
      }
    }
  }));
}

TEST_CASE("a list entry covers a whole VM or one process on it") {
  LeavingTracker tracker;
  tracker.SetEndpoints(Endpoints(false));
  tracker.OnVmList({{"10.0.0.2", true}}, At(1));
  REQUIRE(tracker.SourcesOf(EndpointId("e1")).any());
  REQUIRE(tracker.SourcesOf(EndpointId("e2")).any());
  REQUIRE_FALSE(tracker.SourcesOf(EndpointId("e0")).any());

  SECTION("an endpoint with a new address loses earlier reports") {
    auto moved = Endpoints(false);
    tracker.OnState(EndpointId("e0"), "10.0.0.1:80", true, At(2));
    moved[0].address = "10.0.0.9:80";
    tracker.SetEndpoints(moved);
    REQUIRE_FALSE(tracker.SourcesOf(EndpointId("e0")).any());
    tracker.OnState(EndpointId("e0"), "10.0.0.1:80", true, At(3));
    REQUIRE_FALSE(tracker.SourcesOf(EndpointId("e0")).any());
  }
}

TEST_CASE("every endpoint is probed regularly") {
  REQUIRE(rc::check("within max(count * call interval, min_interval)", [] {
    const int count = *rc::gen::inRange(1, 20);
    const int min_interval = *rc::gen::inRange(1, 10);
    std::vector<WatchedEndpoint> endpoints;
    endpoints.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      endpoints.push_back({EndpointId(std::to_string(i)), "10.0.0.1:1", false});
    }
    ProbeSchedule schedule(std::chrono::seconds{min_interval});
    schedule.SetEndpoints(endpoints);
    std::map<EndpointId, int> probed;
    for (int now = 1; now < 100; ++now) {
      if (const auto next = schedule.Next(At(now))) {
        RC_ASSERT(probed[next->id] == 0 ||
                  now - probed[next->id] >= min_interval);
        probed[next->id] = now;
      }
      for (const auto& [id, at] : probed) {
        RC_ASSERT(now - at <= std::max(count, min_interval));
      }
    }
    RC_ASSERT(probed.size() == endpoints.size());
  }));
  REQUIRE(rc::check("the subset is stable when others are removed", [] {
    const int count = *rc::gen::inRange(5, 40);
    std::vector<WatchedEndpoint> all;
    all.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      all.push_back({EndpointId(std::to_string(i)), "10.0.0.1:1", false});
    }
    const auto before = ProbedSubset(all, "entry-1", 4);
    RC_ASSERT(before.size() == 4U);
    all.erase(all.begin());
    std::set<EndpointId> after;
    for (const WatchedEndpoint& endpoint : ProbedSubset(all, "entry-1", 4)) {
      after.insert(endpoint.id);
    }
    for (const WatchedEndpoint& endpoint : before) {
      RC_ASSERT(endpoint.id.value() == "0" || after.contains(endpoint.id));
    }
  }));
}

/// Sends short requests from several threads without pause until destroyed.
class LoadGenerator {
 public:
  explicit LoadGenerator(const std::string& address) {
    for (int i = 0; i < 3; ++i) {
      threads_.emplace_back([this, address](const std::stop_token& stop) {
        while (!stop.stop_requested()) {
          const auto response =
              Fetch(address, TestDeployment::ChatRequest("Ring", 2, false));
          const bool is_answered = response && response->status == 200;
          ++(is_answered ? answered_ : failed_);
        }
      });
    }
  }
  [[nodiscard]] int answered() const { return answered_; }
  [[nodiscard]] int failed() const { return failed_; }

 private:
  std::atomic<int> answered_{0};
  std::atomic<int> failed_{0};
  std::vector<std::jthread> threads_;
};

/// Number of distinct requests that a stage has executed a step of.
std::size_t CountRequestsAt(TestDeployment& deployment,
                            const std::string& stage) {
  HttpRequest request;
  request.target = "/fake/ran";
  const auto ran = Fetch(deployment.stage(stage).address, request);
  std::set<std::string> requests;
  const json::value body = json::parse(ran.value().body);
  for (const json::value& record : body.at("ran").as_array()) {
    requests.insert(json::value_to<std::string>(record.at("request")));
  }
  return requests.size();
}

/// Observes a stage for the target time plus 2 s and returns the time until it
/// got its last new request.
std::chrono::milliseconds TimeUntilNoNewWork(TestDeployment& deployment,
                                             const std::string& stage) {
  const auto start = std::chrono::steady_clock::now();
  auto last = start;
  std::size_t before = CountRequestsAt(deployment, stage);
  while (std::chrono::steady_clock::now() - start <
         kTarget + std::chrono::seconds(2)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const std::size_t now = CountRequestsAt(deployment, stage);
    if (now > before) {
      last = std::chrono::steady_clock::now();
      before = now;
    }
  }
  const auto elapsed =
      std::chrono::duration_cast<std::chrono::milliseconds>(last - start);
  std::cout << "until no new work at " << stage << ": " << elapsed.count()
            << " ms\n";
  return elapsed;
}

/// Waits until a stage has executed a request.
void WaitForRequests(TestDeployment& deployment, const std::string& stage) {
  const auto deadline = std::chrono::steady_clock::now() + kTarget * 4;
  while (CountRequestsAt(deployment, stage) == 0 &&
         std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  REQUIRE(CountRequestsAt(deployment, stage) > 0);
}

void PutVmList(TestDeployment& deployment, const std::string& address) {
  HttpRequest put;
  put.method = "PUT";
  put.target = "/v1/vms";
  put.body = R"({"vms":[{"address":")" + address + R"(","state":"leaving"}]})";
  REQUIRE(Fetch(deployment.table_address(), put)->status == 200);
}

TEST_CASE("a leaving endpoint gets no new work, and no request fails") {
  TestDeployment deployment({.daemons = 2});
  auto in_flight = std::async(std::launch::async, [&] {
    return Fetch(deployment.caller_address(0),
                 TestDeployment::ChatRequest("Long", 1500, true));
  });
  const LoadGenerator load(deployment.caller_address(0));
  const std::string leaving = GENERATE("a0", "a1");
  WaitForRequests(deployment, leaving);
  const std::string& address = deployment.stage(leaving).address;
  DYNAMIC_SECTION(
      leaving << " reports leaving during an outage of list and table") {
    REQUIRE(Post(deployment.table_address(), "/fake/mode", R"({"mode":"down"})")
                .has_value());
    deployment.daemon(1).Signal(SIGSTOP);
    REQUIRE(Post(address, "/fake/fault", R"({"leaving":true})").has_value());
    REQUIRE(TimeUntilNoNewWork(deployment, leaving) <= kTarget);
  }
  DYNAMIC_SECTION(leaving << " is listed as leaving and does not report it") {
    PutVmList(deployment, address);
    REQUIRE(TimeUntilNoNewWork(deployment, leaving) <= kTarget);
    // The list is outdated: it no longer names the endpoint, which itself
    // reports that it is leaving.
    REQUIRE(Post(address, "/fake/fault", R"({"leaving":true})").has_value());
    std::this_thread::sleep_for(kTarget);
    PutVmList(deployment, "10.0.0.1");
    REQUIRE(TimeUntilNoNewWork(deployment, leaving) <=
            std::chrono::milliseconds(0));
    REQUIRE(Post(address, "/fake/fault", R"({"leaving":false})").has_value());
    const std::size_t before = CountRequestsAt(deployment, leaving);
    std::this_thread::sleep_for(kTarget);
    REQUIRE(CountRequestsAt(deployment, leaving) > before);
  }
  REQUIRE(load.answered() > 0);
  REQUIRE(load.failed() == 0);
  const auto response = in_flight.get();
  REQUIRE(response.has_value());
  REQUIRE(TestDeployment::AnswerText(*response) ==
          TestDeployment::ExpectedAnswer("Long", 1500));
}

}  // namespace
}  // namespace sycamoreford
