#pragma once

#include <sys/types.h>

#include <atomic>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "net.h"

namespace review {

/// Writes `record.txt`: one line an event, with the time since the start.
///
/// Thread safety: may be used from any thread.
class Record {
 public:
  /// \param path file to write.
  explicit Record(const std::string& path) : file_(path) {}

  void Note(const std::string& text);
  [[nodiscard]] Clock::time_point started_at() const { return started_at_; }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point started_at_ = Clock::now();
};

/// A relay daemon as a process of its own, started as `deploy/system.toml`
/// says. The destructor ends it.
class Relay {
 public:
  /// \param folder temporary folder for its settings and its log.
  Relay(int index, const std::string& store, const std::string& folder);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Writes the settings and starts the process.
  void Start(const std::vector<std::string>& seeds);
  /// Waits until it is ready for requests.
  ///
  /// \returns false if it is not ready after 20 s.
  [[nodiscard]] bool WaitUntilReady() const;
  void Signal(int number) const;

  [[nodiscard]] const std::string& front() const { return front_; }
  [[nodiscard]] const std::string& control() const { return control_; }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] std::string metrics() const;

 private:
  std::string name_;
  std::string folder_;
  std::string store_;
  std::string front_;
  std::string ready_;
  std::string control_;
  std::string internal_;
  int metrics_port_ = 0;
  pid_t pid_ = -1;
};

/// A request of a caller and what came of it.
struct Answer {
  std::string id;
  std::string relay;
  std::string path;
  Clock::time_point sent_at;
  /// 0 if there was no complete answer.
  int status = 0;
  std::string body;
};

/// Sends requests, each on a connection of its own, and records them.
///
/// Thread safety: may be used from any thread.
class Callers {
 public:
  explicit Callers(Record& record) : record_(record) {}
  ~Callers() { Join(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  /// Sends one request and waits for its answer.
  Answer Ask(
      const Relay& relay,
      const std::string& path,
      const std::vector<std::pair<std::string, std::string>>& fields = {},
      Milliseconds deadline = Milliseconds(3'000));
  /// The same without waiting.
  void Send(const Relay& relay,
            const std::string& path,
            const std::vector<std::pair<std::string, std::string>>& fields = {},
            Milliseconds deadline = Milliseconds(3'000));
  /// Sends a request to each relay in turn, one each `interval`, until `end`.
  void Load(const std::vector<std::unique_ptr<Relay>>& relays,
            const std::string& path,
            Milliseconds interval,
            Clock::time_point end);
  /// Waits for all that was started.
  void Join();

  /// The answers to requests for paths with this prefix that were sent in
  /// this time.
  [[nodiscard]] std::vector<Answer> Sent(const std::string& prefix,
                                         Clock::time_point from,
                                         Clock::time_point to);

 private:
  Record& record_;
  std::mutex mutex_;
  std::atomic<int> count_{0};
  std::vector<Answer> answers_;
  std::vector<std::thread> threads_;
};

/// Share of the answers that are a success; 0 if there are none.
double ServedShare(const std::vector<Answer>& answers);

/// Starts relays that know each other as seeds, and waits until all are ready.
///
/// \returns nothing if one does not get ready.
std::vector<std::unique_ptr<Relay>> StartRelays(int count,
                                                const std::string& store,
                                                const std::string& folder,
                                                Record& record);

/// Whether the disruption is left out (`TROUBLE=0`).
bool IsWithoutTrouble();

/// A temporary folder, which is removed with what it holds.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  std::string path_;
};

/// Exit codes of a script.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

}  // namespace review
