#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <sys/types.h>

namespace sycamoreford::support {

/// A process of the project's own, started for a test and ended with it.
class Process {
 public:
  /// Starts `program`, a path below the build folder, with its output in a
  /// file of its own.
  Process(const std::string& program, std::vector<std::string> arguments);
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&&) = delete;

  /// Waits until a line of the output holds `key=` and returns the value;
  /// throws std::runtime_error after ten seconds without one.
  [[nodiscard]] std::string WaitForValue(const std::string& key) const;

  /// Everything that it has written so far.
  [[nodiscard]] std::string Output() const;

  /// Its process id.
  [[nodiscard]] pid_t pid() const noexcept { return pid_; }

  /// Sends a signal.
  void Signal(int number) const;

  /// Waits for its end; throws std::runtime_error after `timeout`.
  ///
  /// \returns the exit code, or the negative number of the signal.
  int Wait(std::chrono::milliseconds timeout);

 private:
  pid_t pid_ = -1;
  std::string output_path_;
};

}  // namespace sycamoreford::support
