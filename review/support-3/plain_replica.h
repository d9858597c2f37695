// Stand-ins for the replicas of a plain service.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include <boost/json.hpp>

#include "deployment.h"
#include "http.h"
#include "store.h"

namespace review {

/// What all replicas of the service share.
struct PlainService {
  PlainService(std::string service_name, Store& its_store, Record& its_record)
      : name(std::move(service_name)), store(its_store), record(its_record) {}

  std::string name;
  Store& store;
  Record& record;
  Ms work_time{60};
  /// Called when a request reaches the replica that it is meant for.
  std::function<void(const Request&, const std::string& replica)> on_arrival;
  /// Whether the replica crashes when it begins to run a request.
  std::function<bool(const Request&)> crashes;
  /// Serves a request instead of the usual answer; whether it did.
  std::function<bool(Socket&, const Request&, const std::string& replica)>
      respond;
};

class PlainReplica {
 public:
  PlainReplica(PlainService& service,
               std::string id,
               std::string zone,
               const std::string& ip)
      : service_(service),
        id_(std::move(id)),
        zone_(std::move(zone)),
        server_(ip) {
    Boot();
  }
  ~PlainReplica() {
    is_ending_ = true;
    if (lifecycle_.joinable()) {
      lifecycle_.join();
    }
    server_.Stop();
  }
  PlainReplica(const PlainReplica&) = delete;
  PlainReplica& operator=(const PlainReplica&) = delete;

  [[nodiscard]] const std::string& id() const { return id_; }

  /// Ends as a process does, and is back after `down` under the same id. Its
  /// entry is removed after three intervals of silence.
  void Crash(Ms down) {
    if (!is_up_.exchange(false)) {
      return;
    }
    service_.record.Line("replica " + id_ + " crashes");
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
          service_.store.Delete("servers", id_);
        }
        std::this_thread::sleep_for(Ms(20));
      }
      if (!is_ending_) {
        Boot();
        service_.record.Line("replica " + id_ + " is back");
      }
    });
  }

  /// Leaves: removes the entry from the store and goes on serving. From now on
  /// all answers say that it leaves.
  void Withdraw() {
    is_leaving_ = true;
    service_.record.Line("replica " + id_ + " withdraws its entry");
    service_.store.Delete("servers", id_);
  }

  /// Writes the entry in the store.
  void Announce(const std::string& state) {
    service_.store.Set(
        "servers", id_,
        json::serialize(json::object{{"Service", service_.name},
                                     {"Address", server_.address()},
                                     {"Zone", zone_},
                                     {"Version", "v1"},
                                     {"Slots", 6},
                                     {"State", state},
                                     {"ColdRemainingMs", 0},
                                     {"born", born_.load()},
                                     {"Sequence", ++beats_}}));
  }

 private:
  void Boot() {
    born_ = UnixMs();
    server_.Start([this](Socket& socket) { Serve(socket); });
    is_up_ = true;
    Announce("ready");
  }

  void Serve(Socket& socket) {
    const auto request = ReadRequest(socket, Ms(10'000));
    if (!request || !is_up_) {
      return;
    }
    const std::string attempt = request->Get("X-Attempt-Id");
    if (request->path() == "/health") {
      (void)socket.Write(FormatResponse(200, {{"X-Replica-Id", id_}}, ""));
      return;
    }
    if (request->Get("X-Expect-Replica") != id_) {
      (void)socket.Write(FormatResponse(
          421, {{"X-Replica-Id", id_}, {"X-Attempt-Id", attempt}}, ""));
      return;
    }
    if (service_.on_arrival) {
      service_.on_arrival(*request, id_);
    }
    if (service_.crashes && service_.crashes(*request)) {
      constexpr Ms kDown(3'000);
      Crash(kDown);
      return;
    }
    if (service_.respond && service_.respond(socket, *request, id_)) {
      return;
    }
    std::this_thread::sleep_for(service_.work_time);
    if (is_up_) {
      Fields fields = {{"X-Attempt-Id", attempt},
                       {"X-Response-Seal", id_ + "." + attempt}};
      if (is_leaving_) {
        fields["Server-Leaving"] = "1";
      }
      (void)socket.Write(FormatResponse(200, fields, "ran " + attempt));
    }
  }

  PlainService& service_;
  std::string id_;
  std::string zone_;
  Server server_;
  std::atomic<bool> is_up_{false};
  std::atomic<bool> is_ending_{false};
  std::atomic<bool> is_leaving_{false};
  std::atomic<std::uint64_t> born_{0};
  std::atomic<int> beats_{0};
  std::thread lifecycle_;
};

}  // namespace review
