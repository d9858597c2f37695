// A stand-in for a replica of a service without an engine.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "run.h"
#include "store.h"

namespace review {

class PlainReplica {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone = "ibadan";
    std::string ip = "127.0.0.1";
    int work_ms = 5;
  };
  /// Handles a request instead of the replica; false to let it answer.
  using Handler = std::function<bool(const Message&, Channel&)>;

  PlainReplica(Options options, Store& store, Record& record);
  ~PlainReplica();
  PlainReplica(const PlainReplica&) = delete;
  PlainReplica& operator=(const PlainReplica&) = delete;

  void SetHandler(Handler handler) { handler_ = std::move(handler); }
  /// Whether it reports to the store.
  void SetHeartbeats(bool is_sent) { sends_heartbeats_ = is_sent; }
  /// Number of times that it has run the request with this id.
  int Runs(const std::string& id);
  void NoteRun(const Message& request);
  [[nodiscard]] const std::string& address() const { return server_.address(); }
  [[nodiscard]] const std::string& id() const { return options_.id; }

 private:
  void Beat();
  void Handle(Channel& channel);

  Options options_;
  Store& store_;
  Record& record_;
  Handler handler_;
  std::uint64_t born_;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::atomic<bool> sends_heartbeats_{true};
  std::atomic<bool> is_stopped_{false};
  Server server_;
  std::thread beat_;
};

}  // namespace review
