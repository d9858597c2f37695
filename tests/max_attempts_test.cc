// Counts the endpoints that run a caller's request when relays without links
// to endpoints send it through others.
#include <random>
#include <string>

#include <catch2/catch.hpp>

#include "support/event_stream.h"
#include "support/relay_network.h"

namespace sycamoreford {
namespace {

using fakes::EndpointScript;
using fakes::LinkState;
using std::chrono::milliseconds;
using std::chrono::seconds;
using support::RelayNetwork;

/// Of the routes of the sample configuration.
constexpr std::size_t kMaxAttempts = 2;
constexpr std::size_t kRelays = 4;
constexpr std::size_t kCutRelays = 2;
constexpr std::size_t kEndpoints = 6;
constexpr int kEvents = 4;

std::string IdOf(const HttpRequest& request) {
  return "X-Attempt-Id: " + std::string(request.fields.Get("X-Attempt-Id")) +
         "\r\n";
}

std::string StreamHead(const HttpRequest& request) {
  return "HTTP/1.1 200 OK\r\n" + IdOf(request) +
         "X-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

int NextEvent(const HttpRequest& request) {
  const std::string last(request.fields.Get("Last-Event-Id"));
  return last.empty() ? 0 : std::stoi(last) + 1;
}

EndpointScript RespondLate(std::size_t /*endpoint*/,
                           const HttpRequest& request) {
  return {fakes::Wait(seconds(4)),
          fakes::Send("HTTP/1.1 200 OK\r\n" + IdOf(request) +
                      "X-Response-Seal: s\r\nContent-Length: 4\r\n\r\nbody"),
          fakes::Close()};
}

EndpointScript Fail(std::size_t /*endpoint*/, const HttpRequest& request) {
  return {fakes::Wait(milliseconds(20)),
          fakes::Send("HTTP/1.1 500 Internal Server Error\r\n" + IdOf(request) +
                      "X-Response-Seal: s\r\nContent-Length: 4\r\n\r\nfail"),
          fakes::Close()};
}

EndpointScript ResetBeforeHead(std::size_t /*endpoint*/,
                               const HttpRequest& /*request*/) {
  return {fakes::Wait(milliseconds(20)), fakes::Reset()};
}

/// One event, then the connection is reset.
EndpointScript BreakStream(std::size_t /*endpoint*/,
                           const HttpRequest& request) {
  return {fakes::Send(StreamHead(request) +
                      support::Part(support::Event(NextEvent(request)))),
          fakes::Wait(milliseconds(30)), fakes::Reset()};
}

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
    EndpointScript script = {fakes::Send(StreamHead(request))};
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

TEST_CASE("a request runs on no more endpoints than its route allows") {
  struct Case {
    std::string what;
    std::string path;
    RelayNetwork::Responder respond;
    milliseconds time{2'500};
  };
  const auto test = GENERATE(
      Case{"endpoints respond late", "/safe/", RespondLate, seconds(6)},
      Case{"endpoints respond with errors", "/safe/", Fail},
      Case{"endpoints reset connections", "/safe/", ResetBeforeHead},
      Case{"endpoints break streams", "/stream/", BreakStream},
      Case{"endpoints of a model respond with errors", "/stream/", Fail},
      Case{"endpoints of a model reset connections", "/stream/",
           ResetBeforeHead});
  const auto state = GENERATE(LinkState::kUp, LinkState::kHanging,
                              LinkState::kReset, LinkState::kRefusing);
  CAPTURE(test.what, static_cast<int>(state));
  RelayNetwork network(kRelays, kEndpoints, test.respond);
  for (std::size_t relay = 0; relay < kCutRelays; ++relay) {
    network.SetLinks(relay, state);
  }
  network.StartLoad(kCutRelays, {test.path}, milliseconds(25));
  network.RunFor(test.time);
  CHECK(network.endpoints_of.size() >= 20);
  CHECK(network.CountOverBound(kMaxAttempts) == 0);
}

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
