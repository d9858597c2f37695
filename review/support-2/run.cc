#include "run.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <sstream>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

void Record::Add(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof(time), "%8.3f ", Now());
  const std::lock_guard lock(mutex_);
  file_ << time << line << std::endl;
}

Daemon::Daemon(Options options)
    : options_(std::move(options)),
      callers_(FreeAddress(options_.ip)),
      ready_(FreeAddress(options_.ip)),
      control_(FreeAddress(options_.ip)),
      internal_(FreeAddress(options_.ip)),
      metrics_(FreeAddress(options_.ip)) {}

Daemon::~Daemon() {
  Kill();
}

std::string Daemon::log_path() const {
  return options_.folder + "/" + options_.name + ".log";
}

std::string Daemon::Log() const {
  const std::ifstream file(log_path());
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void Daemon::WriteSettings(int grace_s) const {
  const std::string port = internal_.substr(internal_.rfind(':') + 1);
  std::ofstream(options_.folder + "/" + options_.name + ".conf")
      << "NodeName=" << options_.name
      << "\nRole=relay\nMachineClass=front\nServes=front,control\nIp="
      << options_.ip << "\nZone=" << options_.zone
      << "\nRegion=sw-ng\nZones.ibadan=sw-ng\nZones.oyo=sw-ng\n"
         "Listen.Front="
      << callers_ << "\nListen.Ready=" << ready_
      << "\nListen.Control=" << control_ << "\nInternalPorts=" << port << ","
      << port << "\nSeeds=" << options_.seeds
      << "\nBootstrap=true\nLimits.CpuShare=0.25\nLimits.Cores=1\n"
         "Limits.MemoryMb=260\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0\n"
         "Limits.DiskMb=0\nDiscovery=platform\nEntry=vip\nHeartbeatMs=1200\n"
         "Contracts=base,drain,config,cost,retry,recover,engine,stream,"
         "tenants,platform,layers\nBounds.SeedLagS=3\nBounds.AddrReuseS=2\n"
         "Bounds.ContactMs=3000\nBounds.AckMs=4000\nBounds.CatchUpS=4\n"
         "Bounds.DrainMs=2000\nBounds.GraceS="
      << grace_s
      << "\nBounds.LossSlackMs=200\nBounds.ConfigApplyMs=2000\n"
         "Bounds.BackMs=250\nBounds.StretchMaxMs=5000\n"
         "Bounds.StrictRevoke=false\nBounds.RevokeMs=5000\n"
         "Bounds.RetryBudgetRatio=0.2\nBounds.BudgetWindowS=10\n"
         "Bounds.BudgetExtra=202\nBounds.RecoverS=12\n"
         "Bounds.EventDelayMs=120\nBounds.RetryAfterS=0\n"
         "Bounds.stall_ms=2000\nBounds.Fencing=true\nPlatform.Address="
      << options_.store
      << "\nPlatform.form=table\nPlatform.WritesPerS=400\n"
         "Platform.ReadsPerS=2000\nPlatform.TxnTimeoutMs=3.0\n"
         "Platform.AppendsPerS=300\nPlatform.RowBytes=65536\n"
         "Platform.Across=true\nPlatform.HistoryRetentionS=20\n";
}

void Daemon::Start() {
  constexpr int kGraceS = 8;
  WriteSettings(kGraceS);
  const std::string program = options_.root + "/target/sycamore-relayd";
  std::string setting =
      "SYCAMOREFORD_CONFIG=" + options_.folder + "/" + options_.name + ".conf";
  std::string path = "PATH=/usr/bin:/bin";
  std::vector<char*> environment{setting.data(), path.data(), nullptr};
  std::string option = "--metrics-port";
  std::string metrics_port = metrics_.substr(metrics_.rfind(':') + 1);
  std::string name = program;
  std::vector<char*> arguments{name.data(), option.data(), metrics_port.data(),
                               nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = log_path();
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn(&pid_, program.c_str(), &actions, nullptr, arguments.data(),
                  environment.data()) != 0) {
    pid_ = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
}

void Daemon::Signal(int number) const {
  if (pid_ > 0) {
    kill(pid_, number);
  }
}

bool Daemon::HasEnded(milliseconds timeout) {
  const auto deadline = Clock::now() + timeout;
  do {
    int status = 0;
    if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return true;
    }
    SleepMs(10);
  } while (Clock::now() < deadline);
  return false;
}

void Daemon::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

bool Daemon::IsReady() const {
  const auto channel = Connect(ready_, milliseconds(500));
  if (!channel || !channel->Write("GET /ready HTTP/1.1\r\nHost: ready\r\n"
                                  "Connection: close\r\n\r\n")) {
    return false;
  }
  const auto answer = channel->Read(false, milliseconds(500));
  return answer && answer->status == 200;
}

bool Daemon::AwaitReady(milliseconds timeout) const {
  const auto deadline = Clock::now() + timeout;
  while (Clock::now() < deadline) {
    if (IsReady()) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

std::string FormatCall(const Call& call) {
  return call.method + " " + call.target + " HTTP/1.1\r\nHost: " + call.host +
         "\r\nX-Attempt-Id: " + call.id +
         "\r\nX-Deadline-Ms: " + std::to_string(call.deadline_ms) + "\r\n" +
         call.headers + (call.closes ? "Connection: close\r\n" : "") +
         "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" +
         call.body;
}

Message Ask(const std::string& address, const Call& call) {
  const auto channel = Connect(address, milliseconds(1'000));
  if (!channel || !channel->Write(FormatCall(call))) {
    return {};
  }
  const auto answer =
      channel->Read(false, milliseconds(call.deadline_ms + 1'000));
  return answer.value_or(Message());
}

std::string NewId() {
  static std::atomic<std::uint64_t> last{[] {
    constexpr unsigned kShift = 20;
    return static_cast<std::uint64_t>(std::random_device{}()) << kShift;
  }()};
  char text[24];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(++last));
  return text;
}

}  // namespace review
