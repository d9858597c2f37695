#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "net.h"
#include "store.h"

namespace review {

/// A replica of a plain service. It answers each request with 200 and its seal,
/// and writes its entry into the store.
///
/// Thread safety: all methods may be called from any thread.
class Replica {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone = "ibadan";
    Milliseconds work{20};
  };
  /// A request that has run.
  struct Run {
    Clock::time_point at;
    std::string request;
    std::string replica;
    std::string target;
  };

  Replica(Store& store, Options options);
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Writes the entry.
  ///
  /// \returns the version; 0 if the store is away.
  std::uint64_t Announce(const std::string& state = "ready");
  /// Sets how much longer the replica is slow after its start.
  void SetCold(Milliseconds left);
  /// Drops the entry.
  void Withdraw();
  /// Says from now on in all answers that the replica leaves.
  void Leave();
  /// Ends the process. Requests that run are lost.
  void End();
  /// Starts again under the same id.
  void Restart();

  [[nodiscard]] std::vector<Run> runs();
  [[nodiscard]] std::uint64_t born();

 private:
  bool Answer(Connection& connection, const Message& request);
  [[nodiscard]] std::string Entry(const std::string& state);

  Store& store_;
  Options options_;
  std::mutex mutex_;
  std::uint64_t born_ = UnixMs();
  std::uint64_t sequence_ = 0;
  Milliseconds cold_{0};
  bool is_leaving_ = false;
  std::vector<Run> runs_;
  Server server_;
};

}  // namespace review
