#include "support/process.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace sycamoreford::support {
namespace {

constexpr std::chrono::milliseconds kPollInterval{10};
constexpr std::chrono::seconds kStartTimeout{30};

std::string BuildDirectory() {
  const char* directory = std::getenv("SYCAMORE_BIN");
  return directory == nullptr ? "." : directory;
}

}  // namespace

Process::Process(const std::string& program,
                 std::vector<std::string> arguments) {
  char name[] = "/tmp/sycamoreford-test-XXXXXX";
  const int file = mkstemp(name);
  output_path_ = name;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, file, STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, file, STDERR_FILENO);
  std::string path =
      program.starts_with('/') ? program : BuildDirectory() + "/" + program;
  std::vector<char*> argv{path.data()};
  for (std::string& argument : arguments) {
    argv.push_back(argument.data());
  }
  argv.push_back(nullptr);
  const int error =
      posix_spawn(&pid_, path.c_str(), &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(file);
  if (error != 0) {
    throw std::runtime_error("cannot start " + path);
  }
}

Process::Process(Process&& other) noexcept
    : pid_(other.pid_), output_path_(std::move(other.output_path_)) {
  other.pid_ = -1;
  other.output_path_.clear();
}

Process::~Process() {
  if (pid_ > 0) {
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  if (!output_path_.empty()) {
    unlink(output_path_.c_str());
  }
}

std::string Process::Output() const {
  const std::ifstream file(output_path_);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Process::WaitForValue(const std::string& key) const {
  const auto deadline = std::chrono::steady_clock::now() + kStartTimeout;
  while (std::chrono::steady_clock::now() < deadline) {
    std::istringstream words(Output());
    for (std::string word; words >> word;) {
      if (word.starts_with(key + "=")) {
        return word.substr(key.size() + 1);
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  throw std::runtime_error("no " + key + " in: " + Output());
}

void Process::Signal(int number) const {
  kill(pid_, number);
}

int Process::Wait(std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  throw std::runtime_error("still running: " + Output());
}

}  // namespace sycamoreford::support
