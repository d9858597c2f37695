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

constexpr std::chrono::milliseconds kPoll{10};
constexpr std::chrono::seconds kStartTimeout{30};

std::string BuildFolder() {
  const char* folder = std::getenv("SYCAMORE_BIN");
  return folder == nullptr ? "." : folder;
}

}  // namespace

Process::Process(const std::string& program,
                 std::vector<std::string> arguments) {
  char name[] = "/tmp/sycamoreford-test-XXXXXX";
  const int file = mkstemp(name);
  output_ = name;
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, file, STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, file, STDERR_FILENO);
  std::string path = BuildFolder() + "/" + program;
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
    throw std::runtime_error("can not start " + path);
  }
}

Process::Process(Process&& other) noexcept
    : pid_(other.pid_), output_(std::move(other.output_)) {
  other.pid_ = -1;
  other.output_.clear();
}

Process::~Process() {
  if (pid_ > 0) {
    kill(pid_, SIGCONT);
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  if (!output_.empty()) {
    unlink(output_.c_str());
  }
}

std::string Process::Output() const {
  const std::ifstream file(output_);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string Process::WaitFor(const std::string& key) const {
  const auto bound = std::chrono::steady_clock::now() + kStartTimeout;
  while (std::chrono::steady_clock::now() < bound) {
    std::istringstream words(Output());
    for (std::string word; words >> word;) {
      if (word.starts_with(key + "=")) {
        return word.substr(key.size() + 1);
      }
    }
    std::this_thread::sleep_for(kPoll);
  }
  throw std::runtime_error("no " + key + " in: " + Output());
}

void Process::Signal(int number) const {
  kill(pid_, number);
}

int Process::Wait(std::chrono::milliseconds timeout) {
  const auto bound = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < bound) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    std::this_thread::sleep_for(kPoll);
  }
  throw std::runtime_error("still running: " + Output());
}

}  // namespace sycamoreford::support
