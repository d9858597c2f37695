// What the selector of a plain service knows of attempts that are in flight.
#include <catch2/catch.hpp>

#include <memory>

#include <boost/asio/io_context.hpp>

#include "http_relay_codec.h"
#include "sycamoreford/adapters/endpoint_attempt.h"

namespace sycamoreford {
namespace {

struct StoppedClock {
  TimePoint now{std::chrono::hours(1)};
  [[nodiscard]] TimePoint Now() const { return now; }
};

using Attempt = EndpointAttempt<platform::HttpRelayCodec, StoppedClock>;

class SelectorFixture {
 public:
  SelectorFixture() {
    for (const std::string id : {"p1", "p2"}) {
      EndpointRecord record;
      record.id = id;
      record.service = "plain";
      record.data_centre = "north";
      directory_.Upsert(record);
    }
  }

  [[nodiscard]] std::unique_ptr<Attempt> Send(const std::string& endpoint) {
    EndpointAttemptOptions options;
    options.request_id = "r1";
    options.endpoint = endpoint;
    return std::make_unique<Attempt>(selector_, clock_, context_.get_executor(),
                                     std::move(options));
  }

  /// A request to the endpoint fails at once.
  void Fail(const std::string& endpoint) {
    selector_.OnSent(endpoint);
    selector_.OnResponse(endpoint, clock_.Now(), Duration::zero(), false);
  }

  [[nodiscard]] std::string Pick() const {
    return selector_.Pick(directory_, "plain", clock_.Now(), {}, false)
        ->record.id;
  }

 private:
  boost::asio::io_context context_{1};
  StoppedClock clock_;
  EndpointDirectory directory_;
  ServiceSelector selector_{"north"};
};

TEST_CASE("an overdue attempt counts as in flight until it ends") {
  SelectorFixture fixture;
  auto attempt = fixture.Send("p1");
  attempt->OnOverdue();
  fixture.Fail("p2");
  // Both have failed once, and one still works on a request.
  REQUIRE(fixture.Pick() == "p2");
  SECTION("by its destruction") {
    attempt.reset();
  }
  SECTION("by being abandoned") {
    attempt->Abandon();
  }
  REQUIRE(fixture.Pick() == "p1");
}

TEST_CASE("an overdue attempt counts as one failure") {
  SelectorFixture fixture;
  auto attempt = fixture.Send("p1");
  attempt->OnOverdue();
  attempt->OnOverdue();
  attempt.reset();
  fixture.Fail("p2");
  REQUIRE(fixture.Pick() == "p1");
}

}  // namespace
}  // namespace sycamoreford
