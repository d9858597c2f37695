// Counts the endpoints that run a caller's request while links of relays to
// endpoints come and go and endpoints fail in all ways.
#include <random>
#include <string>

#include <catch2/catch.hpp>

#include "support/event_stream.h"
#include "support/failing_responses.h"
#include "support/relay_network.h"

namespace sycamoreford {
namespace {

using fakes::EndpointScript;
using fakes::LinkState;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::BreakStream;
using support::Fail;
using support::IdOf;
using support::NextEvent;
using support::RelayNetwork;
using support::ResetBeforeHead;
using support::RespondLate;
using support::StreamHeadFor;

/// Of the routes of the sample configuration.
constexpr std::size_t kMaxAttempts = 2;
constexpr std::size_t kRelays = 4;
constexpr std::size_t kEndpoints = 6;
constexpr int kEvents = 4;

/// A sound response, or any of the faults above.
class Lottery {
 public:
  explicit Lottery(unsigned seed) : random_(seed) {}

  EndpointScript operator()(std::size_t endpoint, const HttpRequest& request) {
    const bool is_stream = request.target.starts_with("/stream");
    switch (std::uniform_int_distribution<int>(0, 4)(random_)) {
      case 0:
        return Fail(endpoint, request);
      case 1:
        return ResetBeforeHead(endpoint, request);
      case 2:
        return is_stream ? BreakStream(endpoint, request)
                         : RespondLate(endpoint, request);
      case 3:
        return {fakes::WaitForClose()};
      default:
        return is_stream
                   ? WholeStream(request)
                   : EndpointScript{
                         fakes::Wait(milliseconds(10)),
                         fakes::Send("HTTP/1.1 200 OK\r\n" + IdOf(request) +
                                     "X-Response-Seal: s\r\n"
                                     "Content-Length: 4\r\n\r\nbody"),
                         fakes::Close()};
    }
  }

 private:
  static EndpointScript WholeStream(const HttpRequest& request) {
    EndpointScript script = {fakes::Send(StreamHeadFor(request))};
    for (int id = NextEvent(request); id < kEvents; ++id) {
      script.push_back(fakes::Send(support::Part(support::Event(id))));
      script.push_back(fakes::Wait(milliseconds(40)));
    }
    script.push_back(fakes::Send(support::BodyEnd()));
    script.push_back(fakes::Close());
    return script;
  }

  std::mt19937 random_;
};

TEST_CASE("links come and go while endpoints fail in all ways") {
  const unsigned seed = GENERATE(range(1U, 7U));
  CAPTURE(seed);
  RelayNetwork network(kRelays, kEndpoints, Lottery(seed));
  network.StartLoad(kRelays, {"/safe/", "/stream/", "/once/"},
                    milliseconds(10));
  std::mt19937 random(seed);
  const auto draw = [&](int end) {
    return std::uniform_int_distribution<int>(0, end - 1)(random);
  };
  for (int change = 0; change < 12; ++change) {
    network.SetLinks(static_cast<std::size_t>(draw(kRelays)),
                     static_cast<LinkState>(draw(4)));
    network.RunFor(milliseconds(200 + draw(800)));
  }
  CHECK(network.endpoints_of.size() >= 50);
  CHECK(network.CountOverBound(kMaxAttempts) == 0);
  for (const auto& answer : network.answers) {
    if (answer.path.starts_with("/once/")) {
      CAPTURE(answer.id, answer.status);
      const auto found = network.endpoints_of.find(answer.id);
      const std::size_t runs =
          found == network.endpoints_of.end() ? 0 : found->second.size();
      CHECK(runs <= 1);
      CHECK((answer.status != 503 || runs == 0));
    }
  }
}

}  // namespace
}  // namespace sycamoreford
