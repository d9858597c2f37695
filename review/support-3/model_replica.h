// Stand-ins for the model replicas of one service, each of which holds a part
// of the layers.
#pragma once

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/json.hpp>

#include "deployment.h"
#include "http.h"
#include "store.h"

namespace review {

struct Layers {
  int first = 0;
  int end = 0;
  friend bool operator==(const Layers&, const Layers&) = default;
};

/// A stage of a request's path.
struct Hop {
  std::string address;
  Layers layers;
};

inline std::vector<Hop> ParseHops(const std::string& text) {
  std::vector<Hop> hops;
  std::stringstream list(text);
  for (std::string item; std::getline(list, item, ',');) {
    const std::size_t equals = item.find('=');
    const std::size_t dash = item.find('-', equals);
    hops.push_back({item.substr(item.find_first_not_of(' '), equals),
                    {std::stoi(item.substr(equals + 1)),
                     std::stoi(item.substr(dash + 1))}});
  }
  return hops;
}

struct ModelOptions {
  std::string service;
  int all_layers = 80;
  /// Time to load all layers.
  Ms load_time{3'000};
  /// Time of a token.
  Ms token_time{10};
  int slots = 192;
  /// Whether streams come with neither a length nor chunks.
  bool is_unframed = false;
};

class ModelReplica;

/// What all replicas of the service share.
struct Model {
  ModelOptions options;
  Store& store;
  Record& record;
  std::mutex mutex;
  std::map<std::string, ModelReplica*> by_address;
  /// Loads are shorter before the first request.
  std::atomic<bool> has_had_request{false};
  /// Called when a replica is about to return the first token of a request;
  /// whether it crashes.
  std::function<bool(const Request&)> crashes;
  /// Called when a replica has crashed.
  std::function<void(const std::string& replica)> on_crash;
  /// Called when a request reaches the first replica of its path.
  std::function<void(const Request&, const std::string& replica)> on_arrival;
};

class ModelReplica {
 public:
  ModelReplica(Model& model,
               std::string id,
               std::string zone,
               std::string kind,
               const std::string& ip)
      : model_(model),
        id_(std::move(id)),
        zone_(std::move(zone)),
        kind_(std::move(kind)),
        server_(ip) {
    Boot();
    const std::lock_guard lock(model_.mutex);
    model_.by_address[server_.address()] = this;
  }
  ~ModelReplica() {
    is_ending_ = true;
    if (lifecycle_.joinable()) {
      lifecycle_.join();
    }
    server_.Stop();
    if (loader_.joinable()) {
      loader_.join();
    }
  }
  ModelReplica(const ModelReplica&) = delete;
  ModelReplica& operator=(const ModelReplica&) = delete;

  [[nodiscard]] const std::string& id() const { return id_; }
  [[nodiscard]] bool is_up() const { return is_up_; }
  [[nodiscard]] Layers layers() const {
    const std::lock_guard lock(mutex_);
    return layers_;
  }

  /// Ends as a process does; is back, empty, after `down`. Its entry is
  /// removed after three intervals of silence.
  void Crash(Ms down) {
    if (!is_up_.exchange(false)) {
      return;
    }
    model_.record.Line("replica " + id_ + " crashes");
    if (model_.on_crash) {
      model_.on_crash(id_);
    }
    if (lifecycle_.joinable()) {
      lifecycle_.join();
    }
    lifecycle_ = std::thread([this, down] {
      server_.Stop();
      constexpr Ms kLapse(3'600);
      const SteadyTime back_at = Now() + down;
      const SteadyTime lapses_at = Now() + kLapse;
      bool has_lapsed = false;
      while (Now() < back_at && !is_ending_) {
        if (!has_lapsed && Now() >= lapses_at) {
          has_lapsed = true;
          model_.store.Delete("servers", id_);
        }
        std::this_thread::sleep_for(Ms(20));
      }
      if (!is_ending_) {
        Boot();
        model_.record.Line("replica " + id_ + " is back, empty");
      }
    });
  }

 private:
  void Boot() {
    {
      const std::lock_guard lock(mutex_);
      layers_ = {};
      sequence_ = 0;
      fence_ = 0;
      is_busy_ = false;
      born_ = UnixMs();
      ++boot_;
    }
    server_.Start([this](Socket& socket) { Serve(socket); });
    is_up_ = true;
    Announce();
  }

  void Announce() {
    const std::lock_guard lock(mutex_);
    json::object entry = {{"Service", model_.options.service},
                          {"Address", server_.address()},
                          {"Zone", zone_},
                          {"Version", "v1"},
                          {"Slots", model_.options.slots},
                          {"State", "ready"},
                          {"ColdRemainingMs", 0},
                          {"Stage", "unified"},
                          {"Kind", kind_},
                          {"born", born_},
                          {"Sequence", ++beats_}};
    AddLayers(entry);
    model_.store.Set("servers", id_, json::serialize(entry));
  }

  /// Precondition: `mutex_` is held.
  void AddLayers(json::object& object) const {
    const bool is_empty = layers_.first >= layers_.end;
    object["Models"] =
        is_empty ? json::array()
                 : json::array({json::object{{"Name", "m0"},
                                             {"Version", 1},
                                             {"Adapters", json::array()}}});
    if (!is_empty) {
      object["Layers"] = json::object{
          {"From", layers_.first}, {"To", layers_.end}, {"Version", 1}};
    }
  }

  void Serve(Socket& socket) {
    const auto request = ReadRequest(socket, Ms(10'000));
    if (!request || !is_up_) {
      return;
    }
    if (request->path() == "/report") {
      (void)socket.Write(FormatResponse(
          200, {{"Content-Type", "application/json"}}, Report()));
    } else if (request->path() == "/order") {
      const int status = TakeOrder(json::parse(request->body).as_object());
      (void)socket.Write(FormatResponse(status, {}, ""));
    } else if (request->path() == "/health") {
      (void)socket.Write(FormatResponse(200, {{"X-Replica-Id", id_}}, ""));
    } else {
      Run(socket, *request);
    }
  }

  std::string Report() {
    const std::lock_guard lock(mutex_);
    json::object report = {{"Stage", "unified"},
                           {"Busy", is_busy_},
                           {"Sequence", sequence_},
                           {"Queued", 0},
                           {"InFlight", running_.load()},
                           {"KvUsed", 0},
                           {"KvTotal", 90'000},
                           {"Handles", 0},
                           {"pace", 1},
                           {"born", born_},
                           {"Kind", kind_}};
    AddLayers(report);
    json::array stalled;
    for (const auto& [request, address] : stalled_) {
      stalled.push_back({{"Id", request}, {"Address", address}});
    }
    report["Stalled"] = stalled;
    return json::serialize(report);
  }

  int TakeOrder(const json::object& order) {
    const std::lock_guard lock(mutex_);
    const auto fence = order.contains("FencingToken")
                           ? order.at("FencingToken").to_number<std::uint64_t>()
                           : fence_;
    const Layers wanted = {order.at("From").to_number<int>(),
                           order.at("To").to_number<int>()};
    model_.record.Line("order to " + id_ + ": " + std::to_string(wanted.first) +
                       "-" + std::to_string(wanted.end));
    if (fence < fence_) {
      return 412;
    }
    fence_ = fence;
    if (layers_ == wanted) {
      return 200;
    }
    if (is_busy_ ||
        (order.contains("ExpectedRevision") &&
         order.at("ExpectedRevision").to_number<int>() != sequence_)) {
      return 409;
    }
    ++sequence_;
    is_busy_ = true;
    if (loader_.joinable()) {
      loader_.join();
    }
    loader_ = std::thread([this, wanted, boot = boot_] { Load(wanted, boot); });
    return 202;
  }

  void Load(Layers wanted, int boot) {
    Ms time = model_.options.load_time * (wanted.end - wanted.first) /
              model_.options.all_layers;
    if (!model_.has_had_request) {
      time /= 10;
    }
    const SteadyTime until = Now() + time;
    while (Now() < until && is_up_ && !is_ending_) {
      std::this_thread::sleep_for(Ms(10));
    }
    {
      const std::lock_guard lock(mutex_);
      if (boot != boot_ || !is_up_) {
        return;
      }
      layers_ = wanted;
      is_busy_ = false;
    }
    Announce();
  }

  /// The stage of a path at this address; null if none is up there.
  ModelReplica* StageAt(const std::string& address) const {
    const std::lock_guard lock(model_.mutex);
    const auto found = model_.by_address.find(address);
    return found == model_.by_address.end() || !found->second->is_up_
               ? nullptr
               : found->second;
  }

  [[nodiscard]] bool Holds(Layers part) const {
    const std::lock_guard lock(mutex_);
    return layers_.first <= part.first && part.end <= layers_.end;
  }

  /// The first stage that is not up; empty if all are.
  [[nodiscard]] std::string DeadStage(const std::vector<Hop>& hops) const {
    for (const Hop& hop : hops) {
      if (StageAt(hop.address) == nullptr) {
        return hop.address;
      }
    }
    return {};
  }

  static std::string Chunk(const std::string& bytes) {
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
  }

  void Run(Socket& socket, const Request& request) {
    model_.has_had_request = true;
    const std::string attempt = request.Get("X-Attempt-Id");
    const auto refuse = [&](int status, const std::string& at) {
      (void)socket.Write(FormatResponse(status,
                                        {{"X-Not-Executed", "1"},
                                         {"X-Attempt-Id", attempt},
                                         {"X-Replica-Id", id_},
                                         {"At-Server", at}},
                                        ""));
    };
    if (request.Get("X-Expect-Replica") != id_) {
      refuse(421, server_.address());
      return;
    }
    if (model_.on_arrival) {
      model_.on_arrival(request, id_);
    }
    const std::vector<Hop> hops = ParseHops(request.Get("X-Router-Hops"));
    for (const Hop& hop : hops) {
      const ModelReplica* stage = StageAt(hop.address);
      if (stage == nullptr) {
        refuse(503, hop.address);
        return;
      }
      if (!stage->Holds(hop.layers)) {
        refuse(421, hop.address);
        return;
      }
    }
    ++running_;
    Write(socket, request, hops, attempt);
    --running_;
  }

  /// Waits out the stall of a dead stage.
  ///
  /// \returns false if this replica or its caller has ended meanwhile.
  bool Stall(const Socket& socket,
             const std::string& attempt,
             const std::string& address) {
    {
      const std::lock_guard lock(mutex_);
      stalled_[attempt] = address;
    }
    constexpr Ms kStall(2'000);
    const SteadyTime until = Now() + kStall;
    while (Now() < until && is_up_ && !socket.HasEnded()) {
      std::this_thread::sleep_for(Ms(5));
    }
    const std::lock_guard lock(mutex_);
    stalled_.erase(attempt);
    return is_up_ && !socket.HasEnded();
  }

  /// Produces the tokens. The last stage of the path returns each of them.
  void Write(Socket& socket,
             const Request& request,
             const std::vector<Hop>& hops,
             const std::string& attempt) {
    constexpr int kEvents = 40;
    const std::string last_id = request.Get("Last-Event-Id");
    const int first = last_id.empty() ? 1 : std::stoi(last_id) + 1;
    for (int event = first; event <= kEvents; ++event) {
      std::this_thread::sleep_for(model_.options.token_time);
      if (!is_up_ || socket.HasEnded()) {
        return;
      }
      // An unframed answer is begun with its first event.
      const int crash_at = first + (model_.options.is_unframed ? 1 : 0);
      if (event == crash_at && model_.crashes && model_.crashes(request)) {
        ModelReplica* last = hops.empty() ? this : StageAt(hops.back().address);
        if (last != nullptr) {
          last->Crash(Ms(3'000));
        }
        if (last == this) {
          return;
        }
      }
      if (const std::string dead = DeadStage(hops); !dead.empty()) {
        if (Stall(socket, attempt, dead) && event == first) {
          (void)socket.Write(FormatResponse(503,
                                            {{"X-Not-Executed", "1"},
                                             {"X-Attempt-Id", attempt},
                                             {"At-Server", dead}},
                                            ""));
        }
        return;
      }
      std::string bytes;
      if (event == first) {
        bytes =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "X-Attempt-Id: " +
            attempt + "\r\nX-Response-Seal: " + id_ + "." + attempt +
            "\r\nX-Weight-Versions: 1\r\nX-Replica-Load: " +
            std::to_string(running_) + ",0," +
            std::to_string(model_.options.slots) +
            (model_.options.is_unframed
                 ? "\r\nConnection: close\r\n\r\n"
                 : "\r\nTransfer-Encoding: chunked\r\n\r\n");
      }
      const std::string text = "id: " + std::to_string(event) + "\ndata: t" +
                               std::to_string(event) + "\n\n";
      bytes += model_.options.is_unframed ? text : Chunk(text);
      if (!socket.Write(bytes)) {
        return;
      }
    }
    if (!model_.options.is_unframed) {
      (void)socket.Write("0\r\n\r\n");
    }
  }

  Model& model_;
  std::string id_;
  std::string zone_;
  std::string kind_;
  Server server_;
  std::atomic<bool> is_up_{false};
  std::atomic<bool> is_ending_{false};
  std::atomic<int> running_{0};
  mutable std::mutex mutex_;
  Layers layers_;
  int sequence_ = 0;
  std::uint64_t fence_ = 0;
  bool is_busy_ = false;
  std::uint64_t born_ = 0;
  int boot_ = 0;
  int beats_ = 0;
  /// Addresses of the dead stages that requests wait for.
  std::map<std::string, std::string> stalled_;
  std::thread loader_;
  std::thread lifecycle_;
};

}  // namespace review
