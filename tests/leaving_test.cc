// An endpoint that is leaving gets no new work after a few seconds.
#include <csignal>
#include <future>
#include <iostream>
#include <set>
#include <thread>

#include <rapidcheck.h>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "support/stand.h"
#include "sycamoreford/endpoints/leaving_tracker.h"
#include "sycamoreford/endpoints/probe_schedule.h"

namespace sycamoreford {
namespace {

namespace json = boost::json;
using support::Fetch;
using support::Post;
using support::Stand;

constexpr std::chrono::seconds kTarget{5};

TimePoint At(int time) {
  return TimePoint(std::chrono::seconds(time));
}

/// Something that was heard, in the order of hearing; `asked_at` is when the
/// question was asked.
struct Heard {
  enum class Kind { kList, kState, kRefusal } kind;
  int endpoint;
  bool leaving;
  int asked_at;
};

std::ostream& operator<<(std::ostream& out, const Heard& heard) {
  return out << "{kind " << static_cast<int>(heard.kind) << ", endpoint "
             << heard.endpoint << ", leaving " << heard.leaving << ", asked at "
             << heard.asked_at << "}";
}

/// The oracle: of all that was heard the newest question wins, and of equally
/// new ones a word of leaving.
bool Leaves(const std::vector<Heard>& all, int endpoint, bool of_list) {
  int newest = 0;
  bool leaving = false;
  for (const Heard& heard : all) {
    const bool is_list = heard.kind == Heard::Kind::kList;
    if (is_list != of_list || (!is_list && heard.endpoint != endpoint)) {
      continue;
    }
    const bool says = is_list
                          ? heard.leaving && heard.endpoint == endpoint
                          : heard.leaving || heard.kind != Heard::Kind::kState;
    if (heard.asked_at > newest) {
      newest = heard.asked_at;
      leaving = says;
    } else if (heard.asked_at == newest) {
      leaving = is_list ? says : leaving || says;
    }
  }
  return leaving;
}

std::vector<WatchedEndpoint> Endpoints(bool operators_say) {
  return {{EndpointId("e0"), "10.0.0.1:80", operators_say},
          {EndpointId("e1"), "10.0.0.2:80", false},
          {EndpointId("e2"), "10.0.0.2:81", false}};
}

TEST_CASE("the tracker of who leaves agrees with an oracle") {
  REQUIRE(rc::check("for words that come late and crossed", [] {
    const auto kinds = rc::gen::element(Heard::Kind::kList, Heard::Kind::kState,
                                        Heard::Kind::kRefusal);
    const auto story =
        *rc::gen::container<std::vector<Heard>>(rc::gen::construct<Heard>(
            kinds, rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>(),
            rc::gen::inRange(1, 12)));
    const bool operators_say = *rc::gen::arbitrary<bool>();
    LeavingTracker tracker;
    tracker.SetEndpoints(Endpoints(operators_say));
    std::vector<Heard> all;
    for (const Heard& heard : story) {
      all.push_back(heard);
      const WatchedEndpoint who = Endpoints(false)[heard.endpoint];
      switch (heard.kind) {
        case Heard::Kind::kList:
          tracker.OnVmList({{who.address, heard.leaving}}, At(heard.asked_at));
          break;
        case Heard::Kind::kState:
          tracker.OnState(who.id, who.address, heard.leaving,
                          At(heard.asked_at));
          break;
        case Heard::Kind::kRefusal:
          tracker.OnRefusal(who.id, At(heard.asked_at));
          break;
      }
      for (int i = 0; i < 3; ++i) {
        const LeavingSources sources =
            tracker.SourcesOf(EndpointId("e" + std::to_string(i)));
        RC_ASSERT(sources.endpoint == Leaves(all, i, false));
        RC_ASSERT(sources.vm_list == Leaves(all, i, true));
        RC_ASSERT(sources.operators == (operators_say && i == 0));
      }
    }
  }));
}

TEST_CASE("a list names a whole VM or one process on it") {
  LeavingTracker tracker;
  tracker.SetEndpoints(Endpoints(false));
  tracker.OnVmList({{"10.0.0.2", true}}, At(1));
  REQUIRE(tracker.SourcesOf(EndpointId("e1")).any());
  REQUIRE(tracker.SourcesOf(EndpointId("e2")).any());
  REQUIRE_FALSE(tracker.SourcesOf(EndpointId("e0")).any());

  SECTION("an endpoint at a new address is another process") {
    auto moved = Endpoints(false);
    tracker.OnState(EndpointId("e0"), "10.0.0.1:80", true, At(2));
    moved[0].address = "10.0.0.9:80";
    tracker.SetEndpoints(moved);
    REQUIRE_FALSE(tracker.SourcesOf(EndpointId("e0")).any());
    tracker.OnState(EndpointId("e0"), "10.0.0.1:80", true, At(3));
    REQUIRE_FALSE(tracker.SourcesOf(EndpointId("e0")).any());
  }
}

TEST_CASE("every endpoint has its turn to be probed") {
  REQUIRE(rc::check("within count times spacing, or the least interval", [] {
    const int count = *rc::gen::inRange(1, 20);
    const int least = *rc::gen::inRange(1, 10);
    std::vector<WatchedEndpoint> endpoints;
    endpoints.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      endpoints.push_back({EndpointId(std::to_string(i)), "10.0.0.1:1", false});
    }
    ProbeSchedule schedule(std::chrono::seconds{least});
    schedule.SetEndpoints(endpoints);
    std::map<EndpointId, int> probed;
    for (int now = 1; now < 100; ++now) {
      if (const auto next = schedule.Next(At(now))) {
        RC_ASSERT(probed[next->id] == 0 || now - probed[next->id] >= least);
        probed[next->id] = now;
      }
      for (const auto& [id, at] : probed) {
        RC_ASSERT(now - at <= std::max(count, least));
      }
    }
    RC_ASSERT(probed.size() == endpoints.size());
  }));
  REQUIRE(rc::check("a subset stays when others come and go", [] {
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

/// Callers that send short requests without pause until destroyed.
class Callers {
 public:
  explicit Callers(const std::string& address) {
    for (int i = 0; i < 3; ++i) {
      threads_.emplace_back([this, address](const std::stop_token& stop) {
        while (!stop.stop_requested()) {
          const auto answer = Fetch(address, Stand::Chat("Ring", 2, false));
          const bool whole = answer && answer->status == 200;
          ++(whole ? answered_ : failed_);
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

/// Number of requests that a stage has run a step of.
std::size_t RequestsAt(Stand& stand, const std::string& stage) {
  HttpRequest request;
  request.target = "/fake/ran";
  const auto ran = Fetch(stand.stage(stage).address, request);
  std::set<std::string> requests;
  const json::value body = json::parse(ran.value().body);
  for (const json::value& record : body.at("ran").as_array()) {
    requests.insert(json::value_to<std::string>(record.at("request")));
  }
  return requests.size();
}

/// Time from now until the stage got its last new request, seen over `watch`.
std::chrono::milliseconds UntilNoNewWork(Stand& stand,
                                         const std::string& stage) {
  const auto start = std::chrono::steady_clock::now();
  auto last = start;
  std::size_t before = RequestsAt(stand, stage);
  while (std::chrono::steady_clock::now() - start <
         kTarget + std::chrono::seconds(2)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    const std::size_t now = RequestsAt(stand, stage);
    if (now > before) {
      last = std::chrono::steady_clock::now();
      before = now;
    }
  }
  const auto taken =
      std::chrono::duration_cast<std::chrono::milliseconds>(last - start);
  std::cout << "until no new work at " << stage << ": " << taken.count()
            << " ms\n";
  return taken;
}

/// Waits until the callers use a stage.
void WaitForWork(Stand& stand, const std::string& stage) {
  const auto bound = std::chrono::steady_clock::now() + kTarget * 4;
  while (RequestsAt(stand, stage) == 0 &&
         std::chrono::steady_clock::now() < bound) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  REQUIRE(RequestsAt(stand, stage) > 0);
}

void PutList(Stand& stand, const std::string& address) {
  HttpRequest put;
  put.method = "PUT";
  put.target = "/v1/vms";
  put.body = R"({"vms":[{"address":")" + address + R"(","state":"leaving"}]})";
  REQUIRE(Fetch(stand.table(), put)->status == 200);
}

TEST_CASE("a leaving endpoint gets no new work, and nothing is lost") {
  Stand stand({.daemons = 2});
  auto in_flight = std::async(std::launch::async, [&] {
    return Fetch(stand.callers(0), Stand::Chat("Long", 1500, true));
  });
  const Callers callers(stand.callers(0));
  const std::string leaving = GENERATE("a0", "a1");
  WaitForWork(stand, leaving);
  const std::string& address = stand.stage(leaving).address;
  DYNAMIC_SECTION(leaving << " says so while list and table are away") {
    REQUIRE(
        Post(stand.table(), "/fake/mode", R"({"mode":"down"})").has_value());
    stand.daemon(1).Signal(SIGSTOP);
    REQUIRE(Post(address, "/fake/fault", R"({"leaving":true})").has_value());
    REQUIRE(UntilNoNewWork(stand, leaving) <= kTarget);
  }
  DYNAMIC_SECTION(leaving << " is listed, and says nothing") {
    PutList(stand, address);
    REQUIRE(UntilNoNewWork(stand, leaving) <= kTarget);
    // The list lags behind the endpoint's own word.
    REQUIRE(Post(address, "/fake/fault", R"({"leaving":true})").has_value());
    std::this_thread::sleep_for(kTarget);
    PutList(stand, "10.0.0.1");
    REQUIRE(UntilNoNewWork(stand, leaving) <= std::chrono::milliseconds(0));
    REQUIRE(Post(address, "/fake/fault", R"({"leaving":false})").has_value());
    const std::size_t before = RequestsAt(stand, leaving);
    std::this_thread::sleep_for(kTarget);
    REQUIRE(RequestsAt(stand, leaving) > before);
  }
  REQUIRE(callers.answered() > 0);
  REQUIRE(callers.failed() == 0);
  const auto whole = in_flight.get();
  REQUIRE(whole.has_value());
  REQUIRE(Stand::AnswerText(*whole) == Stand::ExpectedAnswer("Long", 1500));
}

}  // namespace
}  // namespace sycamoreford
