// Configuration changes across real daemon processes while the table, daemons
// or messages fail.
#include <csignal>
#include <thread>

#include <nng/nng.h>
#include <catch2/catch.hpp>

#include <nng/protocol/pipeline0/push.h>

#include "support/test_deployment.h"
#include "sycamoreford/adapters/peer_channel.h"

namespace sycamoreford {
namespace {

using support::Fetch;
using support::Post;
using support::TestDeployment;

constexpr std::chrono::seconds kWaitTimeout{13};
/// Longer than the 15 s after a start in which a daemon does not yet guarantee
/// that no change above its revision is pending.
constexpr std::chrono::seconds kStartupGuaranteeDelay{17};

std::string PutPriority(int rank) {
  return R"({"edits":[{"verb":"VERB_PUT","kind":"KIND_PRIORITY","resource":)"
         R"({"name":"late","priority":{"rank":)" +
         std::to_string(rank) + "}}}]}";
}

void SetTable(TestDeployment& deployment, const std::string& mode) {
  REQUIRE(Post(deployment.table_address(), "/fake/mode",
               R"({"mode":")" + mode + R"("})")
              .has_value());
}

unsigned ReadinessStatus(TestDeployment& deployment, std::size_t daemon) {
  HttpRequest request;
  request.target = "/readyz";
  const auto ready = Fetch(deployment.caller_address(daemon), request);
  return ready ? ready->status : 0;
}

/// Sends raw bytes as one nng message.
void SendBytes(const std::string& address, std::string bytes) {
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  REQUIRE(nng_push0_open(&socket) == 0);
  REQUIRE(nng_dial(socket, ("tcp://" + address).c_str(), nullptr, 0) == 0);
  REQUIRE(nng_send(socket, bytes.data(), bytes.size(), 0) == 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  nng_close(socket);
}

bool WaitForLine(TestDeployment& deployment,
                 std::size_t daemon,
                 const std::string& text) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (deployment.daemon(daemon).Output().find(text) != std::string::npos) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

/// Whether the revisions logged as coming into force increase strictly.
bool RevisionsStrictlyIncrease(const std::string& log) {
  const std::string prefix = "event=config_in_force revision=";
  unsigned long highest = 0;
  for (std::size_t at = log.find(prefix); at != std::string::npos;
       at = log.find(prefix, at + 1)) {
    const unsigned long revision = std::stoul(log.substr(at + prefix.size()));
    if (revision <= highest) {
      return false;
    }
    highest = revision;
  }
  return highest > 0;
}

bool WaitForReadiness(TestDeployment& deployment,
                      std::size_t daemon,
                      unsigned status) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (std::chrono::steady_clock::now() < deadline) {
    if (ReadinessStatus(deployment, daemon) == status) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

TEST_CASE("A change accepted by one daemon comes into force at all daemons") {
  TestDeployment::Options options;
  options.daemons = 3;
  TestDeployment deployment(options);

  SECTION("whichever daemon accepted it") {
    for (std::size_t i = 0; i < 3; ++i) {
      REQUIRE(deployment.Apply(i, PutPriority(static_cast<int>(i) + 2)) == 0);
      for (std::size_t j = 0; j < 3; ++j) {
        deployment.WaitForRevision(j, i + 2);
      }
    }
    SECTION("and sycamorectl state shows all daemons at it") {
      std::string state;
      const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
      do {
        REQUIRE(deployment.RunSycamorectl(1, {"state"}, &state) == 0);
      } while (state.find("in force at 3 of 3") == std::string::npos &&
               std::chrono::steady_clock::now() < deadline);
      REQUIRE(state.find("revision 4 in force at 3 of 3") != std::string::npos);
    }
  }

  SECTION("when the table's answers are lost the outcome is still resolved") {
    SetTable(deployment, "lose_answers");
    std::string output;
    const int code = deployment.Apply(0, PutPriority(5), &output);
    SetTable(deployment, "up");
    CAPTURE(output);
    REQUIRE(code == 0);
    for (std::size_t j = 0; j < 3; ++j) {
      deployment.WaitForRevision(j, 2);
    }
  }

  SECTION("when the table is down a change is rejected and never appears") {
    SetTable(deployment, "down");
    std::string output;
    REQUIRE(deployment.Apply(0, PutPriority(5), &output) == 3);
    REQUIRE(output.find("table_unavailable") != std::string::npos);
    SetTable(deployment, "up");
    REQUIRE(deployment.Apply(1, PutPriority(6)) == 0);
    std::string history;
    REQUIRE(deployment.RunSycamorectl(0, {"history"}, &history) == 0);
    deployment.WaitForRevision(0, 2);
  }

  SECTION("a paused daemon catches up when it resumes") {
    deployment.daemon(2).Signal(SIGSTOP);
    REQUIRE(deployment.Apply(0, PutPriority(5)) == 0);
    std::this_thread::sleep_for(std::chrono::seconds(11));
    deployment.daemon(2).Signal(SIGCONT);
    deployment.WaitForRevision(2, 2);
    REQUIRE(WaitForReadiness(deployment, 2, 200));
  }

  SECTION("killing one of three daemons leaves the others a majority") {
    deployment.daemon(2).Signal(SIGKILL);
    REQUIRE(deployment.Apply(0, PutPriority(5)) == 0);
    deployment.WaitForRevision(1, 2);
    const std::size_t new_daemon = deployment.StartDaemon();
    deployment.WaitForRevision(new_daemon, 2);
    REQUIRE(WaitForReadiness(deployment, new_daemon, 200));
  }

  SECTION("malformed, invalid and outdated messages are rejected") {
    REQUIRE(deployment.Apply(0, PutPriority(5)) == 0);
    deployment.WaitForRevision(1, 2);
    SendBytes(deployment.peer_address(1), "\xff\xff not protobuf");
    PeerChannel channel("127.0.0.1:0");
    v1::PeerMessage message;
    REQUIRE(
        channel.Send(deployment.peer_address(1), message, SteadyClock().Now())
            .has_value());
    message.set_sender("stranger");
    message.set_reply_to(channel.address());
    message.set_revision(1);
    message.add_changes()->set_revision(1);
    message.mutable_snapshot()->set_revision(1);
    REQUIRE(
        channel.Send(deployment.peer_address(1), message, SteadyClock().Now())
            .has_value());
    REQUIRE(
        WaitForLine(deployment, 1, "event=peer_messages_malformed total=1"));
    REQUIRE(WaitForLine(deployment, 1, "event=peer_message_refused"));
    REQUIRE(deployment.Apply(1, PutPriority(6)) == 0);
    deployment.WaitForRevision(1, 3);
    REQUIRE(RevisionsStrictlyIncrease(deployment.daemon(1).Output()));
  }

  SECTION("the only survivor of three daemons accepts no change") {
    deployment.daemon(1).Signal(SIGKILL);
    deployment.daemon(2).Signal(SIGKILL);
    std::string output;
    REQUIRE(deployment.Apply(0, PutPriority(5), &output) == 3);
    REQUIRE(output.find("config_unconfirmed") != std::string::npos);
  }
}

TEST_CASE("In a table outage the daemons serve while a majority agrees") {
  TestDeployment::Options options;
  options.daemons = 3;
  TestDeployment deployment(options);
  std::this_thread::sleep_for(kStartupGuaranteeDelay);
  SetTable(deployment, "down");
  // Longer than the time for which the last read of the table counts as a
  // confirmation.
  std::this_thread::sleep_for(kWaitTimeout);
  for (std::size_t i = 0; i < 3; ++i) {
    REQUIRE(ReadinessStatus(deployment, i) == 200);
  }

  SECTION("a daemon started meanwhile serves the configuration of its peers") {
    const std::size_t new_daemon = deployment.StartDaemon();
    deployment.WaitForRevision(new_daemon, 1);
    REQUIRE(WaitForReadiness(deployment, new_daemon, 200));
    const auto answer = Fetch(deployment.caller_address(new_daemon),
                              TestDeployment::ChatRequest("Plan", 5, false));
    REQUIRE(answer.has_value());
    REQUIRE(answer->status == 200);
  }

  SECTION(
      "a daemon without a majority stops serving and returns typed errors") {
    deployment.daemon(1).Signal(SIGSTOP);
    deployment.daemon(2).Signal(SIGSTOP);
    REQUIRE(WaitForReadiness(deployment, 0, 503));
    const auto rejected = Fetch(deployment.caller_address(0),
                                TestDeployment::ChatRequest("Plan", 5, false));
    REQUIRE(rejected.has_value());
    REQUIRE(rejected->status == 503);
    REQUIRE(rejected->body.find("config_unconfirmed") != std::string::npos);
    REQUIRE(rejected->body.find(R"("outcome":"not_run")") != std::string::npos);
    REQUIRE_FALSE(rejected->fields.Get("retry-after").empty());
    deployment.daemon(1).Signal(SIGCONT);
    deployment.daemon(2).Signal(SIGCONT);
    REQUIRE(WaitForReadiness(deployment, 0, 200));
  }

  SECTION("a change is rejected, and all serve until the table is back") {
    REQUIRE(deployment.Apply(0, PutPriority(5)) == 3);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    REQUIRE(ReadinessStatus(deployment, 1) == 200);
    SetTable(deployment, "up");
    REQUIRE(deployment.Apply(0, PutPriority(6)) == 0);
    for (std::size_t i = 0; i < 3; ++i) {
      deployment.WaitForRevision(i, 2);
    }
  }
}

}  // namespace
}  // namespace sycamoreford
