// What the scripts have in common: the record, the daemons and the callers.
#pragma once

#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <sys/types.h>

#include "http.h"

namespace review {

/// Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

/// Whether the disruption takes place: the variable TROUBLE is not 0.
bool HasTrouble();

/// Appends lines with the time to a file.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void Add(const std::string& line);

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

/// A relay daemon as the deploy file starts it.
class Daemon {
 public:
  struct Options {
    std::string root;
    std::string folder;
    std::string name;
    std::string zone = "ibadan";
    std::string ip = "127.0.0.1";
    std::string store;
    /// Addresses of other daemons for the start.
    std::string seeds{};
  };

  explicit Daemon(Options options);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start();
  void Signal(int number) const;
  /// Whether it has ended; waits for that up to `timeout`.
  bool HasEnded(milliseconds timeout);
  void Kill();
  [[nodiscard]] bool IsReady() const;
  bool AwaitReady(milliseconds timeout) const;
  void WriteSettings(int grace_s) const;

  [[nodiscard]] const std::string& callers() const { return callers_; }
  [[nodiscard]] const std::string& control() const { return control_; }
  [[nodiscard]] const std::string& name() const { return options_.name; }
  [[nodiscard]] std::string log_path() const;
  [[nodiscard]] std::string Log() const;

 private:
  Options options_;
  std::string callers_;
  std::string ready_;
  std::string control_;
  std::string internal_;
  std::string metrics_;
  pid_t pid_ = -1;
};

/// Parameters of a caller's request.
struct Call {
  std::string method = "POST";
  std::string target;
  std::string host = "ficu95.example";
  std::string id;
  int deadline_ms = 3'000;
  /// Further headers, each with its end of line.
  std::string headers{};
  std::string body{};
  /// Whether the caller asks to close the channel after the answer.
  bool closes = true;
};

std::string FormatCall(const Call& call);

/// Sends a request on a new channel and reads the answer.
///
/// \returns the answer; its status is 0 if there was none.
Message Ask(const std::string& address, const Call& call);

/// An id that no other request of this process has.
std::string NewId();

}  // namespace review
