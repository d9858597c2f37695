#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <sys/types.h>

namespace sycamoreford::support {

/// A child process that runs one of the project's programs for a test; the
/// destructor kills it.
class Process {
 public:
  /// Starts `program`, an absolute path or one below the build
  /// directory, with its output in a
  /// temporary file.
  Process(const std::string& program, std::vector<std::string> arguments);
  ~Process();
  Process(Process&& other) noexcept;
  Process& operator=(Process&&) = delete;

  /// Waits until the output contains a word `key=value` and returns the value;
  /// throws std::runtime_error after 30 seconds without one.
  [[nodiscard]] std::string WaitForValue(const std::string& key) const;

  /// Everything written to stdout and stderr so far.
  [[nodiscard]] std::string Output() const;

  [[nodiscard]] pid_t pid() const noexcept { return pid_; }

  void Signal(int number) const;

  /// Waits for the process to exit; throws std::runtime_error after `timeout`.
  ///
  /// \returns the exit code, or the negated number of the signal that ended it.
  int Wait(std::chrono::milliseconds timeout);

 private:
  pid_t pid_ = -1;
  std::string output_path_;
};

}  // namespace sycamoreford::support
