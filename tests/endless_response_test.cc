// Endpoints that send bytes without end, which are no response. Each must end
// within bounds of memory and time, without slowing other requests.
#include <catch2/catch.hpp>

#include <chrono>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include "support/event_stream.h"
#include "support/relay_fixture.h"
#include "sycamoreford/relay/event_splitter.h"

namespace sycamoreford {
namespace {

using fakes::EndpointScript;
using fakes::Send;
using fakes::SendForever;
using std::chrono::milliseconds;
using support::ParseResponse;
using support::RawConnection;
using support::RelayFixture;
using support::StreamHead;

constexpr milliseconds kTimeLimit{700};
/// Time after the limit within which a request must have ended.
constexpr milliseconds kMaxDelay{500};
/// Memory that one request may use for a response that is not one.
constexpr std::size_t kMaxBytes = 12UL * 1024 * 1024;

std::size_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

struct Form {
  const char* name;
  std::string begin;
  std::string endless;
};

std::vector<Form> Forms() {
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  return {{"a status line", "HTTP/1.1 200 ", "x"},
          {"bytes that are not HTTP", "", "garbage "},
          {"interim heads", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
          {"header lines", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
          {"a header value", "HTTP/1.1 200 OK\r\nX-More: ", "x"},
          {"a chunk extension", chunked + "4;", "x"},
          {"a chunk size", chunked, "0"},
          {"trailers", chunked + "4\r\nbody\r\n0\r\n", "X-More: 1\r\n"},
          {"a body without a length", head + "\r\n", "body"},
          {"chunks", chunked, "4\r\nbody\r\n"},
          {"a body that is longer than announced",
           head + "Content-Length: 4\r\n\r\nbody", "more"}};
}

/// Repeats bytes so that few writes send much.
std::string Repeat(const std::string& bytes) {
  constexpr std::size_t kSize = 64UL * 1024;
  std::string text;
  while (text.size() < kSize) {
    text += bytes;
  }
  return text;
}

TEST_CASE("responses without end") {
  const auto form = GENERATE(from_range(Forms()));
  const bool is_fast = GENERATE(true, false);
  const std::string path = GENERATE("/safe/1", "/stream/1");
  CAPTURE(form.name, is_fast, path);
  const EndpointScript endless = {
      Send(form.begin), is_fast ? SendForever(Repeat(form.endless))
                                : SendForever(form.endless, milliseconds(1))};
  RelayFixture fixture;
  fixture.Remove(path == "/safe/1" ? "p2" : "m2");
  fixture.plain_1.AddScript(endless);
  fixture.model_1.AddScript(endless);
  // The other kind of endpoint is sound.
  auto& sound = path == "/safe/1" ? fixture.model_2 : fixture.plain_2;
  sound.AddScript({Send(StreamHead() + support::Part(support::Event(0)) +
                        support::BodyEnd()),
                   fakes::Close()});
  fixture.Remove(path == "/safe/1" ? "m1" : "p1");
  fixture.Start([](RelayRoute& route) { route.time_limit = kTimeLimit; });

  const std::size_t before = ResidentBytes();
  std::size_t most = before;
  const auto begun_at = std::chrono::steady_clock::now();
  std::string text;
  std::thread caller([&] { text = fixture.Fetch("POST", path); });
  std::thread watch([&] {
    while (std::chrono::steady_clock::now() - begun_at < kTimeLimit) {
      most = std::max(most, ResidentBytes());
      std::this_thread::sleep_for(milliseconds(5));
    }
  });
  std::this_thread::sleep_for(milliseconds(100));
  const auto other_begun_at = std::chrono::steady_clock::now();
  const auto other = ParseResponse(
      fixture.Fetch("POST", path == "/safe/1" ? "/stream/1" : "/safe/1"));
  const auto other_time = std::chrono::steady_clock::now() - other_begun_at;
  caller.join();
  const auto time = std::chrono::steady_clock::now() - begun_at;
  watch.join();

  CHECK(time < kTimeLimit + kMaxDelay);
  CHECK(most - before < kMaxBytes);
  CHECK(other.status == "200");
  CHECK(other_time < milliseconds(300));
  const auto response = ParseResponse(text);
  const bool is_answered =
      path == "/safe/1" &&
      std::string(form.name) == "a body that is longer than announced";
  CHECK((response.status == "200" && response.is_complete) == is_answered);
  // The connection to the endpoint is closed.
  const auto& endpoint = path == "/safe/1" ? fixture.plain_1 : fixture.model_1;
  const auto sent = endpoint.requests().size();
  for (int i = 0;
       i < 50 && endpoint.closed_by_peer_count() < static_cast<int>(sent);
       ++i) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  CHECK(endpoint.closed_by_peer_count() == static_cast<int>(sent));
}

TEST_CASE("reports and orders without end") {
  const auto form = GENERATE(from_range(Forms()));
  const bool is_fast = GENERATE(true, false);
  CAPTURE(form.name, is_fast);
  RelayFixture fixture;
  const EndpointScript script = {
      Send(form.begin), is_fast ? SendForever(Repeat(form.endless))
                                : SendForever(form.endless, milliseconds(1))};
  fixture.model_1.report_script = script;
  fixture.model_1.AddScript(script);
  const std::size_t before = ResidentBytes();
  const auto begun_at = std::chrono::steady_clock::now();
  const bool is_order = GENERATE(false, true);
  bool has_ended = false;
  boost::asio::co_spawn(
      fixture.context,
      [&]() -> boost::asio::awaitable<void> {
        if (is_order) {
          (void)co_await fixture.control.SendOrder(fixture.model_1.address(),
                                                   {});
        } else {
          const auto report =
              co_await fixture.control.FetchReport(fixture.model_1.address());
          CHECK_FALSE(report.has_value());
        }
        has_ended = true;
      },
      boost::asio::detached);
  fixture.context.run_for(milliseconds(400));
  CHECK(has_ended);
  CHECK(fixture.model_1.closed_by_peer_count() == 1);
  CHECK(ResidentBytes() - before < kMaxBytes);
  CHECK(std::chrono::steady_clock::now() - begun_at < milliseconds(600));
}

TEST_CASE("an event without end") {
  EventSplitter splitter;
  const std::string bytes(1'000, 'x');
  std::size_t received = 0;
  while (!splitter.is_too_long() && received < 64UL * 1024 * 1024) {
    CHECK(splitter.Feed(bytes).empty());
    received += bytes.size();
  }
  CHECK(splitter.is_too_long());
  CHECK(received <= EventSplitter::kMaxEventBytes + bytes.size());

  SECTION("is scanned once, however it arrives") {
    EventSplitter slow;
    const auto begun_at = std::chrono::steady_clock::now();
    while (!slow.is_too_long()) {
      (void)slow.Feed("x");
    }
    CHECK(std::chrono::steady_clock::now() - begun_at < milliseconds(500));
  }
}

}  // namespace
}  // namespace sycamoreford
