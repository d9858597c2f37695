// CPU time, memory and threads of one daemon process, idle and per request at
// three answer lengths, for docs/CAPACITY.md.
//   daemon_bench [IDLE_SECONDS]
#include <cstdio>
#include <fstream>
#include <future>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

#include "support/test_deployment.h"

namespace sycamoreford {
namespace {

using support::Fetch;
using support::TestDeployment;

constexpr int kConcurrentRequests = 4;
constexpr int kRounds = 10;

/// CPU time of a process so far (utime and stime of /proc/PID/stat), in
/// microseconds.
double CpuMicroseconds(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string field;
  double ticks = 0;
  for (int i = 0; i < 13 && fields >> field; ++i) {
    if (i >= 11) {
      ticks += std::stod(field);
    }
  }
  return ticks * 1e6 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::string StatusLine(pid_t pid, const std::string& key) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with(key)) {
      return line.substr(key.size() + 1);
    }
  }
  return "?";
}

/// Requests answers of `tokens` tokens, kConcurrentRequests at a time; returns
/// the number of complete answers.
int CountCompleteAnswers(TestDeployment& deployment, std::uint32_t tokens) {
  int complete = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<std::future<bool>> answers;
    answers.reserve(kConcurrentRequests);
    for (int i = 0; i < kConcurrentRequests; ++i) {
      answers.push_back(std::async(std::launch::async, [&deployment, tokens] {
        const auto answer =
            Fetch(deployment.caller_address(0),
                  TestDeployment::ChatRequest("Ring", tokens, true));
        return answer && TestDeployment::AnswerText(*answer).has_value();
      }));
    }
    for (auto& answer : answers) {
      complete += answer.get() ? 1 : 0;
    }
  }
  return complete;
}

void Measure(int idle_seconds) {
  TestDeployment deployment(
      {.daemons = 3,
       .table = R"("poll_interval_ms": 3000, "timeout_ms": 1500)"});
  const pid_t pid = deployment.daemon(0).pid();
  const double before = CpuMicroseconds(pid);
  std::this_thread::sleep_for(std::chrono::seconds(idle_seconds));
  const double idle_cpu = (CpuMicroseconds(pid) - before) / 1e6 / idle_seconds;
  std::printf("idle cpu_percent=%.3f rss=%s threads=%s\n", idle_cpu * 100,
              StatusLine(pid, "VmRSS:").c_str(),
              StatusLine(pid, "Threads:").c_str());
  for (const std::uint32_t tokens : {25U, 100U, 400U}) {
    const double start = CpuMicroseconds(pid);
    const int complete = CountCompleteAnswers(deployment, tokens);
    const double spent = CpuMicroseconds(pid) - start;
    std::printf("tokens=%u whole=%d of %d cpu_us_per_request=%.0f rss=%s\n",
                tokens, complete, kConcurrentRequests * kRounds,
                spent / (kConcurrentRequests * kRounds),
                StatusLine(pid, "VmRSS:").c_str());
  }
}

}  // namespace
}  // namespace sycamoreford

int main(int argc, char** argv) {
  sycamoreford::Measure(argc > 1 ? std::stoi(argv[1]) : 20);
  return 0;
}
