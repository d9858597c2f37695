// What a daemon tells the others of the traits that it suspects.
#include <algorithm>
#include <chrono>
#include <set>
#include <vector>

#include <catch2/catch.hpp>

#include "sycamoreford/adapters/quarantine_guard.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr milliseconds kStatusInterval{400};
/// Within which other daemons must know of a crash.
constexpr milliseconds kContactTime{3'000};
constexpr std::size_t kMaxReports = 16;
constexpr std::size_t kParts = 100;

// Guards against news that are told once at most, or never, since reports on
// other traits are repeated instead.
TEST_CASE("a daemon that suspects many parts at once") {
  QuarantineGuard guard;
  std::vector<RequestTrait> told;
  guard.SetPeerNotifier(
      [&](const TraitReport& report) { told.push_back(report.trait); });
  std::vector<RequestTrait> parts;
  for (std::uint64_t i = 1; i <= kParts; ++i) {
    parts.emplace_back(PromptPartId(i));
  }
  const RequestTrait culprit = parts.back();
  guard.OnSound({parts.begin(), std::prev(parts.end())}, kStart, kStart);
  const TimePoint crashed_at = kStart + milliseconds(100);
  guard.OnCrash(parts, "m1", EndpointRun(1), crashed_at);

  SECTION("tells some at once, and first the one that was never sound") {
    REQUIRE(told.size() <= kMaxReports);
    REQUIRE_FALSE(told.empty());
    CHECK(told.front() == culprit);
  }
  SECTION("tells each of them within the time of contact") {
    std::set<RequestTrait> all(told.begin(), told.end());
    for (auto time = kStatusInterval; time <= kContactTime;
         time += kStatusInterval) {
      const auto reports = guard.DueReports(crashed_at + time);
      CHECK(reports.size() <= kMaxReports);
      for (const TraitReport& report : reports) {
        all.insert(report.trait);
      }
    }
    CHECK(all.size() == kParts);
  }
  SECTION("tells no more at once of several requests than of one") {
    for (std::uint64_t request = 1; request <= 8; ++request) {
      std::vector<RequestTrait> others;
      for (std::uint64_t i = 0; i < kParts; ++i) {
        others.emplace_back(PromptPartId(request * 1'000 + i));
      }
      guard.OnCrash(others, "m1", EndpointRun(1), crashed_at);
    }
    CHECK(told.size() <= kMaxReports);
  }
  SECTION("tells of a trial whatever else it has just told") {
    guard.OnCrash({culprit}, "m1", EndpointRun(2),
                  crashed_at + milliseconds(600));
    guard.OnCrash({culprit}, "m1", EndpointRun(3),
                  crashed_at + milliseconds(1'200));
    const TimePoint now = crashed_at + milliseconds(2'400);
    std::vector<RequestTrait> others;
    for (std::uint64_t i = 0; i < kParts; ++i) {
      others.emplace_back(PromptPartId(7'000 + i));
    }
    guard.OnCrash(others, "m2", EndpointRun(9), now);
    told.clear();
    guard.OnTrial(parts, now);
    CHECK(std::find(told.begin(), told.end(), culprit) != told.end());
    CHECK(told.size() <= kMaxReports);
  }
  SECTION("still tells what is new while a quarantine of many is in force") {
    for (std::uint32_t run = 2; run <= 4; ++run) {
      guard.OnCrash(parts, "m1", EndpointRun(run),
                    crashed_at + milliseconds(600) * run);
    }
    REQUIRE(guard.quarantined_part_count() > 0);
    const TimePoint now = crashed_at + milliseconds(4'000);
    (void)guard.DueReports(now);
    const RequestTrait other = PromptPartId(5'000);
    std::vector<RequestTrait> others{other};
    for (std::uint64_t i = 0; i < kParts; ++i) {
      others.emplace_back(PromptPartId(6'000 + i));
    }
    guard.OnCrash(others, "m2", EndpointRun(9), now);
    const auto reports = guard.DueReports(now + kStatusInterval);
    CHECK(std::any_of(reports.begin(), reports.end(), [](const auto& report) {
      return std::get<PromptPartId>(report.trait).value() >= 5'000;
    }));
  }
}

}  // namespace
}  // namespace sycamoreford
