// A relay that may send a quarantined request once, to find out whether
// endpoints still crash under it.
#include <chrono>
#include <future>
#include <string>
#include <thread>

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include "support/event_stream.h"
#include "support/relay_fixture.h"
#include "sycamoreford/relay/request_fingerprint.h"

namespace sycamoreford {
namespace {

using std::chrono::milliseconds;
using support::ParseResponse;
using support::RelayFixture;

const std::string kApiKey = "Api-Key: key-1\r\n";

/// Makes the relay believe that endpoints crashed under a request.
void Quarantine(RelayFixture& fixture, const std::string& path) {
  HttpRequest request;
  request.method = "POST";
  request.target = path;
  request.fields.Add("Host", "a.example");
  request.fields.Add("X-Attempt-Id", "r1");
  const auto decoded = platform::HttpRelayCodec::Decode(request);
  for (std::uint32_t run = 1; run <= 3; ++run) {
    fixture.state.quarantine().OnCrash({FingerprintOf(*decoded, "bells")}, "e",
                                       EndpointRun(run), fixture.clock.Now());
  }
}

std::uint32_t TrialCount(RelayFixture& fixture) {
  std::promise<std::uint32_t> count;
  boost::asio::post(fixture.context, [&] {
    const auto reports =
        fixture.state.quarantine().QuarantineReports(fixture.clock.Now());
    count.set_value(reports.empty() ? 0 : reports.front().trials);
  });
  return count.get_future().get();
}

TEST_CASE("a trial of a quarantined request") {
  RelayFixture fixture;
  for (const std::string id : {"p2", "m2"}) {
    fixture.Remove(id);
  }
  const std::string path = GENERATE("/safe/1", "/stream/1");
  CAPTURE(path);
  Quarantine(fixture, path);
  const auto fetch = [&] {
    return ParseResponse(fixture.Fetch("POST", path)).status;
  };

  SECTION("is not made before it is due") {
    fixture.Start();
    CHECK(fetch() == "503");
    CHECK(fixture.plain_1.requests().empty());
    CHECK(fixture.model_1.requests().empty());
  }
  SECTION("is not spent if no connection is established") {
    fixture.plain_1.StopListening();
    fixture.model_1.StopListening();
    fixture.Start();
    std::this_thread::sleep_for(RequestQuarantine::kFirstTrialDelay);
    CHECK(fetch() == "503");
    CHECK(TrialCount(fixture) == 0);
  }
  SECTION("is spent when the endpoint gets it, and is not made again") {
    fixture.plain_1.AddScript({fakes::Reset()});
    fixture.model_1.AddScript({fakes::Reset()});
    fixture.Start();
    std::this_thread::sleep_for(RequestQuarantine::kFirstTrialDelay);
    CHECK(fetch() == "502");
    CHECK(TrialCount(fixture) == 1);
    std::this_thread::sleep_for(RequestQuarantine::kFirstTrialDelay);
    const std::string refusal = fixture.Fetch("POST", path);
    CHECK(ParseResponse(refusal).status == "503");
    const std::string header = "Retry-After: ";
    const auto seconds =
        std::stod(refusal.substr(refusal.find(header) + header.size()));
    CHECK(seconds > 55);
    CHECK(fixture.plain_1.requests().size() +
              fixture.model_1.requests().size() ==
          1);
  }
  SECTION("is made by one of several copies") {
    const fakes::EndpointScript slow = {fakes::Wait(milliseconds(200)),
                                        fakes::Reset()};
    fixture.plain_1.AddScript(slow);
    fixture.model_1.AddScript(slow);
    fixture.Start();
    std::this_thread::sleep_for(RequestQuarantine::kFirstTrialDelay);
    auto first = std::async(std::launch::async, fetch);
    auto second = std::async(std::launch::async, fetch);
    const std::string one = first.get();
    const std::string other = second.get();
    CHECK((one == "503") != (other == "503"));
    CHECK(fixture.plain_1.requests().size() +
              fixture.model_1.requests().size() ==
          1);
  }
}

}  // namespace
}  // namespace sycamoreford
