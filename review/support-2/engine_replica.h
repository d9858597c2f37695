// A stand-in for a replica that holds layers of a model and streams answers.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "run.h"
#include "store.h"

namespace review {

/// Layers of the model in `ModelService`.
inline constexpr int kLayers = 8;

/// The service of a model as a manifest lists it.
std::string ModelService(const std::string& name);

/// The data of an event of a stream; the same at all replicas.
std::string EventData(const std::string& target, int id);

class EngineReplica {
 public:
  struct Options {
    std::string id;
    std::string service;
    std::string zone = "ibadan";
    std::string ip = "127.0.0.1";
    std::string kind = "a100";
    int events = 20;
    int pause_ms = 30;
    int load_ms = 300;
  };
  struct Order {
    double time = 0;
    std::uint64_t fence = 0;
    unsigned status = 0;
    int from = 0;
    int to = 0;
  };
  /// Handles a request instead of the replica; false to let it answer.
  using Handler = std::function<bool(EngineReplica&, const Message&, Channel&)>;

  EngineReplica(Options options, Store& store, Record& record);
  ~EngineReplica();
  EngineReplica(const EngineReplica&) = delete;
  EngineReplica& operator=(const EngineReplica&) = delete;

  /// Set before the first request.
  void SetHandler(Handler handler) { handler_ = std::move(handler); }
  /// Crashes, and starts again empty under the same id after `down`. It sends
  /// nothing meanwhile.
  void Crash(milliseconds down);
  /// Reports `draining` and says so in its answers.
  void Leave();
  void SetHeartbeats(bool is_sent) { sends_heartbeats_ = is_sent; }
  /// Whether it holds all layers.
  bool HoldsAll();
  int Runs(const std::string& id);
  void NoteRun(const Message& request);
  std::vector<Order> orders();
  [[nodiscard]] const std::string& address() const { return server_.address(); }
  [[nodiscard]] const Options& options() const { return options_; }
  /// Bytes of the event with this id.
  [[nodiscard]] static std::string Event(const Message& request, int id);
  /// First event that the request asks for.
  [[nodiscard]] static int FirstEvent(const Message& request);

 private:
  void Beat();
  std::string Entry();
  void Handle(Channel& channel);
  void Report(Channel& channel);
  void TakeOrder(const Message& request, Channel& channel);
  bool HoldsPart(const std::string& hops);
  void Stream(const Message& request, Channel& channel);
  void FinishLoad();

  Options options_;
  Store& store_;
  Record& record_;
  Handler handler_;
  std::mutex mutex_;
  std::uint64_t born_ = 0;
  std::uint64_t heartbeats_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t fence_ = 0;
  int from_ = 0;
  int to_ = 0;
  int next_from_ = 0;
  int next_to_ = 0;
  bool is_loading_ = false;
  Clock::time_point loaded_at_;
  bool is_leaving_ = false;
  std::map<std::string, int> runs_;
  std::vector<Order> orders_;
  std::atomic<bool> sends_heartbeats_{true};
  std::atomic<bool> is_down_{false};
  std::atomic<bool> is_stopped_{false};
  Server server_;
  std::thread beat_;
};

}  // namespace review
