// Decisions of the quarantine of requests that crash endpoints as a whole.
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "http_relay_codec.h"
#include "sycamoreford/adapters/peer_datagrams.h"
#include "sycamoreford/relay/request_fingerprint.h"
#include "sycamoreford/relay/request_quarantine.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Traits = std::vector<RequestTrait>;

constexpr TimePoint kStart{std::chrono::hours(1)};
const RequestTrait kCulprit = RequestFingerprint(0xdead);
const RequestTrait kOther = RequestFingerprint(2);
const RequestTrait kPart = PromptPartId(1);

TimePoint At(int ms) {
  return kStart + milliseconds(ms);
}

/// Crashes endpoint runs `first` to `first + count - 1` under a request, one
/// each 50 ms from `ms` on.
///
/// \returns the time of the last crash in milliseconds after `kStart`.
int Crash(RequestQuarantine& quarantine,
          const Traits& traits,
          int count,
          int ms = 0,
          std::uint32_t first = 1) {
  for (int i = 0; i < count; ++i) {
    ms += 50;
    quarantine.OnCrash(traits, EndpointRun(first), At(ms));
    ++first;
  }
  return ms;
}

TEST_CASE("a request under which endpoints crash") {
  RequestQuarantine quarantine;

  SECTION("is not quarantined after two crashes") {
    Crash(quarantine, {kCulprit}, 2);
    CHECK_FALSE(quarantine.IsQuarantined({kCulprit}));
  }
  SECTION("is quarantined after three within a moment") {
    Crash(quarantine, {kCulprit}, 3);
    CHECK(quarantine.IsQuarantinedAsWhole({kCulprit}));
    CHECK_FALSE(quarantine.IsQuarantined({kOther}));
  }
  SECTION("is not, when it was sound shortly before") {
    (void)quarantine.OnSound({kCulprit}, At(-100), At(-50));
    const int last = Crash(quarantine, {kCulprit}, 3);
    CHECK_FALSE(quarantine.IsQuarantined({kCulprit}));
    // Unless it goes on.
    Crash(quarantine, {kCulprit}, 1, last + 1'000, 9);
    CHECK(quarantine.IsQuarantined({kCulprit}));
  }
  SECTION("is released by a sound response") {
    const int last = Crash(quarantine, {kCulprit}, 3);
    (void)quarantine.OnSound({kCulprit}, At(last + 20), At(last + 20));
    CHECK_FALSE(quarantine.IsQuarantined({kCulprit}));
  }
  SECTION("does not affect requests with the same parts of the prompt") {
    Crash(quarantine, {kPart, kCulprit}, 4, 0);
    Crash(quarantine, {kPart, kCulprit}, 4, 2'000, 20);
    CHECK(quarantine.IsQuarantinedAsWhole({kPart, kCulprit}));
    CHECK_FALSE(quarantine.IsQuarantined({kPart, kOther}));
  }
  SECTION("is not the cause if requests with a part of it crash others") {
    const int last = Crash(quarantine, {kPart, kCulprit}, 3);
    REQUIRE(quarantine.IsQuarantinedAsWhole({kPart, kCulprit}));
    Crash(quarantine, {kPart, kOther}, 2, last + 1'000, 20);
    CHECK(quarantine.IsQuarantined({kPart}));
    CHECK_FALSE(quarantine.IsQuarantinedAsWhole({kPart, kCulprit}));
  }
  SECTION("is refused as well as another one with the same crashes") {
    for (std::uint32_t run = 1; run <= 3; ++run) {
      quarantine.OnCrash({kCulprit}, EndpointRun(run), At(0));
      quarantine.OnCrash({kOther}, EndpointRun(run), At(0));
    }
    CHECK(quarantine.IsQuarantined({kCulprit}));
    CHECK(quarantine.IsQuarantined({kOther}));
    (void)quarantine.OnSound({kOther}, At(100), At(100));
    CHECK(quarantine.IsQuarantined({kCulprit}));
    CHECK_FALSE(quarantine.IsQuarantined({kOther}));
  }
  SECTION("explains the crashes of those beside it") {
    Crash(quarantine, {kCulprit}, 4);
    Crash(quarantine, {kOther}, 3);
    CHECK(quarantine.IsQuarantined({kCulprit}));
    CHECK_FALSE(quarantine.IsQuarantined({kOther}));
  }
  SECTION(
      "is not blamed once the part that explains its crashes is forgotten") {
    for (std::uint32_t run = 1; run <= 4; ++run) {
      quarantine.OnCrash({kPart}, EndpointRun(run),
                         At(600 * static_cast<int>(run)));
    }
    Crash(quarantine, {kOther}, 3);
    REQUIRE(quarantine.IsQuarantined({kPart}));
    quarantine.Expire(At(2'400) + RequestQuarantine::kQuietTime + seconds(1));
    CHECK_FALSE(quarantine.IsQuarantined({kPart}));
    CHECK_FALSE(quarantine.IsQuarantined({kOther}));
  }
}

TEST_CASE("a quarantined request that comes again and again") {
  constexpr std::size_t kDaemons = 3;
  RequestQuarantine quarantine;
  const int last = Crash(quarantine, {kCulprit}, 3);

  SECTION("is tried twice, and then no more") {
    std::vector<int> trials;
    for (int ms = last; ms < last + 1'000'000; ms += 100) {
      quarantine.Expire(At(ms));
      const auto verdict =
          quarantine.OnRequest({kCulprit}, At(ms), 0, kDaemons);
      REQUIRE(verdict != QuarantineVerdict::kAccept);
      if (verdict == QuarantineVerdict::kTrial) {
        trials.push_back(ms - last);
        quarantine.OnTrial({kCulprit}, At(ms));
        quarantine.OnCrash(
            {kCulprit},
            EndpointRun(static_cast<std::uint32_t>(100 + trials.size())),
            At(ms + 50));
      }
    }
    CHECK(trials == std::vector<int>{1'000, 61'100});
    CHECK_FALSE(quarantine.TimeUntilTrial({kCulprit}, At(last + 1'000'000)));
  }
  SECTION("is tried by one daemon at a time") {
    for (int ms = 0; ms < 20'000; ms += 100) {
      int trials = 0;
      for (std::size_t rank = 0; rank < kDaemons; ++rank) {
        RequestQuarantine copy = quarantine;
        trials += copy.OnRequest({kCulprit}, At(last + ms), rank, kDaemons) ==
                          QuarantineVerdict::kTrial
                      ? 1
                      : 0;
      }
      CHECK(trials == (ms < 1'000 ? 0 : 1));
    }
  }
  SECTION("is tried again each time it was sound in between") {
    int ms = last;
    for (std::uint32_t round = 1; round <= 4; ++round) {
      const int due = ms + 1'000;
      CAPTURE(round);
      REQUIRE(quarantine.OnRequest({kCulprit}, At(due), 0, kDaemons) ==
              QuarantineVerdict::kTrial);
      quarantine.OnTrial({kCulprit}, At(due));
      (void)quarantine.OnSound({kCulprit}, At(due + 20), At(due + 20));
      REQUIRE_FALSE(quarantine.IsQuarantined({kCulprit}));
      // As if the others had not heard of the trial but of the response.
      TraitReport late = *quarantine.ReportOn(kCulprit, At(due + 30));
      late.trials = round;
      late.trial_age = milliseconds(30);
      quarantine.OnReport(late, At(due + 30));
      Crash(quarantine, {kCulprit}, 2, due + 100, 100 * round);
      ms = Crash(quarantine, {kCulprit}, 1, due + 1'300, 100 * round + 50);
      REQUIRE(quarantine.IsQuarantined({kCulprit}));
    }
  }
  SECTION("is not tried again because a trial was due but not made") {
    REQUIRE(quarantine.OnRequest({kCulprit}, At(last + 1'000), 0, kDaemons) ==
            QuarantineVerdict::kTrial);
    CHECK(quarantine.OnRequest({kCulprit}, At(last + 1'100), 0, kDaemons) ==
          QuarantineVerdict::kTrial);
    CHECK(quarantine.TimeUntilTrial({kCulprit}, At(last)) == seconds(1));
  }
  SECTION("is forgotten when it no longer comes") {
    quarantine.Expire(At(last) + RequestQuarantine::kQuietTime);
    CHECK(quarantine.IsQuarantined({kCulprit}));
    quarantine.Expire(At(last) + RequestQuarantine::kQuietTime + seconds(1));
    CHECK_FALSE(quarantine.IsQuarantined({kCulprit}));
  }
}

TEST_CASE("suspected requests do not displace suspected prompt parts") {
  RequestQuarantine quarantine;
  quarantine.OnCrash({kPart}, EndpointRun(1), At(0));
  constexpr auto kRequests =
      static_cast<std::uint32_t>(RequestQuarantine::kMaxTraits) + 1'000;
  for (std::uint32_t i = 0; i < kRequests; ++i) {
    quarantine.OnCrash({RequestFingerprint(10 + i)}, EndpointRun(2 + i),
                       At(static_cast<int>(i)));
  }
  CHECK(quarantine.ReportOn(kPart, At(static_cast<int>(kRequests))));
  CHECK(quarantine.traits().size() == 1 + RequestQuarantine::kMaxTraits);
}

TEST_CASE("sound requests are remembered up to a limit") {
  SoundHistory history(100);
  for (std::uint64_t i = 0; i < 1'000; ++i) {
    history.Add(RequestFingerprint(i), At(static_cast<int>(i)));
  }
  CHECK(history.Find(RequestFingerprint(999)) == At(999));
  CHECK(history.Find(RequestFingerprint(950)) == At(950));
  CHECK_FALSE(history.Find(RequestFingerprint(899)));
  history.Add(RequestFingerprint(999), At(5));
  CHECK(history.Find(RequestFingerprint(999)) == At(999));
}

TEST_CASE("the fingerprint of a request") {
  HttpRequest request;
  request.method = "POST";
  request.target = "/a/1?q=2";
  request.body = "body";
  request.fields.Add("Host", "a.example");
  request.fields.Add("X-Attempt-Id", "r1");
  request.fields.Add("X-Deadline-Ms", "900");
  const auto fingerprint = [](const HttpRequest& it,
                              const std::string& customer = "bells") {
    return FingerprintOf(*platform::HttpRelayCodec::Decode(it), customer);
  };
  const auto original = fingerprint(request);

  SECTION("is the same when the request comes again") {
    HttpRequest again = request;
    again.fields = {};
    again.fields.Add("X-Attempt-Id", "r2");
    again.fields.Add("Host", "a.example");
    again.fields.Add("X-Deadline-Ms", "50");
    CHECK(fingerprint(again) == original);
  }
  SECTION("differs by what the request is") {
    CHECK(fingerprint(request, "chimes") != original);
    const auto differs = [&](auto change) {
      HttpRequest other = request;
      change(other);
      return fingerprint(other) != original;
    };
    CHECK(differs([](auto& it) { it.method = "PUT"; }));
    CHECK(differs([](auto& it) { it.target = "/a/2?q=2"; }));
    CHECK(differs([](auto& it) { it.target = "/a/1?q=3"; }));
    CHECK(differs([](auto& it) { it.body = "other"; }));
    CHECK(differs([](auto& it) {
      it.target = "/a/1?q=";
      it.body = "2body";
    }));
    CHECK(
        differs([](auto& it) { it.fields.Add("X-Prompt-Prefix", "dead:90"); }));
    CHECK(differs([](auto& it) { it.fields.Add("X-Model-Name", "m"); }));
  }
}

TEST_CASE("a message about a request keeps what daemons need") {
  PeerMessage message;
  message.trait.emplace();
  message.trait->trait = RequestFingerprint(0xfedcba9876543210);
  message.trait->crashes.push_back({EndpointRun(7), milliseconds(12)});
  message.trait->trials = 1;
  const auto read = PeerMessage::Parse(message.ToText())->trait;
  REQUIRE(read);
  CHECK(read->trait == message.trait->trait);
  CHECK(read->crashes.size() == 1);
  CHECK(read->trials == 1);
}

}  // namespace
}  // namespace sycamoreford
