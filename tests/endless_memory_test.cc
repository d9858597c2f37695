// Endpoints and callers that send without end, or much at once, to a daemon as
// a process. Its memory stays within half of the smallest VM, and the requests
// of others are served.
#include <catch2/catch.hpp>

#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/platform_route.h"
#include "support/raw_connection.h"
#include "support/relay_fleet.h"

namespace sycamoreford {
namespace {

using fakes::EndpointScript;
using fakes::Send;
using fakes::SendForever;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using support::PlatformRoute;
using support::RawConnection;
using support::RelayFleet;

/// The smallest VM has 160 MB.
constexpr std::size_t kMaxBytes = 80UL * 1024 * 1024;
constexpr milliseconds kTimeLimit{2'000};
/// Within which a sound request must be served meanwhile.
constexpr milliseconds kMaxSoundTime{1'000};

std::string Configuration() {
  return R"({"Version":1,"Services":[{"Name":"plain"},{"Name":"other"}],)"
         R"("Routes":[)" +
         PlatformRoute{.name = "safe",
                       .time_limit_ms = static_cast<int>(kTimeLimit.count())}
             .ToText() +
         "," +
         PlatformRoute{.name = "stream",
                       .kind = "stream",
                       .time_limit_ms = static_cast<int>(kTimeLimit.count())}
             .ToText() +
         "," + PlatformRoute{.name = "sound", .service = "other"}.ToText() +
         R"(],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,)"
         R"("HeaderTimeoutMs":5000,"IdleTimeoutMs":5000}})";
}

/// The most memory that a process has used so far.
std::size_t PeakBytes(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("VmHWM:")) {
      return std::stoul(line.substr(6)) * 1024;
    }
  }
  return 0;
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
  return {
      {"a declared length of 100 MB",
       head + "Content-Length: 104857600\r\n\r\n", "body"},
      {"a declared length that no memory holds",
       head + "Content-Length: 4000000000000000000\r\n\r\n", "body"},
      {"a declared length just within bounds",
       head + "Content-Length: 4194304\r\n\r\n", "body"},
      {"one chunk", chunked + "40000000\r\n", "body"},
      {"many chunks", chunked, "4\r\nbody\r\n"},
      {"a body without framing", head + "\r\n", "body"},
      {"an event", head + "Content-Type: text/event-stream\r\n\r\n", "data: x"},
      {"bytes that are not HTTP", "", "garbage "},
      {"header lines", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"},
      {"interim heads", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
      {"a chunk extension", chunked + "4;", "x"},
      {"trailers", chunked + "4\r\nbody\r\n0\r\n", "X-More: 1\r\n"}};
}

std::string Repeat(const std::string& bytes, std::size_t size) {
  std::string text;
  while (text.size() < size) {
    text += bytes;
  }
  return text;
}

std::string Request(const std::string& path, const std::string& more = "") {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\n"
         "X-Deadline-Ms: 4000\r\nConnection: close\r\n" +
         (more.empty() ? "Content-Length: 0\r\n\r\n" : more);
}

void StartDaemon(RelayFleet& fleet) {
  fleet.Write(Configuration());
  fleet.Start(0);
  const auto deadline = steady_clock::now() + milliseconds(15'000);
  while (!fleet.IsReady(0) && steady_clock::now() < deadline) {
    std::this_thread::sleep_for(milliseconds(20));
  }
  REQUIRE(fleet.IsReady(0));
}

/// Sends sound requests for a while; each must be served.
void CheckOthersAreServed(RelayFleet& fleet, milliseconds time) {
  const auto end = steady_clock::now() + time;
  while (steady_clock::now() < end) {
    const auto begun_at = steady_clock::now();
    const unsigned status = fleet.Ask(0, "/sound/1");
    CAPTURE(fleet.daemon(0).process->Output());
    REQUIRE(status == 200);
    CHECK(steady_clock::now() - begun_at < kMaxSoundTime);
    std::this_thread::sleep_for(milliseconds(20));
  }
}

std::vector<std::unique_ptr<RawConnection>>
SendAtOnce(RelayFleet& fleet, std::size_t count, const std::string& bytes) {
  std::vector<std::unique_ptr<RawConnection>> callers;
  for (std::size_t i = 0; i < count; ++i) {
    callers.push_back(std::make_unique<RawConnection>(fleet.daemon(0).callers));
    callers.back()->Send(bytes);
  }
  return callers;
}

TEST_CASE("responses without end to many callers at once") {
  const auto form = GENERATE(from_range(Forms()));
  const std::string path = GENERATE("/safe/1", "/stream/1");
  CAPTURE(form.name, path);
  const std::string block = Repeat(form.endless, 64UL * 1024);
  RelayFleet fleet(1, [&](const HttpRequest&) {
    return EndpointScript{Send(form.begin), SendForever(block)};
  });
  StartDaemon(fleet);
  const auto callers = SendAtOnce(fleet, 100, Request(path));
  CheckOthersAreServed(fleet, milliseconds(500));
  for (const auto& caller : callers) {
    const std::string response = caller->ReadAll();
    CHECK(response.starts_with("HTTP/1.1 "));
  }
  const std::size_t peak = PeakBytes(fleet.daemon(0).process->pid());
  CAPTURE(peak / 1024 / 1024);
  CHECK(peak < kMaxBytes);
  CheckOthersAreServed(fleet, milliseconds(100));
}

TEST_CASE("responses that trickle for as long as callers wait") {
  const std::string path = GENERATE("/safe/1", "/stream/1");
  CAPTURE(path);
  RelayFleet fleet(1, [&](const HttpRequest&) {
    return EndpointScript{
        Send(Forms().front().begin.substr(
            0, Forms().front().begin.find("Content"))),
        Send("\r\n"), SendForever(std::string(10'000, 'x'), milliseconds(20))};
  });
  StartDaemon(fleet);
  const auto callers = SendAtOnce(fleet, 300, Request(path));
  CheckOthersAreServed(fleet, kTimeLimit + milliseconds(500));
  const std::size_t peak = PeakBytes(fleet.daemon(0).process->pid());
  CAPTURE(peak / 1024 / 1024);
  CHECK(peak < kMaxBytes);
}

TEST_CASE("a thousand responses without end") {
  const std::string block = Repeat("body", 64UL * 1024);
  const std::string head = "HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n\r\n";
  RelayFleet fleet(1, [&](const HttpRequest&) {
    return EndpointScript{Send(head), SendForever(block)};
  });
  StartDaemon(fleet);
  for (int round = 0; round < 4; ++round) {
    const auto callers = SendAtOnce(fleet, 250, Request("/safe/1"));
    CheckOthersAreServed(fleet, milliseconds(300));
    for (const auto& caller : callers) {
      CHECK(caller->ReadAll().starts_with("HTTP/1.1 50"));
    }
  }
  const std::size_t peak = PeakBytes(fleet.daemon(0).process->pid());
  CAPTURE(peak / 1024 / 1024);
  CHECK(peak < kMaxBytes);
}

TEST_CASE("callers that send long bodies slowly, together") {
  RelayFleet fleet(1);
  StartDaemon(fleet);
  const auto callers =
      SendAtOnce(fleet, 150,
                 Request("/safe/1", "Content-Length: 1000000\r\n\r\n" +
                                        std::string(900'000, 'x')));
  SECTION("do not keep others from being served") {
    CheckOthersAreServed(fleet, milliseconds(1'500));
    const std::size_t peak = PeakBytes(fleet.daemon(0).process->pid());
    CAPTURE(peak / 1024 / 1024);
    CHECK(peak < kMaxBytes);
  }
  SECTION("are told that their requests have not run, or are served") {
    std::size_t refused = 0;
    for (const auto& caller : callers) {
      caller->Send(std::string(100'000, 'x'));
      const unsigned status = caller->ReadResponse(milliseconds(3'000));
      // A caller that sends on after the refusal may not read it any more.
      CHECK((status == 200 || status == 503 || status == 0));
      refused += status == 200 ? 0 : 1;
    }
    CHECK(refused > 0);
    CHECK(refused < callers.size());
    CheckOthersAreServed(fleet, milliseconds(100));
  }
}

TEST_CASE("callers that send heads without end") {
  RelayFleet fleet(1);
  StartDaemon(fleet);
  const std::string chunk_extension =
      Request("/safe/1", "Transfer-Encoding: chunked\r\n\r\n4;") +
      std::string(2'000'000, 'x');
  const std::string header = "POST /safe/1 HTTP/1.1\r\nHost: a.example\r\n" +
                             Repeat("X-More: 1\r\n", 2'000'000);
  const std::string bytes = GENERATE_COPY(chunk_extension, header);
  const auto callers = SendAtOnce(fleet, 100, bytes);
  CheckOthersAreServed(fleet, milliseconds(500));
  const std::size_t peak = PeakBytes(fleet.daemon(0).process->pid());
  CAPTURE(peak / 1024 / 1024);
  CHECK(peak < kMaxBytes);
}

}  // namespace
}  // namespace sycamoreford
