// Relay daemons as processes, and the record of a case.
#pragma once

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "http.h"
#include "store.h"

namespace review {

inline constexpr int kExitHeld = 0;
inline constexpr int kExitBroken = 1;
inline constexpr int kExitCannotRun = 2;

/// Writes lines with the time since the start to record.txt.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}

  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f ", Seconds());
    file_ << time << text << std::endl;
  }
  /// Seconds since the start.
  [[nodiscard]] double Seconds() const {
    return std::chrono::duration<double>(Now() - begun_at_).count();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  SteadyTime begun_at_ = Now();
};

/// An address range of this run, so that fixed ports are free.
inline std::string DrawNetwork() {
  std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> number(20, 250);
  std::string network = "127.";
  network += std::to_string(number(random)) + "." +
             std::to_string(number(random)) + ".";
  return network;
}

struct DaemonOptions {
  std::string name;
  std::string zone;
  std::string ip;
  std::string store;
  std::string seeds;
};

/// One relay daemon, started with the command of the deploy file.
class Daemon {
 public:
  Daemon(DaemonOptions options, std::string folder)
      : options_(std::move(options)),
        settings_(folder + "/" + options_.name + ".conf"),
        log_(folder + "/" + options_.name + ".log") {
    WriteSettings();
  }
  ~Daemon() { Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start() {
    pid_ = ::fork();
    if (pid_ != 0) {
      return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(log_.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::setenv("SYCAMOREFORD_CONFIG", settings_.c_str(), 1);
    ::execl("target/sycamore-relayd", "target/sycamore-relayd",
            "--metrics-port", "9464", nullptr);
    ::_exit(127);
  }

  void Signal(int number) const {
    if (pid_ > 0) {
      ::kill(pid_, number);
    }
  }
  void Kill() {
    if (pid_ > 0) {
      ::kill(pid_, SIGCONT);
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  /// Whether the process has ended by itself, which is recorded by `status`.
  [[nodiscard]] bool HasEnded(int& status) {
    if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return true;
    }
    return false;
  }

  [[nodiscard]] bool IsReady() const {
    return Fetch(ready(), "GET", "/ready", {{"Host", "ready"}}, "", Ms(500))
               .status == 200;
  }
  bool WaitUntilReady(Ms timeout) const {
    const SteadyTime deadline = Now() + timeout;
    while (Now() < deadline) {
      if (IsReady()) {
        return true;
      }
      std::this_thread::sleep_for(Ms(50));
    }
    return false;
  }

  [[nodiscard]] const std::string& name() const { return options_.name; }
  [[nodiscard]] std::string front() const { return options_.ip + ":8227"; }
  [[nodiscard]] std::string ready() const { return options_.ip + ":8220"; }
  [[nodiscard]] pid_t pid() const { return pid_; }

 private:
  /// The fields and bounds are those of the installations' sheets.
  void WriteSettings() const {
    std::ofstream(settings_)
        << "NodeName=" << options_.name << "\nRole=relay\nMachineClass=front\n"
        << "Serves=front,control\nIp=" << options_.ip
        << "\nZone=" << options_.zone
        << "\nRegion=region\nListen.Front=" << front()
        << "\nListen.Ready=" << ready() << "\nListen.Control=" << options_.ip
        << ":8229\nInternalPorts=7340,7355\nSeeds=" << options_.seeds
        << "\nBootstrap=true\nLimits.CpuShare=0.25\nLimits.Cores=1\n"
           "Limits.MemoryMb=260\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0\n"
           "Limits.DiskMb=0\nDiscovery=platform\nEntry=vip\nHeartbeatMs=1200\n"
           "Contracts=base,drain,config,cost,retry,recover,engine,stream,"
           "tenants,platform,layers\nBounds.SeedLagS=3\nBounds.AddrReuseS=2\n"
           "Bounds.ContactMs=3000\nBounds.AckMs=4000\nBounds.CatchUpS=4\n"
           "Bounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200\n"
           "Bounds.ConfigApplyMs=2000\nBounds.BackMs=250\n"
           "Bounds.StretchMaxMs=5000\nBounds.RetryBudgetRatio=0.2\n"
           "Bounds.BudgetWindowS=10\nBounds.BudgetExtra=202\n"
           "Bounds.RecoverS=12\nBounds.EventDelayMs=120\nBounds.stall_ms=2000\n"
           "Bounds.Fencing=true\nPlatform.form=table\nPlatform.Address="
        << options_.store
        << "\nPlatform.WritesPerS=400\nPlatform.ReadsPerS=2000\n";
  }

  DaemonOptions options_;
  std::string settings_;
  std::string log_;
  pid_t pid_ = -1;
};

/// A store and daemons in three zones.
class Deployment {
 public:
  Deployment(std::size_t count, const std::string& manifest)
      : network_(DrawNetwork()),
        folder_(MakeFolder()),
        store_(network_ + "200") {
    store_.Set("op", "config", manifest);
    const std::vector<std::string> zones = {"a", "b", "c"};
    for (std::size_t i = 0; i < count; ++i) {
      daemons_.push_back(std::make_unique<Daemon>(
          DaemonOptions{
              .name = "front-" + zones[i % 3] + "-" + std::to_string(1 + i / 3),
              .zone = zones[i % 3],
              .ip = network_ + std::to_string(10 + i),
              .store = store_.address(),
              .seeds = network_ + "10:8229"},
          folder_));
    }
  }
  ~Deployment() {
    daemons_.clear();
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(folder_);
    } else {
      std::cerr << "logs: " << folder_ << '\n';
    }
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Starts all daemons.
  ///
  /// \returns false if one of them does not become ready.
  bool Start() {
    for (const auto& daemon : daemons_) {
      daemon->Start();
    }
    return WaitUntilReady();
  }
  [[nodiscard]] bool WaitUntilReady() const {
    return std::all_of(daemons_.begin(), daemons_.end(), [](const auto& it) {
      return it->WaitUntilReady(Ms(15'000));
    });
  }

  [[nodiscard]] Store& store() { return store_; }
  [[nodiscard]] Daemon& daemon(std::size_t i) { return *daemons_.at(i); }
  [[nodiscard]] std::size_t size() const { return daemons_.size(); }
  [[nodiscard]] std::string Ip(int host) const {
    return network_ + std::to_string(host);
  }

 private:
  static std::string MakeFolder() {
    std::string name =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
    return name;
  }

  std::string network_;
  std::string folder_;
  Store store_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

/// Unix time in ms.
inline std::uint64_t UnixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Ms>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

/// Whether the disruption of the case happens.
inline bool IsTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

}  // namespace review
