// Decisions of the quarantine of prompt parts under which endpoints crash.
#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "sycamoreford/relay/request_quarantine.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Parts = std::vector<RequestTrait>;

constexpr TimePoint kStart{std::chrono::hours(1)};
const RequestTrait kCulprit = PromptPartId(0xdead);
const RequestTrait kFirst = PromptPartId(1);
const RequestTrait kOther = PromptPartId(2);

TimePoint At(int ms) {
  return kStart + milliseconds(ms);
}

EndpointRun Run(std::uint32_t run) {
  return EndpointRun(run);
}

/// Crashes endpoints 1 to `count` under requests with these parts, one each
/// 600 ms.
///
/// \returns the time of the last crash in milliseconds after `kStart`.
int Crash(RequestQuarantine& quarantine, const Parts& parts, int count) {
  int ms = 0;
  for (int i = 1; i <= count; ++i) {
    ms += 600;
    quarantine.OnCrash(parts, Run(static_cast<std::uint32_t>(i)), At(ms));
  }
  return ms;
}

TEST_CASE("a prompt part under which endpoints crash") {
  RequestQuarantine quarantine;

  SECTION("is not quarantined after two crashes") {
    Crash(quarantine, {kCulprit}, 2);
    REQUIRE_FALSE(quarantine.IsQuarantined({kCulprit}));
  }
  SECTION("is not quarantined because several endpoints fail at once") {
    for (std::uint32_t run = 1; run <= 8; ++run) {
      quarantine.OnCrash({kFirst}, Run(run), At(static_cast<int>(run)));
    }
    REQUIRE_FALSE(quarantine.IsQuarantined({kFirst}));
  }
  SECTION("is not quarantined because many requests report the same crash") {
    for (int i = 0; i < 100; ++i) {
      quarantine.OnCrash({kFirst}, Run(1), At(20 * i));
    }
    REQUIRE_FALSE(quarantine.IsQuarantined({kFirst}));
  }
  SECTION("is not quarantined if it was sound in between") {
    quarantine.OnCrash({kFirst}, Run(1), At(0));
    quarantine.OnCrash({kFirst}, Run(2), At(600));
    REQUIRE(quarantine.OnSound({kFirst}, At(700), At(1'000)) == Parts{kFirst});
    quarantine.OnCrash({kFirst}, Run(3), At(1'200));
    REQUIRE_FALSE(quarantine.IsQuarantined({kFirst}));
  }

  SECTION("is quarantined after three crashes") {
    const int last = Crash(quarantine, {kCulprit}, 3);
    REQUIRE(quarantine.IsQuarantined({kCulprit}));
    REQUIRE(quarantine.IsQuarantined({kOther, kCulprit}));
    REQUIRE_FALSE(quarantine.IsQuarantined({kOther}));
    REQUIRE_FALSE(quarantine.IsQuarantined({}));

    SECTION("a response that began before the crashes does not clear it") {
      REQUIRE(quarantine.OnSound({kCulprit}, At(100), At(last)).empty());
      REQUIRE(quarantine.IsQuarantined({kCulprit}));
    }
    SECTION("a later response clears it") {
      (void)quarantine.OnSound({kCulprit}, At(last + 10), At(last + 400));
      REQUIRE_FALSE(quarantine.IsQuarantined({kCulprit}));
    }
    SECTION("it is forgotten when there are no more requests with it") {
      quarantine.Expire(At(last) + RequestQuarantine::kQuietTime + seconds(1));
      REQUIRE_FALSE(quarantine.IsQuarantined({kCulprit}));
      REQUIRE(quarantine.traits().empty());
    }
    SECTION("it stays quarantined while there are requests with it") {
      int trials = 0;
      for (int ms = last; ms < last + 200'000; ms += 100) {
        quarantine.Expire(At(ms));
        const auto verdict = quarantine.OnRequest({kCulprit}, At(ms), 0, 1);
        REQUIRE(verdict != QuarantineVerdict::kAccept);
        if (verdict == QuarantineVerdict::kTrial) {
          ++trials;
          quarantine.OnTrial({kCulprit}, At(ms));
          quarantine.OnCrash({kCulprit},
                             Run(static_cast<std::uint32_t>(100 + trials)),
                             At(ms + 50));
        }
      }
      // One early, then 10, 50 and 210 seconds after it.
      REQUIRE(trials == 3);
    }
    SECTION("it is still known when requests with it come back") {
      quarantine.Expire(At(last) + std::chrono::minutes(5));
      REQUIRE(quarantine.IsQuarantined({kCulprit}));
    }
    SECTION("it is tried three times at most while it comes again") {
      int trials = 0;
      for (int ms = last; ms < last + 2'000'000; ms += 100) {
        quarantine.Expire(At(ms));
        if (quarantine.OnRequest({kCulprit}, At(ms), 0, 1) ==
            QuarantineVerdict::kTrial) {
          ++trials;
          quarantine.OnTrial({kCulprit}, At(ms));
          quarantine.OnCrash({kCulprit},
                             Run(static_cast<std::uint32_t>(100 + trials)),
                             At(ms + 50));
        }
      }
      REQUIRE(trials == 3);
    }
    SECTION("it is tried by one daemon at a time") {
      constexpr std::size_t kDaemons = 4;
      for (int ms = 1'000; ms < 20'000; ms += 100) {
        int trials = 0;
        for (std::size_t rank = 0; rank < kDaemons; ++rank) {
          RequestQuarantine copy = quarantine;
          trials += copy.OnRequest({kCulprit}, At(last + ms), rank, kDaemons) ==
                            QuarantineVerdict::kTrial
                        ? 1
                        : 0;
        }
        REQUIRE(trials == 1);
      }
    }
    SECTION("a daemon of higher rank waits longer for a trial") {
      const auto verdict = [&](int ms, std::size_t rank) {
        RequestQuarantine copy = quarantine;
        return copy.OnRequest({kCulprit}, At(last + ms), rank, 4);
      };
      REQUIRE(verdict(900, 0) == QuarantineVerdict::kRefuse);
      REQUIRE(verdict(1'000, 0) == QuarantineVerdict::kTrial);
      REQUIRE(verdict(1'400, 1) == QuarantineVerdict::kRefuse);
      REQUIRE(verdict(1'500, 1) == QuarantineVerdict::kTrial);
    }
  }
}

TEST_CASE("prompt parts of requests that a crash affects by chance") {
  RequestQuarantine quarantine;
  const auto crash = [&](std::uint32_t run, const std::vector<Parts>& requests,
                         int ms) {
    for (const Parts& parts : requests) {
      quarantine.OnCrash(parts, Run(run), At(ms));
    }
  };

  SECTION("are not quarantined if another part explains the crashes") {
    crash(1, {{kCulprit}, {kFirst, kOther}}, 0);
    crash(2, {{kCulprit}, {kFirst, kOther}}, 600);
    crash(3, {{kCulprit}, {kFirst}}, 1'200);
    crash(4, {{kCulprit}, {kOther}}, 1'800);
    REQUIRE(quarantine.IsQuarantined({kCulprit}));
    REQUIRE_FALSE(quarantine.IsQuarantined({kFirst, kOther}));
  }

  SECTION("that are always there are refused only together with the cause") {
    const int last = Crash(quarantine, {kFirst, kCulprit}, 4);
    REQUIRE(quarantine.IsQuarantined({kFirst, kCulprit}));
    REQUIRE_FALSE(quarantine.IsQuarantined({kFirst, kOther}));

    SECTION("until one of them turns out to be sound") {
      (void)quarantine.OnSound({kFirst, kOther}, At(last + 10), At(last + 400));
      REQUIRE(quarantine.IsQuarantined({kCulprit}));
      REQUIRE_FALSE(quarantine.IsQuarantined({kFirst}));
    }
    SECTION("until one of them crashes an endpoint without the other") {
      crash(9, {{kCulprit, kOther}}, last + 100);
      REQUIRE(quarantine.IsQuarantined({kCulprit}));
      REQUIRE_FALSE(quarantine.IsQuarantined({kFirst}));
    }
  }

  SECTION("that are always there are not quarantined if they were sound") {
    (void)quarantine.OnSound({kFirst, kOther}, At(-500), At(-100));
    Crash(quarantine, {kFirst, kCulprit}, 4);
    REQUIRE(quarantine.IsQuarantined({kCulprit}));
    REQUIRE_FALSE(quarantine.IsQuarantined({kFirst}));
  }
  SECTION("do not hide a cause that was sound earlier") {
    (void)quarantine.OnSound({kCulprit}, At(-500), At(-100));
    const int last = Crash(quarantine, {kFirst, kCulprit}, 4);
    REQUIRE(quarantine.IsQuarantined({kFirst}));
    crash(9, {{kCulprit, kOther}}, last + 100);
    REQUIRE(quarantine.IsQuarantined({kCulprit}));
    REQUIRE_FALSE(quarantine.IsQuarantined({kFirst}));
  }

  SECTION("are cleared by a trial if the cause was not recognized") {
    const int last = Crash(quarantine, {kFirst, kCulprit}, 3);
    crash(9, {{kFirst}}, last + 100);
    REQUIRE(quarantine.IsQuarantined({kFirst, kOther}));
    const TimePoint later = At(last + 1'200);
    REQUIRE(quarantine.OnRequest({kFirst, kCulprit}, later, 0, 1) ==
            QuarantineVerdict::kRefuse);
    REQUIRE(quarantine.OnRequest({kFirst, kOther}, later, 0, 1) ==
            QuarantineVerdict::kTrial);
    quarantine.OnTrial({kFirst, kOther}, later);
    REQUIRE(quarantine.OnRequest({kFirst, kOther}, later, 0, 1) ==
            QuarantineVerdict::kRefuse);
    (void)quarantine.OnSound({kFirst, kOther}, later, later);
    REQUIRE_FALSE(quarantine.IsQuarantined({kFirst}));
    REQUIRE(quarantine.IsQuarantined({kFirst, kCulprit}));
  }

  SECTION("two causes are both quarantined") {
    Crash(quarantine, {kCulprit}, 4);
    for (int i = 0; i < 3; ++i) {
      crash(static_cast<std::uint32_t>(20 + i), {{kOther}}, 700 * i);
    }
    REQUIRE(quarantine.IsQuarantined({kCulprit}));
    REQUIRE(quarantine.IsQuarantined({kOther}));
  }
}

TEST_CASE("a quarantine has bounded memory") {
  RequestQuarantine quarantine;
  Crash(quarantine, {kCulprit}, 100);
  REQUIRE(quarantine.ReportOn(kCulprit, At(70'000))->crashes.size() ==
          RequestQuarantine::kMaxReportedCrashes);
  for (std::uint32_t i = 0; i < 10'000; ++i) {
    quarantine.OnCrash({PromptPartId(10 + i)}, Run(i),
                       At(70'000 + static_cast<int>(i)));
  }
  REQUIRE(quarantine.traits().size() <= RequestQuarantine::kMaxTraits);
  REQUIRE(quarantine.IsQuarantined({kCulprit}));

  SECTION("requests add nothing to it") {
    const auto before = quarantine.traits();
    for (std::uint32_t i = 0; i < 10'000; ++i) {
      (void)quarantine.OnRequest({PromptPartId(1'000'000 + i)}, At(90'000), 0,
                                 1);
      (void)quarantine.OnSound({PromptPartId(1'000'000 + i)}, At(90'000),
                               At(90'000));
    }
    REQUIRE(quarantine.traits() == before);
  }
}

/// `count` prompt parts with ids from `first` on.
Parts PartsFrom(std::uint64_t first, std::size_t count) {
  Parts parts;
  for (std::size_t i = 0; i < count; ++i) {
    parts.emplace_back(PromptPartId(first + i));
  }
  return parts;
}

// Guards against a cause that is crowded out by the other parts of prompts.
TEST_CASE("a quarantine keeps the cause among the parts of long prompts") {
  RequestQuarantine quarantine;
  const Parts common = PartsFrom(1, 300);
  quarantine.OnSound(common, At(0), At(0));
  for (int crash = 1; crash <= 3; ++crash) {
    const int ms = 600 * crash;
    // Eight requests ran on the endpoint; each has 300 parts of its own.
    for (std::uint64_t request = 0; request < 8; ++request) {
      Parts parts = PartsFrom(
          0x10000 * static_cast<std::uint64_t>(crash) + 0x1000 * request, 300);
      parts.insert(parts.end(), common.begin(), common.end());
      if (request == 4) {
        parts.push_back(kCulprit);
      }
      const auto news = quarantine.OnCrash(
          parts, Run(static_cast<std::uint32_t>(crash)), At(ms));
      if (request == 4) {
        const auto at = std::find(news.begin(), news.end(), kCulprit);
        REQUIRE(at != news.end());
        // Those that were sound come last; with more crashes it is the first.
        CHECK(at - news.begin() <= (crash == 1 ? 300 : 0));
      }
      CHECK(quarantine.traits().size() <= RequestQuarantine::kMaxTraits);
    }
  }
  CHECK(quarantine.dropped_count() > 0);
  CHECK(quarantine.IsQuarantined({kCulprit}));
  CHECK_FALSE(quarantine.IsQuarantined(common));
  CHECK(quarantine.suspected_part_count() == quarantine.traits().size());
}

/// Reports without the ages that differ by the time of the reports.
std::vector<std::vector<EndpointRun>> RunsOf(
    const RequestQuarantine& quarantine,
    TimePoint now) {
  std::vector<std::vector<EndpointRun>> all;
  for (const RequestTrait& part : quarantine.traits()) {
    auto& runs = all.emplace_back();
    const auto report = quarantine.ReportOn(part, now);
    for (const auto& crash : report->crashes) {
      runs.push_back(crash.run);
    }
  }
  return all;
}

TEST_CASE("daemons reach the same decisions") {
  REQUIRE(rc::check("whatever order their reports arrive in", [] {
    const auto count = *rc::gen::inRange(1, 30);
    const TimePoint now = At(20'000);
    std::vector<TraitReport> reports;
    for (int i = 0; i < count; ++i) {
      TraitReport report;
      report.trait = PromptPartId(*rc::gen::inRange<std::uint64_t>(1, 5));
      const auto crashes = *rc::gen::inRange(1, 4);
      for (int j = 0; j < crashes; ++j) {
        const auto run = *rc::gen::inRange<std::uint32_t>(1, 10);
        report.crashes.push_back(
            {Run(run), milliseconds(1'000 * static_cast<int>(run))});
      }
      if (*rc::gen::inRange(0, 4) == 0) {
        report.sound_age = milliseconds(*rc::gen::inRange(500, 11'000));
      }
      reports.push_back(report);
    }
    auto shuffled = reports;
    shuffled.insert(shuffled.end(), reports.begin(), reports.end());
    std::shuffle(shuffled.begin(), shuffled.end(),
                 std::minstd_rand(*rc::gen::arbitrary<std::uint32_t>()));
    RequestQuarantine one;
    RequestQuarantine other;
    for (const auto& report : reports) {
      one.OnReport(report, now);
    }
    for (const auto& report : shuffled) {
      other.OnReport(report, now);
    }
    RC_ASSERT(RunsOf(one, now) == RunsOf(other, now));
    RC_ASSERT(one.groups() == other.groups());
  }));
}

/// Daemons and endpoints in virtual time. Endpoints crash soon after they have
/// begun a response to a request with the culprit.
class Simulation {
 public:
  static constexpr int kDaemons = 4;
  static constexpr int kEndpoints = 9;
  static constexpr milliseconds kTimeToCrash{70};
  static constexpr milliseconds kRestartTime{1'500};
  static constexpr milliseconds kStatusInterval{400};
  /// Endpoints crash under the culprit from this time on.
  static constexpr TimePoint kOnset = kStart + seconds(2);

  explicit Simulation(std::uint32_t seed, int loss_percent)
      : random_(seed), loss_percent_(loss_percent), daemons_(kDaemons) {
    for (int i = 0; i < kEndpoints; ++i) {
      endpoints_[i].run = ++runs_;
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      Broadcast(i);
    }
  }

  void Schedule(TimePoint at, std::function<void()> action) {
    actions_.emplace(at, std::move(action));
  }

  void RunUntil(TimePoint end) {
    while (!actions_.empty() && actions_.begin()->first <= end) {
      now_ = actions_.begin()->first;
      const auto action = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      action();
    }
    now_ = end;
  }

  int Random(int end) { return static_cast<int>(random_() % end); }

  /// Whether the request was sent; `false` if it was refused as quarantined.
  bool Send(const Parts& parts) {
    const auto daemon = static_cast<std::size_t>(Random(kDaemons));
    const auto verdict =
        daemons_[daemon].OnRequest(parts, now_, daemon, kDaemons);
    if (verdict == QuarantineVerdict::kTrial) {
      daemons_[daemon].OnTrial(parts, now_);
      Tell(daemon, parts);
    }
    if (verdict == QuarantineVerdict::kRefuse) {
      return false;
    }
    Begin(daemon, parts);
    return true;
  }

  [[nodiscard]] TimePoint now() const { return now_; }
  std::vector<TimePoint> crashes;
  std::vector<TimePoint> culprit_sends;

 private:
  struct Request {
    std::size_t daemon;
    Parts parts;
    TimePoint first_event;
  };
  struct Endpoint {
    std::uint32_t run = 0;
    bool is_up = true;
    std::vector<Request> requests;
  };

  void Begin(std::size_t daemon, const Parts& parts) {
    std::vector<int> up;
    for (const auto& [id, endpoint] : endpoints_) {
      if (endpoint.is_up) {
        up.push_back(id);
      }
    }
    if (up.empty()) {
      return;
    }
    const int id =
        up[static_cast<std::size_t>(Random(static_cast<int>(up.size())))];
    Endpoint& endpoint = endpoints_[id];
    const std::uint32_t run = endpoint.run;
    const TimePoint first_event = now_ + milliseconds(60);
    endpoint.requests.push_back({daemon, parts, first_event});
    if (now_ >= kOnset &&
        std::find(parts.begin(), parts.end(), kCulprit) != parts.end()) {
      culprit_sends.push_back(now_);
      Schedule(now_ + kTimeToCrash, [this, id, run] { Crash(id, run); });
      return;
    }
    Schedule(
        first_event + RequestQuarantine::kBeginning,
        [this, id, run, daemon, parts, first_event] {
          if (endpoints_[id].is_up && endpoints_[id].run == run &&
              !daemons_[daemon].OnSound(parts, first_event, now_).empty()) {
            Tell(daemon, parts);
          }
        });
  }

  void Crash(int id, std::uint32_t run) {
    Endpoint& endpoint = endpoints_[id];
    if (!endpoint.is_up || endpoint.run != run) {
      return;
    }
    crashes.push_back(now_);
    endpoint.is_up = false;
    for (const Request& request : endpoint.requests) {
      if (now_ < request.first_event + RequestQuarantine::kBeginning) {
        daemons_[request.daemon].OnCrash(request.parts, Run(run), now_);
        Tell(request.daemon, request.parts);
      }
    }
    endpoint.requests.clear();
    Schedule(now_ + kRestartTime, [this, id] {
      endpoints_[id].is_up = true;
      endpoints_[id].run = ++runs_;
    });
  }

  void Broadcast(std::size_t daemon) {
    daemons_[daemon].Expire(now_);
    Tell(daemon, daemons_[daemon].traits());
    Schedule(now_ + kStatusInterval, [this, daemon] { Broadcast(daemon); });
  }

  void Tell(std::size_t from, const Parts& parts) {
    for (const RequestTrait& part : parts) {
      const auto report = daemons_[from].ReportOn(part, now_);
      for (std::size_t to = 0; to < daemons_.size() && report; ++to) {
        if (to != from && Random(100) >= loss_percent_) {
          Schedule(now_ + milliseconds(1 + Random(5)), [this, to, report] {
            daemons_[to].OnReport(*report, now_);
          });
        }
      }
    }
  }

  std::mt19937 random_;
  int loss_percent_;
  TimePoint now_ = kStart;
  std::multimap<TimePoint, std::function<void()>> actions_;
  std::vector<RequestQuarantine> daemons_;
  std::map<int, Endpoint> endpoints_;
  std::uint32_t runs_ = 0;
};

TEST_CASE("endpoints are spared and other requests are served") {
  REQUIRE(rc::check("for any mix of requests", [] {
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    const auto loss_percent = *rc::gen::inRange(0, 10);
    const auto first_parts = *rc::gen::inRange(1, 4);
    const auto other_parts = *rc::gen::inRange(1, 6);
    const auto sound_interval = milliseconds(*rc::gen::inRange(10, 80));
    const auto bad_interval = milliseconds(*rc::gen::inRange(40, 900));
    // 0 puts the culprit first, 1 in the middle, 2 last, 3 at any place.
    const auto place = *rc::gen::inRange(0, 4);
    const bool was_sound = *rc::gen::arbitrary<bool>();
    Simulation simulation(seed, loss_percent);
    const auto sound_parts = [&] {
      return Parts{PromptPartId(1 + static_cast<std::uint64_t>(
                                        simulation.Random(first_parts))),
                   PromptPartId(100 + static_cast<std::uint64_t>(
                                          simulation.Random(other_parts)))};
    };
    int sound = 0;
    int refused = 0;
    std::function<void()> send_sound = [&] {
      const bool is_sent = simulation.Send(sound_parts());
      if (simulation.crashes.size() >= 5 &&
          simulation.now() > simulation.crashes[4] + seconds(6)) {
        ++sound;
        refused += is_sent ? 0 : 1;
      }
      simulation.Schedule(simulation.now() + sound_interval, send_sound);
    };
    std::function<void()> send_bad = [&] {
      Parts parts = sound_parts();
      const int at = place == 3 ? simulation.Random(3) : place;
      parts.insert(parts.begin() + at, kCulprit);
      simulation.Send(parts);
      simulation.Schedule(simulation.now() + bad_interval, send_bad);
    };
    send_sound();
    simulation.Schedule(was_sound ? kStart : Simulation::kOnset, send_bad);
    simulation.RunUntil(kStart + seconds(60));

    const auto& crashes = simulation.crashes;
    RC_ASSERT(crashes.size() >= 3U);
    if (crashes.size() >= 5) {
      const auto late = std::count_if(
          simulation.culprit_sends.begin(), simulation.culprit_sends.end(),
          [&](TimePoint at) { return at > crashes[4] + seconds(3); });
      RC_ASSERT(late <= 3);
      RC_ASSERT(refused * 10 <= sound);
    }
  }));
}

}  // namespace
}  // namespace sycamoreford
